#ifndef SAPPHIRELANE_CLAIMS_CLAIM_H
#define SAPPHIRELANE_CLAIMS_CLAIM_H

#include <cstdint>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief How far a run-once request has come.
enum class ClaimState : std::uint8_t
{
  Released, ///< Given back by its claimant: no byte was sent.
  Running,  ///< The claimant may send or has sent it.
  Unknown,  ///< It may have run; nobody knows its answer.
  Done,     ///< It ran and its answer is known.
};

/// @brief First answer to a run-once request, kept for repeats.
struct KeptAnswer
{
  bool kept = false; ///< False if the answer was too large to keep.
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(kept, status, content_type, body);
  }
};

/// @brief Largest body of an answer that is kept for repeats, in bytes.
constexpr std::size_t kMostKeptBody = 1000;

/// @brief One run-once request, known by its caller's idempotency key.
struct Claim
{
  std::string id;                ///< See ClaimIdOf.
  std::uint64_t fingerprint = 0; ///< Of method and target.
  std::uint64_t claimant = 0;    ///< Daemon that sends the request.
  std::uint64_t ask = 0;         ///< Unique number of the claim.
  std::uint32_t generation = 0;  ///< Grows with each grant of the same id.
  ClaimState state = ClaimState::Running;
  KeptAnswer answer;
  TimePoint made{};
};

/// @brief Identifies a run-once request across daemons.
/// @return 32 hexadecimal digits.
std::string
ClaimIdOf(const std::string& aAccount, const std::string& aIdempotencyKey);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CLAIMS_CLAIM_H
