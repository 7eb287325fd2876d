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

/// @brief Gathers evidence that the head held is the newest.
///
/// A few daemons of each data centre read the head from the platform. The
/// others ask those, in a tree. While the platform is away, a majority of
/// witnesses vouches. A daemon whose evidence grows old asks more widely.
class EvidenceAsker
{
public:
  EvidenceAsker(HeadKeeper& aKeeper,
                StoreClient& aStore,
                Peers& aPeers,
                const WitnessSeat& aSeat,
                std::vector<std::string> aSeeds,
                NodeEnv& aEnv,
                Random& aRandom);

  /// @brief Works out this daemon's place in the tree.
  void Load(const Head& aHead);

  /// @brief Sends questions and reads that are due.
  void Tick(TimePoint aNow);

  /// @brief Answers a question.
  HeadAnswer Answer(const HeadQuestion& aQuestion, TimePoint aNow) const;

  /// @brief Takes in an answer.
  /// @param aAddress Where the answer came from.
  void OnAnswer(const std::string& aAddress,
                const HeadAnswer& aAnswer,
                TimePoint aNow);

  /// @brief Tells whether the platform answered this daemon's last read.
  bool StoreAnswers() const { return m_storeAnswers; }

  /// @brief Addresses of daemons found in the platform's host list.
  void SetHosts(std::vector<std::string> aAddresses);

  /// @brief Addresses to find the fleet by: seeds and listed hosts.
  std::vector<std::string> EntryPoints() const;

private:
  struct Round
  {
    std::uint64_t nonce = 0;
    TimePoint sent{};
    std::set<NodeId> vouchers; ///< Seats.
  };

  void ReadHead(TimePoint aNow);
  void AskRound(TimePoint aNow);
  void CountVouches(Round& aRound, const std::vector<NodeId>& aSeats);

  HeadKeeper& m_keeper;
  StoreClient& m_store;
  Peers& m_peers;
  const WitnessSeat& m_seat;
  std::vector<std::string> m_seeds;
  std::vector<std::string> m_hosts;
  NodeEnv& m_env;
  Random& m_random;
  bool m_polls = true;
  std::vector<NodeId> m_parents;
  bool m_reading = false;
  bool m_storeAnswers = false;
  std::optional<TimePoint> m_lastRead;
  std::optional<TimePoint> m_lastRound;
  std::deque<Round> m_rounds;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_EVIDENCE_ASKER_H
