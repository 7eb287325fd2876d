#ifndef SAPPHIRELANE_RELAY_PEER_BOOK_H
#define SAPPHIRELANE_RELAY_PEER_BOOK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"
#include "sapphirelane/store/fleet_source.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Options of PeerTable.
struct PeerBookOptions
{
  /// A daemon counts as live for this long after its last sign of life.
  Duration live_for = Milliseconds(1600);
  /// A silent daemon counts as a member for this long.
  Duration counted_for = Milliseconds(20000);
  /// A silent host is deleted from the table after this.
  Duration forgotten_after = Milliseconds(120000);
};

/// @brief Membership table of a store fleet: addresses and liveness of the
/// other daemons.
///
/// A daemon is live while heartbeats (presence updates) arrive, and a member
/// for some time longer. Daemons of the own data centre send heartbeats
/// directly. From each other data centre only some do, and they list the
/// hosts there that are live.
class PeerBook
{
public:
  PeerBook(PeerBookOptions aOptions, MemberInfo aSelf);

  /// @brief Adds a host that the store lists.
  void OnListed(const HostEntry& aEntry, TimePoint aNow);

  /// @brief Adds a configured address at which a daemon may be reachable.
  void OnSeed(const std::string& aAddress);

  /// @brief Applies a daemon's heartbeat.
  /// @return True if the daemon, or this run of it, was not known to be live.
  bool OnPresence(const PresenceNews& aNews, TimePoint aNow);

  /// @brief Deletes hosts that have been silent for longer than
  /// PeerTableOptions::forget_after.
  void Tick(TimePoint aNow);

  /// @brief Addresses of the live daemons of this data centre.
  std::vector<std::string> Neighbours(TimePoint aNow) const;

  /// @brief Picks up to aCount live daemons of each other data centre at
  /// random, which forward messages there.
  /// @return Their addresses.
  std::vector<std::string> Relays(std::size_t aCount,
                                  TimePoint aNow,
                                  Random& aRandom) const;

  /// @brief Picks up to aCount live daemons of one data centre at random.
  std::vector<std::string> RelaysOf(const std::string& aCentre,
                                    std::size_t aCount,
                                    TimePoint aNow,
                                    Random& aRandom) const;

  /// @brief Addresses to send this daemon's heartbeat to: seeds, all daemons of
  /// this data centre and some of each other one.
  /// @param aPerCentre Number of daemons of each other data centre.
  std::vector<std::string> PresenceTargets(std::size_t aPerCentre,
                                           Random& aRandom) const;

  /// @brief Sorted hashes of the live hosts of this data centre, own included.
  std::vector<std::uint32_t> NeighbourHashes(TimePoint aNow) const;

  /// @brief This daemon's rank among the live daemons, ordered by the hash of
  /// the host.
  std::size_t Order(TimePoint aNow) const;

  /// @brief This daemon's rank among the live daemons of its data centre.
  std::size_t NeighbourOrder(TimePoint aNow) const;

  /// @brief Returns true if a daemon is in this data centre.
  bool IsNeighbour(NodeId aNode) const;

  /// @brief This daemon's rank among the members, live or not.
  std::size_t CountedOrder(TimePoint aNow) const;

  /// @brief Number of live daemons, this one included.
  std::size_t Live(TimePoint aNow) const;

  /// @brief Number of daemons that are live or were seen within
  /// PeerTableOptions::member_for, this one included.
  std::size_t Counted(TimePoint aNow) const;

  /// @brief Share of the other daemons that failed or restarted within a time
  /// window. Daemons that announced that they leave do not count.
  double Upset(Duration aWindow, TimePoint aNow) const;

  /// @brief Returns true if this run of a daemon is live.
  bool IsLive(NodeId aNode, TimePoint aNow) const;

  /// @brief Data centre of the daemon at an address; empty if unknown.
  std::string DataCentreAt(const std::string& aAddress) const;

private:
  struct Peer
  {
    MemberInfo info;
    std::uint64_t started_ms = 0;
    /// Latest sign of life: its own heartbeat, or that of a daemon of its data
    /// centre which lists it as live.
    TimePoint last_seen{};
    TimePoint listed_at{}; ///< Listed by the store, before any heartbeat.
    TimePoint
      unplanned_start{}; ///< Start of its run if it had not announced to leave.
    bool leaving = false;
  };

  bool IsLive(const Peer& aPeer, TimePoint aNow) const;
  bool IsMember(const Peer& aPeer, TimePoint aNow) const;
  bool IsLocalPeer(const Peer& aPeer) const;

  PeerBookOptions m_options;
  MemberInfo m_self;
  std::uint32_t m_selfHash;
  std::map<std::string, Peer> m_peers;        ///< By host.
  std::map<NodeId, std::string> m_hostByNode; ///< By run of a daemon.
  std::vector<std::string> m_seeds;
};

/// @brief 32-bit hash of an id, the same on all daemons.
std::uint32_t
ShortHash(const std::string& aId);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_PEER_BOOK_H
