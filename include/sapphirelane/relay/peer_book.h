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

/// @brief Options of the book.
struct PeerBookOptions
{
  Duration live_for = Milliseconds(1600);     ///< Since it was last heard.
  Duration counted_for = Milliseconds(20000); ///< A silent one is missed.
  Duration forgotten_after = Milliseconds(120000);
};

/// @brief The other daemons of a store fleet: where they are, which live.
///
/// A daemon hears those of its own data centre directly. Of others it hears
/// some, and takes their word for which neighbours live.
class PeerBook
{
public:
  PeerBook(PeerBookOptions aOptions, MemberInfo aSelf);

  /// @brief Takes over a host that the store lists.
  void OnListed(const HostEntry& aEntry, TimePoint aNow);

  /// @brief Takes over an address at which a daemon may be.
  void OnSeed(const std::string& aAddress);

  /// @brief Takes in a daemon's own word.
  /// @return True if the daemon was not known to live.
  bool OnPresence(const PresenceNews& aNews, TimePoint aNow);

  /// @brief Forgets hosts that have been silent for long.
  void Tick(TimePoint aNow);

  /// @brief Addresses of live daemons in this data centre.
  std::vector<std::string> Neighbours(TimePoint aNow) const;

  /// @brief Addresses of up to aCount live daemons of each other data centre.
  std::vector<std::string> Relays(std::size_t aCount,
                                  TimePoint aNow,
                                  Random& aRandom) const;

  /// @brief The same of one data centre.
  std::vector<std::string> RelaysOf(const std::string& aCentre,
                                    std::size_t aCount,
                                    TimePoint aNow,
                                    Random& aRandom) const;

  /// @brief Addresses to which to send this daemon's presence.
  /// @param aRemote Of each other data centre, this many.
  std::vector<std::string> PresenceTargets(std::size_t aRemote,
                                           Random& aRandom) const;

  /// @brief Hashes of live hosts of this data centre, itself included.
  std::vector<std::uint32_t> NeighbourHashes(TimePoint aNow) const;

  /// @brief This daemon's place among those that live, by a stable order.
  std::size_t Order(TimePoint aNow) const;

  /// @brief Its place among those that live in its data centre.
  std::size_t NeighbourOrder(TimePoint aNow) const;

  /// @brief Tells whether a daemon is of this data centre.
  bool IsNeighbour(NodeId aNode) const;

  /// @brief Its place among those that are counted, by the same order.
  std::size_t CountedOrder(TimePoint aNow) const;

  /// @brief Daemons that live, itself included.
  std::size_t Live(TimePoint aNow) const;

  /// @brief Daemons that live or were heard not long ago, itself included.
  std::size_t Counted(TimePoint aNow) const;

  /// @brief Share of the other daemons that fell silent or were started again
  /// within a time, but for those that had said that they leave.
  double Upset(Duration aWindow, TimePoint aNow) const;

  /// @brief Tells whether a run of a daemon lives.
  bool IsLive(NodeId aNode, TimePoint aNow) const;

  /// @brief Data centre of the daemon at an address; empty if not known.
  std::string DataCentreAt(const std::string& aAddress) const;

private:
  struct Peer
  {
    MemberInfo info;
    std::uint64_t started_ms = 0;
    TimePoint heard{};  ///< Itself, or a live neighbour of it.
    TimePoint listed{}; ///< By the store, while it was never heard.
    TimePoint begun{};  ///< Start of its run, if that was not planned.
    bool leaving = false;
  };

  bool IsLive(const Peer& aPeer, TimePoint aNow) const;
  bool IsCounted(const Peer& aPeer, TimePoint aNow) const;
  bool IsNeighbour(const Peer& aPeer) const;

  PeerBookOptions m_options;
  MemberInfo m_self;
  std::uint32_t m_selfOrder;
  std::map<std::string, Peer> m_peers; ///< By host.
  std::map<NodeId, std::string> m_hosts;
  std::vector<std::string> m_seeds;
};

/// @brief Short hash of an id, the same on all daemons.
std::uint32_t
ShortHash(const std::string& aId);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_PEER_BOOK_H
