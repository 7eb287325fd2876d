#ifndef SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H
#define SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/claims/claim.h"

namespace sapphirelane {

/// @brief Decision of the arbiter, the daemon that owns the claim's shard.
enum class ClaimVerdict : std::uint8_t
{
  Granted,  ///< Only this claimant may send the request.
  Repeat,   ///< Duplicate of an earlier claim; see its state and response.
  Mismatch, ///< The key was used with another method or target.
  NotReady, ///< The arbiter cannot decide at present; nothing was recorded.
};

/// @brief Reply of the arbiter to a claim attempt.
struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::NotReady;
  ClaimState state =
    ClaimState::Released;       ///< State of the earlier claim, of a duplicate.
  KeptAnswer answer;            ///< Response to a duplicate of a Done claim.
  std::uint32_t generation = 0; ///< Generation of a granted claim.
};

/// @brief Table of run-once claims within the deduplication window.
///
/// Used by the arbiter of a shard, by a claimant for the claims that it was
/// granted, and by the daemons that replicate the claims of another one.
class ClaimTable
{
public:
  /// @param aWindow Deduplication window: time for which a claim is kept.
  explicit ClaimTable(Duration aWindow);

  /// @brief Grants a claim if its id is free.
  ///
  /// Idempotent: a repeated attempt is granted again while the claim is
  /// running.
  ClaimReply Ask(const Claim& aClaim, TimePoint aNow);

  /// @brief Records the outcome of a claim, if the attempt still holds it.
  void Finish(const std::string& aId,
              std::uint64_t aAttempt,
              ClaimState aState,
              const KeptAnswer& aAnswer);

  /// @brief Releases a running claim, if the attempt still holds it.
  void Release(const std::string& aId, std::uint64_t aAttempt);

  /// @brief Merges a record from another daemon: the higher generation wins,
  /// then the more advanced state.
  void Merge(const Claim& aClaim);

  /// @brief Returns copies of the records that match a predicate.
  std::vector<Claim> Select(
    const std::function<bool(const Claim&)>& aPredicate) const;

  /// @brief Finds a record.
  /// @return The record, or nullptr.
  const Claim* Find(const std::string& aId) const;

  /// @brief Marks the running claims of a lost daemon as Unknown.
  void LoseClaimant(std::uint64_t aClaimant);

  /// @brief Removes the claims that are older than the window.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return m_claims.size(); }

private:
  Duration m_window;
  std::map<std::string, Claim> m_claims;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H
