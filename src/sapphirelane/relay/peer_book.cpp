#include "sapphirelane/relay/peer_book.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

std::uint32_t
ShortHash(const std::string& aId)
{
  return static_cast<std::uint32_t>(StableHash(aId));
}

PeerBook::PeerBook(PeerBookOptions aOptions, MemberInfo aSelf)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_selfHash(ShortHash(m_self.host))
{
}

void
PeerBook::OnListed(const HostEntry& aEntry, TimePoint aNow)
{
  if (aEntry.host == m_self.host) {
    return;
  }
  auto [found, isNew] = m_peers.try_emplace(aEntry.host);
  Peer& peer = found->second;
  if (!isNew && peer.last_seen != TimePoint{}) {
    return; // Its own heartbeat is newer than the store's entry.
  }
  peer.info.host = aEntry.host;
  peer.info.data_centre = aEntry.data_centre;
  peer.info.address = aEntry.address;
  peer.listed_at = aNow;
}

void
PeerBook::OnSeed(const std::string& aAddress)
{
  if (aAddress != m_self.address) {
    m_seeds.push_back(aAddress);
  }
}

bool
PeerBook::OnPresence(const PresenceNews& aNews, TimePoint aNow)
{
  if (aNews.self.host == m_self.host) {
    return false;
  }
  Peer& peer = m_peers[aNews.self.host];
  // A delayed heartbeat of an earlier run is ignored. If the clock of a host
  // was set back before its daemon restarted, the new run looks like an earlier
  // one, and is accepted only when the known run is no longer live.
  const bool knownRunIsLive = aNow - peer.last_seen <= m_options.live_for;
  if (aNews.started_ms < peer.started_ms && knownRunIsLive) {
    return false;
  }
  const bool isNew = !IsLive(peer, aNow) || peer.info.id != aNews.self.id;
  if (peer.info.id != aNews.self.id) {
    const bool announced = peer.leaving;
    peer.unplanned_start =
      announced ? TimePoint{} : aNow - Milliseconds(aNews.uptime_ms);
  }
  peer.info = aNews.self;
  peer.started_ms = aNews.started_ms;
  peer.leaving = aNews.leaving;
  peer.last_seen = aNow;
  m_hostByNode[peer.info.id] = peer.info.host;
  if (aNews.self.data_centre != m_self.data_centre) {
    for (auto& entry : m_peers) {
      const bool listedAsLive = std::binary_search(aNews.neighbours.begin(),
                                                   aNews.neighbours.end(),
                                                   ShortHash(entry.first));
      if (listedAsLive && !IsLocalPeer(entry.second)) {
        entry.second.last_seen = aNow;
      }
    }
  }
  return isNew;
}

void
PeerBook::Tick(TimePoint aNow)
{
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const Peer& peer = it->second;
    const TimePoint last = std::max(peer.last_seen, peer.listed_at);
    if (aNow - last > m_options.forgotten_after) {
      m_hostByNode.erase(peer.info.id);
      it = m_peers.erase(it);
    } else {
      ++it;
    }
  }
}

bool
PeerBook::IsLive(const Peer& aPeer, TimePoint aNow) const
{
  return aPeer.last_seen != TimePoint{} && !aPeer.leaving &&
         aNow - aPeer.last_seen <= m_options.live_for;
}

bool
PeerBook::IsLive(NodeId aNode, TimePoint aNow) const
{
  auto host = m_hostByNode.find(aNode);
  if (host == m_hostByNode.end()) {
    return false;
  }
  auto peer = m_peers.find(host->second);
  return peer != m_peers.end() && peer->second.info.id == aNode &&
         aNow - peer->second.last_seen <= m_options.live_for;
}

bool
PeerBook::IsLocalPeer(const Peer& aPeer) const
{
  return aPeer.info.data_centre == m_self.data_centre;
}

std::vector<std::string>
PeerBook::Neighbours(TimePoint aNow) const
{
  std::vector<std::string> addresses;
  for (const auto& entry : m_peers) {
    if (IsLocalPeer(entry.second) && IsLive(entry.second, aNow)) {
      addresses.push_back(entry.second.info.address);
    }
  }
  return addresses;
}

std::vector<std::string>
PeerBook::Relays(std::size_t aCount, TimePoint aNow, Random& aRandom) const
{
  std::map<std::string, std::vector<std::string>> live;
  for (const auto& entry : m_peers) {
    if (!IsLocalPeer(entry.second) && IsLive(entry.second, aNow)) {
      live[entry.second.info.data_centre].push_back(entry.second.info.address);
    }
  }
  std::vector<std::string> chosen;
  for (auto& entry : live) {
    std::sample(entry.second.begin(),
                entry.second.end(),
                std::back_inserter(chosen),
                aCount,
                aRandom);
  }
  return chosen;
}

std::vector<std::string>
PeerBook::RelaysOf(const std::string& aCentre,
                   std::size_t aCount,
                   TimePoint aNow,
                   Random& aRandom) const
{
  std::vector<std::string> live;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.info.data_centre == aCentre && IsLive(peer, aNow)) {
      live.push_back(peer.info.address);
    }
  }
  std::vector<std::string> chosen;
  std::sample(
    live.begin(), live.end(), std::back_inserter(chosen), aCount, aRandom);
  return chosen;
}

std::vector<std::string>
PeerBook::PresenceTargets(std::size_t aPerCentre, Random& aRandom) const
{
  std::vector<std::string> targets = m_seeds;
  std::map<std::string, std::vector<std::string>> remote;
  for (const auto& entry : m_peers) {
    const MemberInfo& info = entry.second.info;
    if (IsLocalPeer(entry.second)) {
      targets.push_back(info.address);
    } else {
      remote[info.data_centre].push_back(info.address);
    }
  }
  for (auto& entry : remote) {
    std::sample(entry.second.begin(),
                entry.second.end(),
                std::back_inserter(targets),
                aPerCentre,
                aRandom);
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  return targets;
}

std::vector<std::uint32_t>
PeerBook::NeighbourHashes(TimePoint aNow) const
{
  std::vector<std::uint32_t> hashes{ ShortHash(m_self.host) };
  for (const auto& entry : m_peers) {
    if (IsLocalPeer(entry.second) && IsLive(entry.second, aNow)) {
      hashes.push_back(ShortHash(entry.first));
    }
  }
  std::sort(hashes.begin(), hashes.end());
  return hashes;
}

std::size_t
PeerBook::Order(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsLive(aEntry.second, aNow) &&
             ShortHash(aEntry.first) < m_selfHash;
    }));
}

std::size_t
PeerBook::NeighbourOrder(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsLocalPeer(aEntry.second) && IsLive(aEntry.second, aNow) &&
             ShortHash(aEntry.first) < m_selfHash;
    }));
}

bool
PeerBook::IsNeighbour(NodeId aNode) const
{
  auto host = m_hostByNode.find(aNode);
  if (host == m_hostByNode.end()) {
    return false;
  }
  auto peer = m_peers.find(host->second);
  return peer != m_peers.end() && IsLocalPeer(peer->second);
}

std::size_t
PeerBook::CountedOrder(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsMember(aEntry.second, aNow) &&
             ShortHash(aEntry.first) < m_selfHash;
    }));
}

bool
PeerBook::IsMember(const Peer& aPeer, TimePoint aNow) const
{
  const TimePoint last = std::max(aPeer.last_seen, aPeer.listed_at);
  return !aPeer.leaving && aNow - last <= m_options.counted_for;
}

std::size_t
PeerBook::Live(TimePoint aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
                 return IsLive(aEntry.second, aNow);
               }));
}

std::size_t
PeerBook::Counted(TimePoint aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
                 return IsMember(aEntry.second, aNow);
               }));
}

double
PeerBook::Upset(Duration aWindow, TimePoint aNow) const
{
  double total = 0;
  double churned = 0;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.last_seen == TimePoint{} || !IsMember(peer, aNow)) {
      continue;
    }
    const bool restarted = peer.unplanned_start != TimePoint{} &&
                           aNow - peer.unplanned_start < aWindow;
    const bool lost = !IsLive(peer, aNow) &&
                      aNow - peer.last_seen < m_options.live_for + aWindow;
    total += 1;
    churned += restarted || lost ? 1 : 0;
  }
  return total == 0 ? 0 : churned / total;
}

std::string
PeerBook::DataCentreAt(const std::string& aAddress) const
{
  for (const auto& entry : m_peers) {
    if (entry.second.info.address == aAddress) {
      return entry.second.info.data_centre;
    }
  }
  return {};
}

} // namespace sapphirelane
