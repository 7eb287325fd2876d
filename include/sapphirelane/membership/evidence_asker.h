#ifndef SAPPHIRELANE_MEMBERSHIP_EVIDENCE_ASKER_H
#define SAPPHIRELANE_MEMBERSHIP_EVIDENCE_ASKER_H

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/witness_seat.h"

namespace sapphirelane {

/// @brief Renews the freshness lease: gathers evidence that the head held is
/// the newest.
///
/// A few daemons in each data centre poll the head from the platform. The
/// others query those daemons along a tree. While the platform is unavailable,
/// the votes of a majority of the witnesses renew the lease. A daemon whose
/// evidence grows old also queries random members and the witnesses.
class EvidenceAsker
{
public:
  EvidenceAsker(HeadKeeper& aReplica,
                StoreClient& aStore,
                Peers& aPeers,
                const WitnessSeat& aWitness,
                std::vector<std::string> aSeeds,
                NodeEnv& aEnv,
                Random& aRandom);

  /// @brief Recomputes this daemon's position in the query tree of a head.
  void Load(const Head& aHead);

  /// @brief Starts the query rounds and platform reads that are due.
  void Tick(TimePoint aNow);

  /// @brief Answers a query of another daemon.
  HeadAnswer Answer(const HeadQuestion& aQuestion, TimePoint aNow) const;

  /// @brief Applies an answer: renews the lease, or fetches a newer head.
  /// @param aAddress Address of the daemon that answered.
  void OnAnswer(const std::string& aAddress,
                const HeadAnswer& aAnswer,
                TimePoint aNow);

  /// @brief Tells whether the platform answered this daemon's latest read.
  bool StoreAnswers() const { return m_platformAvailable; }

  /// @brief Sets the addresses of the daemons in the platform's host list.
  void SetHosts(std::vector<std::string> aAddresses);

  /// @brief Addresses at which to look for the fleet: seeds and listed hosts.
  std::vector<std::string> EntryPoints() const;

private:
  struct Round
  {
    std::uint64_t nonce = 0;
    TimePoint sent{};
    std::set<NodeId> votes; ///< By voting slot.
  };

  void ReadHead(TimePoint aNow);
  void StartRound(TimePoint aNow);
  void CountVotes(Round& aRound, const std::vector<NodeId>& aSlots);

  HeadKeeper& m_replica;
  StoreClient& m_store;
  Peers& m_peers;
  const WitnessSeat& m_witness;
  std::vector<std::string> m_seeds;
  std::vector<std::string> m_listedHosts;
  NodeEnv& m_env;
  Random& m_random;
  bool m_pollsPlatform = true;
  std::vector<NodeId> m_parents;
  bool m_readInProgress = false;
  bool m_platformAvailable = false;
  std::optional<TimePoint> m_lastRead;
  std::optional<TimePoint> m_lastRound;
  std::deque<Round> m_rounds;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_EVIDENCE_ASKER_H
