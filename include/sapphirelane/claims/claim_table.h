#ifndef SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H
#define SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/claims/claim.h"

namespace sapphirelane {

/// @brief What the arbiter says of a claim.
enum class ClaimVerdict : std::uint8_t
{
  Granted,  ///< The asker, and nobody else, may send the request.
  Repeat,   ///< Claimed before; see the state and the answer.
  Mismatch, ///< The same key came with another method or target.
  NotReady, ///< The arbiter cannot judge now: nothing was decided.
};

/// @brief Answer of the arbiter.
struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::NotReady;
  ClaimState state = ClaimState::Released; ///< Of a repeat.
  KeptAnswer answer;                       ///< Of a repeat that is done.
  std::uint32_t generation = 0;            ///< Of a granted claim.
};

/// @brief Memory of run-once claims for the time of the dedup window.
///
/// The same class serves the arbiter of a shard, the claimant that remembers
/// what it claimed, and the daemon that keeps another one's copy.
class ClaimTable
{
public:
  /// @param aWindow How long a claim is remembered after it was made.
  explicit ClaimTable(Duration aWindow);

  /// @brief Decides on a claim; the same ask gets the same reply.
  ClaimReply Ask(const Claim& aClaim, TimePoint aNow);

  /// @brief Notes the end of the claim that a certain ask was granted.
  void Finish(const std::string& aId,
              std::uint64_t aAsk,
              ClaimState aState,
              const KeptAnswer& aAnswer);

  /// @brief Gives a claim back, if it is still that of a certain ask.
  void Release(const std::string& aId, std::uint64_t aAsk);

  /// @brief Adds a record from another daemon; the later grant wins, then the
  /// further state.
  void Merge(const Claim& aClaim);

  /// @brief Copies the records that a predicate selects.
  std::vector<Claim> Select(
    const std::function<bool(const Claim&)>& aPredicate) const;

  /// @brief Finds a record.
  /// @return The record, or nullptr.
  const Claim* Find(const std::string& aId) const;

  /// @brief Turns the running claims of a lost daemon into unknown ones.
  void LoseClaimant(std::uint64_t aClaimant);

  /// @brief Forgets what is older than the window.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return m_claims.size(); }

private:
  Duration m_window;
  std::map<std::string, Claim> m_claims;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_CLAIMS_CLAIM_TABLE_H
