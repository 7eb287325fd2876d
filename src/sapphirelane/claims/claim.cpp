#include "sapphirelane/claims/claim.h"

#include "sapphirelane/base/secret.h"

namespace sapphirelane {

std::string
ClaimIdOf(const std::string& aAccount, const std::string& aIdempotencyKey)
{
  constexpr std::size_t kIdLength = 32;
  return DigestOf(aAccount + "\n" + aIdempotencyKey).substr(0, kIdLength);
}

} // namespace sapphirelane
