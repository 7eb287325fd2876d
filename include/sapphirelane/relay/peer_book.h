#ifndef SAPPHIRELANE_RELAY_PEER_BOOK_H
#define SAPPHIRELANE_RELAY_PEER_BOOK_H

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
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
  /// The same for daemons of other data centres, of which only a random few
  /// send heartbeats to any one daemon.
  Duration live_for_remote = Milliseconds(3200);
  /// The same in data centres with more daemons than full_mesh, where signs of
  /// life pass through several daemons, for those of the own data centre and
  /// of others. A daemon that hears nobody for live_for is cut off, and counts
  /// nobody as live.
  Duration live_for_gossip = Milliseconds(4000);
  Duration live_for_remote_gossip = Milliseconds(8000);
  /// Daemons of a data centre up to which all send heartbeats to each other.
  std::size_t full_mesh = 40;
  /// A silent daemon counts as a member for this long.
  Duration counted_for = Milliseconds(20000);
  /// A silent host is deleted from the table after this.
  Duration forgotten_after = Milliseconds(120000);
};

/// @brief Membership table of a store fleet: addresses and liveness of the
/// other daemons.
///
/// A daemon is live while heartbeats (presence updates) arrive, and a member
/// for some time longer. In a small data centre daemons send heartbeats to each
/// other. In a large one each sends to a few random ones, and lists when
/// it last knew the others to be alive, so that the messages of a daemon do not
/// grow with the data centre (SWIM's dissemination by gossip). From each other
/// data centre only some send heartbeats, with the same list.
class PeerBook
{
public:
  PeerBook(PeerBookOptions aOptions, MemberInfo aSelf);

  /// @brief Adds a host that the store lists.
  void OnListed(const HostEntry& aEntry, TimePoint aNow);

  /// @brief Adds a daemon that another one knows to be live.
  void OnMember(const MemberInfo& aMember, TimePoint aNow);

  /// @brief Those of some hosts that are not known, up to a number.
  std::vector<std::uint32_t> UnknownHosts(
    const std::vector<std::uint32_t>& aHashes,
    std::size_t aMost) const;

  /// @brief Live daemons on some hosts.
  std::vector<MemberInfo> Members(const std::vector<std::uint32_t>& aHashes,
                                  TimePoint aNow) const;

  /// @brief Picks up to aCount live daemons of a data centre at random.
  std::vector<MemberInfo> MembersOf(const std::string& aCentre,
                                    std::size_t aCount,
                                    TimePoint aNow,
                                    Random& aRandom) const;

  /// @brief Picks up to aCount live daemons of each data centre at random.
  std::vector<MemberInfo> MembersOfEach(std::size_t aCount,
                                        TimePoint aNow,
                                        Random& aRandom) const;

  /// @brief Applies a daemon's heartbeat.
  /// @return True if the daemon, or this run of it, was not known to be live.
  bool OnPresence(const PresenceNews& aNews, TimePoint aNow);

  /// @brief Deletes hosts that have been silent for longer than
  /// PeerTableOptions::forget_after.
  void Tick(TimePoint aNow);

  /// @brief Time of the latest heartbeat of another daemon; the far future if
  /// none is known.
  TimePoint HeardAt() const
  {
    return m_peers.empty() ? TimePoint::max() : m_heardAt;
  }

  /// @brief Whether another daemon of this data centre is live.
  bool HasNeighbours(TimePoint aNow) const;

  /// @brief Addresses of the live daemons of this data centre.
  std::vector<std::string> Neighbours(TimePoint aNow) const;

  /// @brief Addresses of the live daemons of this data centre, by the hash of
  /// their hosts; this daemon is not among them.
  std::map<std::uint32_t, std::string> NeighboursByHash(TimePoint aNow) const;

  /// @brief The first aCount live daemons of this data centre in the order of
  /// NeighbourOrder, without this one.
  std::vector<MemberInfo> LeadingNeighbours(std::size_t aCount,
                                            TimePoint aNow) const;

  /// @brief Hash of this daemon's host.
  std::uint32_t SelfHash() const { return m_selfHash; }

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

  /// @brief Addresses to send this daemon's heartbeat to: all daemons of this
  /// data centre and some of each other one.
  /// @param aPerCentre Number of daemons of each other data centre.
  std::vector<std::string> PresenceTargets(std::size_t aPerCentre,
                                           Random& aRandom) const;

  /// @brief Addresses to send this daemon's heartbeat to in a large data
  /// centre: a few daemons of it, live ones if enough are known, one live
  /// daemon of each other one, and one address at which no daemon is known to
  /// be live, which may be back.
  std::vector<std::string> GossipTargets(std::size_t aNeighbours,
                                         TimePoint aNow,
                                         Random& aRandom) const;

  /// @brief Whether this data centre has more members than
  /// PeerTableOptions::full_mesh. Members that were not heard yet count: a
  /// daemon that starts with hundreds of others learns their addresses first.
  bool Gossips(TimePoint aNow) const;

  /// @brief Fills in the live hosts of this data centre, own included.
  void ListNeighbours(PresenceNews& aPresence, TimePoint aNow) const;

  /// @brief This daemon's rank among the live daemons, ordered by the hash of
  /// the host.
  std::size_t Order(TimePoint aNow) const;

  /// @brief This daemon's rank among the live daemons of its data centre.
  std::size_t NeighbourOrder(TimePoint aNow) const;

  /// @brief Returns true if a daemon is in this data centre.
  bool IsNeighbour(NodeId aNode) const;

  /// @brief This daemon's rank among the members, live or not.
  std::size_t CountedOrder(TimePoint aNow) const;

  /// @brief Hashes of all other hosts that are known, whether they are silent
  /// or not, except those that have announced to leave.
  std::vector<std::uint32_t> KnownHosts() const;

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
    std::uint32_t hash = 0;   ///< Of the host.
    std::uint32_t centre = 0; ///< Hash of the data centre.
    bool local = false;       ///< In this data centre.
    std::uint64_t started_ms = 0;
    /// Latest sign of life: its own heartbeat, or that of a daemon of its data
    /// centre which lists it as live.
    TimePoint last_seen{};
    TimePoint listed_at{}; ///< Listed by the store, before any heartbeat.
    TimePoint
      unplanned_start{}; ///< Start of its run if it had not announced to leave.
    bool leaving = false;
    bool heard = false;    ///< Its own heartbeat has been received.
    bool gossiped = false; ///< Its data centre is a large one.
  };

  Duration LiveFor(const Peer& aPeer) const;
  void ApplyList(const PresenceNews& aNews, TimePoint aNow);
  bool IsLive(const Peer& aPeer, TimePoint aNow) const;
  bool IsMember(const Peer& aPeer, TimePoint aNow) const;

  PeerBookOptions m_options;
  MemberInfo m_self;
  TimePoint m_heardAt{}; ///< Latest heartbeat of any daemon.
  TimePoint m_nextCleanup{};
  std::uint32_t m_selfHash;
  std::map<std::string, Peer> m_peers;        ///< By host.
  std::map<NodeId, std::string> m_hostByNode; ///< By run of a daemon.
  std::unordered_map<std::uint32_t, Peer*> m_peerByHash; ///< By host's hash.
};

/// @brief 32-bit hash of an id, the same on all daemons.
std::uint32_t
ShortHash(const std::string& aId);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_PEER_BOOK_H
