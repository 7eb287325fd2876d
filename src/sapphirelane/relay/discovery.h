#ifndef SAPPHIRELANE_RELAY_DISCOVERY_H
#define SAPPHIRELANE_RELAY_DISCOVERY_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

/// @brief Finds the other daemons of the fleet.
///
/// Load pattern: hundreds of daemons that start within a moment, while the
/// store takes a few hundred writes a second. A daemon contacts the seeds, and
/// asks each daemon that lists hosts unknown to it for their addresses. The
/// store is the fallback: a few daemons, the first in order, are listed there,
/// and a daemon that hears nobody lists itself and reads the list.
class Discovery
{
public:
  /// @param aEnv Must outlive this object, as must the others.
  Discovery(MemberInfo aSelf,
            bool aHasSeeds,
            StoreFleetEnv& aEnv,
            PeerBook& aPeers,
            Random& aRandom);

  /// @brief Sets the newest era of the store. When it rises, this daemon's
  /// entry may be gone and is written again.
  void SetStoreEra(std::uint64_t aEra);

  /// @brief Makes the store calls that are due.
  void Tick(Duration aUptime, TimePoint aNow);

  /// @brief Asks the sender of a heartbeat for the hosts that it lists and that
  /// are not known here.
  void OnPresence(const std::string& aAddress,
                  const PresenceNews& aUpdate,
                  TimePoint aNow);

  /// @brief Answers another daemon's question.
  void OnAsk(const std::string& aAddress,
             const MembersAsk& aAsk,
             TimePoint aNow);

  /// @brief Applies the answer to a question.
  void OnMembers(const MembersNews& aMembers, TimePoint aNow);

  void OnHostsRead(const SourceResult& aResult, TimePoint aNow);
  void OnHostWritten(const SourceResult& aResult);

  /// @brief Removes this daemon from the list in the store.
  void Leave();

private:
  bool HearsNobody(TimePoint aNow) const;
  bool IsEntryDue(Duration aUptime, TimePoint aNow) const;
  void CallStore(SourceCall::Kind aKind);

  MemberInfo m_self;
  bool m_hasSeeds;
  StoreFleetEnv& m_env;
  PeerBook& m_peers;
  Random& m_random;
  Duration m_storeDelay; ///< Uptime from which the store is used.
  TimePoint m_nextCheck{};
  TimePoint m_nextCall{};
  TimePoint m_nextAskInterval{};
  int m_asks = 0; ///< In this interval.
  bool m_entryWritten = false;
  std::uint64_t m_storeEra = 0;
  bool m_hostsRead = false; ///< Since it was last alone.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_DISCOVERY_H
