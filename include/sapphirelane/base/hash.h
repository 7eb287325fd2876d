#ifndef SAPPHIRELANE_BASE_HASH_H
#define SAPPHIRELANE_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace sapphirelane {

/// @brief Hashes bytes to 64 bits, the same on every daemon.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_HASH_H
