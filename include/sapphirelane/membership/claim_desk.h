#ifndef SAPPHIRELANE_MEMBERSHIP_CLAIM_DESK_H
#define SAPPHIRELANE_MEMBERSHIP_CLAIM_DESK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/claims/claim_table.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/shard_keeper.h"

namespace sapphirelane {

/// @brief Asks for run-once claims, and decides those of the shards held.
///
/// Every claim is remembered by two daemons before its request is sent: the
/// holder and the claimant or, where they are the same, another member.
class ClaimDesk
{
public:
  ClaimDesk(HeadKeeper& aKeeper,
            ShardKeeper& aShards,
            Peers& aPeers,
            Random& aRandom,
            Duration aDedupWindow);

  // As a claimant.

  /// @brief Starts a question; exactly one result follows.
  AskId Ask(Claim aClaim, TimePoint aDeadline, TimePoint aNow);

  /// @brief Tells whether a granted claim may still be sent.
  bool MaySend(AskId aAsk, TimePoint aNow) const;

  void Finish(AskId aAsk,
              ClaimState aState,
              const KeptAnswer& aAnswer,
              TimePoint aNow);
  void Release(AskId aAsk, TimePoint aNow);
  void OnAnswer(NodeId aFrom, const ClaimAnswer& aAnswer, TimePoint aNow);
  void OnEndAck(const ClaimEndAck& aAck);
  std::vector<ClaimResult> TakeResults();

  /// @brief Repeats questions, copies and ends that have no answer.
  void Tick(TimePoint aNow);

  // As a holder or keeper of copies.

  ClaimAnswer Answer(NodeId aFrom, const ClaimAsk& aAsk, TimePoint aNow);
  ClaimEndAck OnEnd(const ClaimEnd& aEnd, TimePoint aNow);
  ClaimCopyAnswer OnCopy(NodeId aFrom, const ClaimCopy& aCopy, TimePoint aNow);
  void OnCopyAnswer(NodeId aFrom,
                    const ClaimCopyAnswer& aAnswer,
                    TimePoint aNow);

  /// @brief Claims of some shards, for a new holder.
  std::vector<WireClaim> ClaimsOf(const std::vector<std::uint32_t>& aShards,
                                  TimePoint aNow) const;

  /// @brief All claims remembered, to be handed over for a planned stop.
  ///
  /// From then on no claim is granted to this daemon and none kept for others,
  /// as nobody would be told of it.
  std::vector<WireClaim> Stop(TimePoint aNow);

  /// @brief Takes in claims from another daemon.
  void Receive(const std::vector<WireClaim>& aClaims, TimePoint aNow);

  /// @brief Notes members that have left: their running claims are unknown.
  void OnDeparted(const Head& aHead);

  std::size_t Size() const { return m_table.Size(); }

private:
  /// Claims are numbered apart from tokens.
  static constexpr AskId kFirstAsk = AskId{ 1 } << 62U;

  struct Open
  {
    AskId ask = 0;
    Claim claim;
    TimePoint deadline{};
    TimePoint resend{};
    std::uint32_t tries = 0;
    bool copying = false; ///< Granted here; another member must remember it.
  };

  struct Granted
  {
    Claim claim;
    NodeId holder = 0;
    std::uint64_t map_epoch = 0;
  };

  struct Ending
  {
    WireClaim claim;
    TimePoint made{};
    TimePoint resend{};
    std::uint32_t tries = 0;
  };

  bool IsMember() const;
  void Send(Open& aOpen, TimePoint aNow);
  void AskSelf(Open& aOpen, TimePoint aNow);
  void SendCopy(Open& aOpen, TimePoint aNow);
  void Grant(const Open& aOpen, NodeId aHolder, std::uint64_t aMapEpoch);
  void SendEnd(Ending& aEnding, TimePoint aNow);
  void End(const Claim& aClaim, TimePoint aNow);
  std::uint64_t ClaimNumber(AskId aAsk) const;

  HeadKeeper& m_keeper;
  ShardKeeper& m_shards;
  Peers& m_peers;
  ClaimTable m_table;
  std::uint64_t m_firstNumber;
  AskId m_lastAsk = kFirstAsk;
  TimePoint m_nextExpiry{};
  std::map<AskId, Open> m_open;
  std::map<AskId, Granted> m_granted;
  std::map<std::uint64_t, Ending> m_endings; ///< By number of the claim.
  std::vector<ClaimResult> m_results;
  bool m_stopping = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_CLAIM_DESK_H
