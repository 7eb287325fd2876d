#ifndef SAPPHIRELANE_CLAIMS_CLAIM_H
#define SAPPHIRELANE_CLAIMS_CLAIM_H

#include <cstdint>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief State of a run-once request: one that must not run twice.
enum class ClaimState : std::uint8_t
{
  Released, ///< Released by the claimant before any byte was sent.
  Running,  ///< The claimant may send the request or has sent it.
  Unknown,  ///< The request may have run; its response is not known.
  Done,     ///< The request ran and its response is known.
};

/// @brief First response to a run-once request, replayed to duplicates.
struct KeptAnswer
{
  bool kept = false; ///< False if the body was too large to store.
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kept, status, content_type, body);
  }
};

/// @brief Largest response body that is stored for replay, in bytes.
constexpr std::size_t kMostKeptBody = 1000;

/// @brief Record of a run-once request, identified by its idempotency key.
///
/// The daemon that was granted the claim is the only one that may send the
/// request; duplicates get the stored response.
struct Claim
{
  std::string id;                ///< See ClaimIdOf.
  std::uint64_t fingerprint = 0; ///< Hash of method and target.
  std::uint64_t claimant = 0;    ///< Daemon that may send the request.
  std::uint64_t ask = 0;         ///< Unique number of the claim attempt.
  std::uint32_t generation = 0;  ///< Incremented with each grant of the id.
  ClaimState state = ClaimState::Running;
  KeptAnswer answer;
  TimePoint made{}; ///< Start of the deduplication window.
};

/// @brief Id of a run-once request that is the same on all daemons.
/// @return 32 hexadecimal digits.
std::string
ClaimIdOf(const std::string& aAccount, const std::string& aIdempotencyKey);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CLAIMS_CLAIM_H
