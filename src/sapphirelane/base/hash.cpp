#include "sapphirelane/base/hash.h"

#include <xxhash.h>

namespace sapphirelane {

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace sapphirelane
