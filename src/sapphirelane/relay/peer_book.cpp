#include "sapphirelane/relay/peer_book.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

namespace {

/// Unit of the ages in PresenceNews.
constexpr Duration kPresenceAgeUnit = Milliseconds(100);

constexpr std::chrono::seconds kCleanupInterval{ 1 };

} // namespace

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
  peer.hash = ShortHash(aEntry.host);
  peer.info.data_centre = aEntry.data_centre;
  peer.info.address = aEntry.address;
  peer.centre = ShortHash(aEntry.data_centre);
  peer.local = aEntry.data_centre == m_self.data_centre;
  peer.listed_at = aNow;
  m_peerByHash[peer.hash] = &peer;
}

void
PeerBook::OnMember(const MemberInfo& aMember, TimePoint aNow)
{
  if (aMember.host == m_self.host || m_peers.count(aMember.host) == 1) {
    return;
  }
  OnListed({ aMember.host, aMember.data_centre, aMember.address }, aNow);
  Peer& peer = m_peers[aMember.host];
  peer.info = aMember;
  // Counts as live for a short time without a heartbeat of its own. A daemon
  // that has just started otherwise knows only seeds, and sends all to them.
  peer.last_seen = aNow - m_options.live_for / 2;
  m_hostByNode[aMember.id] = aMember.host;
}

std::vector<std::uint32_t>
PeerBook::UnknownHosts(const std::vector<std::uint32_t>& aHashes,
                       std::size_t aMost) const
{
  std::vector<std::uint32_t> unknown;
  for (std::uint32_t hash : aHashes) {
    const bool known = hash == m_selfHash || m_peerByHash.count(hash) == 1;
    if (!known && unknown.size() < aMost) {
      unknown.push_back(hash);
    }
  }
  return unknown;
}

std::vector<MemberInfo>
PeerBook::Members(const std::vector<std::uint32_t>& aHashes,
                  TimePoint aNow) const
{
  std::vector<MemberInfo> members;
  for (std::uint32_t hash : aHashes) {
    auto found = m_peerByHash.find(hash);
    if (found == m_peerByHash.end()) {
      continue;
    }
    // The run of a daemon that was only listed is not known.
    const Peer& peer = *found->second;
    if (peer.info.id != 0 && IsLive(peer, aNow)) {
      members.push_back(peer.info);
    }
  }
  return members;
}

std::vector<MemberInfo>
PeerBook::MembersOf(const std::string& aCentre,
                    std::size_t aCount,
                    TimePoint aNow,
                    Random& aRandom) const
{
  std::vector<MemberInfo> live;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.info.data_centre == aCentre && peer.info.id != 0 &&
        IsLive(peer, aNow)) {
      live.push_back(peer.info);
    }
  }
  std::vector<MemberInfo> chosen;
  std::sample(
    live.begin(), live.end(), std::back_inserter(chosen), aCount, aRandom);
  return chosen;
}

std::vector<MemberInfo>
PeerBook::MembersOfEach(std::size_t aCount,
                        TimePoint aNow,
                        Random& aRandom) const
{
  std::map<std::string, std::vector<MemberInfo>> byCentre;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.info.id != 0 && IsLive(peer, aNow)) {
      byCentre[peer.info.data_centre].push_back(peer.info);
    }
  }
  std::vector<MemberInfo> chosen;
  for (const auto& entry : byCentre) {
    std::sample(entry.second.begin(),
                entry.second.end(),
                std::back_inserter(chosen),
                aCount,
                aRandom);
  }
  return chosen;
}

bool
PeerBook::OnPresence(const PresenceNews& aNews, TimePoint aNow)
{
  if (aNews.self.host == m_self.host) {
    return false;
  }
  m_heardAt = std::max(m_heardAt, aNow);
  Peer& peer = m_peers[aNews.self.host];
  // A delayed heartbeat of an earlier run is ignored. If the clock of a host
  // was set back before its daemon restarted, the new run looks like an earlier
  // one, and is accepted only when the known run is no longer live.
  const bool knownRunIsLive = aNow - peer.last_seen <= LiveFor(peer);
  if (aNews.started_ms < peer.started_ms && knownRunIsLive) {
    return false;
  }
  const bool isNew =
    !peer.heard || !IsLive(peer, aNow) || peer.info.id != aNews.self.id;
  peer.heard = true;
  if (peer.info.id != aNews.self.id) {
    const bool announced = peer.leaving;
    peer.unplanned_start =
      announced ? TimePoint{} : aNow - Milliseconds(aNews.uptime_ms);
  }
  peer.info = aNews.self;
  peer.hash = ShortHash(aNews.self.host);
  peer.centre = ShortHash(aNews.self.data_centre);
  peer.local = aNews.self.data_centre == m_self.data_centre;
  peer.started_ms = aNews.started_ms;
  peer.leaving = aNews.leaving;
  peer.last_seen = aNow;
  m_hostByNode[peer.info.id] = peer.info.host;
  m_peerByHash[peer.hash] = &peer;
  peer.gossiped = aNews.gossips;
  ApplyList(aNews, aNow);
  return isNew;
}

/// Applies the signs of life of other daemons that a heartbeat lists. Those of
/// a small data centre have reached this daemon directly, if any did.
void
PeerBook::ApplyList(const PresenceNews& aNews, TimePoint aNow)
{
  const bool local = aNews.self.data_centre == m_self.data_centre;
  if (local && !aNews.gossips) {
    return;
  }
  const std::uint32_t centre = ShortHash(aNews.self.data_centre);
  const std::size_t size = std::min(aNews.neighbours.size(), aNews.ages.size());
  for (std::size_t i = 0; i < size; ++i) {
    auto found = m_peerByHash.find(aNews.neighbours[i]);
    if (found == m_peerByHash.end() || found->second->centre != centre) {
      continue;
    }
    Peer& peer = *found->second;
    peer.last_seen =
      std::max(peer.last_seen, aNow - aNews.ages[i] * kPresenceAgeUnit);
    peer.gossiped = aNews.gossips;
  }
}

void
PeerBook::Tick(TimePoint aNow)
{
  if (aNow < m_nextCleanup) {
    return;
  }
  m_nextCleanup = aNow + kCleanupInterval;
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const Peer& peer = it->second;
    const TimePoint last = std::max(peer.last_seen, peer.listed_at);
    if (aNow - last > m_options.forgotten_after) {
      m_hostByNode.erase(peer.info.id);
      m_peerByHash.erase(peer.hash);
      it = m_peers.erase(it);
    } else {
      ++it;
    }
  }
}

Duration
PeerBook::LiveFor(const Peer& aPeer) const
{
  if (!aPeer.gossiped) {
    return aPeer.local ? m_options.live_for : m_options.live_for_remote;
  }
  return aPeer.local ? m_options.live_for_gossip
                     : m_options.live_for_remote_gossip;
}

bool
PeerBook::IsLive(const Peer& aPeer, TimePoint aNow) const
{
  const bool cutOff = aNow - m_heardAt > m_options.live_for;
  return aPeer.last_seen != TimePoint{} && !aPeer.leaving && !cutOff &&
         aNow - aPeer.last_seen <= LiveFor(aPeer);
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
         aNow - peer->second.last_seen <= LiveFor(peer->second);
}

bool
PeerBook::HasNeighbours(TimePoint aNow) const
{
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    return aEntry.second.local && IsLive(aEntry.second, aNow);
  });
}

std::vector<std::string>
PeerBook::Neighbours(TimePoint aNow) const
{
  std::vector<std::string> addresses;
  for (const auto& entry : m_peers) {
    if (entry.second.local && IsLive(entry.second, aNow)) {
      addresses.push_back(entry.second.info.address);
    }
  }
  return addresses;
}

std::map<std::uint32_t, std::string>
PeerBook::NeighboursByHash(TimePoint aNow) const
{
  std::map<std::uint32_t, std::string> addresses;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.local && IsLive(peer, aNow)) {
      addresses[peer.hash] = peer.info.address;
    }
  }
  return addresses;
}

std::vector<MemberInfo>
PeerBook::LeadingNeighbours(std::size_t aCount, TimePoint aNow) const
{
  std::vector<MemberInfo> leading;
  std::size_t rank = 0;
  auto neighbours = NeighboursByHash(aNow);
  neighbours[m_selfHash] = std::string();
  for (const auto& entry : neighbours) {
    if (rank++ == aCount) {
      break;
    }
    if (!entry.second.empty()) {
      leading.push_back(m_peerByHash.at(entry.first)->info);
    }
  }
  return leading;
}

std::vector<std::string>
PeerBook::Relays(std::size_t aCount, TimePoint aNow, Random& aRandom) const
{
  std::map<std::string, std::vector<std::string>> live;
  for (const auto& entry : m_peers) {
    if (!entry.second.local && IsLive(entry.second, aNow)) {
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
  std::vector<std::string> targets;
  std::map<std::string, std::vector<std::string>> remote;
  for (const auto& entry : m_peers) {
    const MemberInfo& info = entry.second.info;
    if (entry.second.local) {
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

std::vector<std::string>
PeerBook::GossipTargets(std::size_t aNeighbours,
                        TimePoint aNow,
                        Random& aRandom) const
{
  std::vector<std::string> live;
  std::vector<std::string> silent; // Of this data centre.
  std::vector<std::string> others;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (!IsLive(peer, aNow)) {
      others.push_back(peer.info.address);
      if (peer.local) {
        silent.push_back(peer.info.address);
      }
    } else if (peer.local) {
      live.push_back(peer.info.address);
    }
  }
  std::vector<std::string> targets = Relays(1, aNow, aRandom);
  std::sample(live.begin(),
              live.end(),
              std::back_inserter(targets),
              aNeighbours,
              aRandom);
  std::sample(silent.begin(),
              silent.end(),
              std::back_inserter(targets),
              aNeighbours - std::min(aNeighbours, live.size()),
              aRandom);
  std::sample(
    others.begin(), others.end(), std::back_inserter(targets), 1, aRandom);
  return targets;
}

bool
PeerBook::Gossips(TimePoint aNow) const
{
  std::size_t members = 1;
  for (const auto& entry : m_peers) {
    members += entry.second.local && IsMember(entry.second, aNow) ? 1 : 0;
  }
  return members > m_options.full_mesh;
}

void
PeerBook::ListNeighbours(PresenceNews& aPresence, TimePoint aNow) const
{
  aPresence.gossips = Gossips(aNow);
  constexpr std::int64_t kMaxAge = std::numeric_limits<std::uint8_t>::max();
  std::map<std::uint32_t, std::uint8_t> ages = { { m_selfHash, 0 } };
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.local && IsLive(peer, aNow)) {
      const std::int64_t units =
        (aNow - peer.last_seen + kPresenceAgeUnit - Duration(1)) /
        kPresenceAgeUnit;
      ages[peer.hash] =
        static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, kMaxAge));
    }
  }
  for (const auto& [hash, age] : ages) {
    aPresence.neighbours.push_back(hash);
    aPresence.ages.push_back(age);
  }
}

std::size_t
PeerBook::Order(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsLive(aEntry.second, aNow) && aEntry.second.hash < m_selfHash;
    }));
}

std::size_t
PeerBook::NeighbourOrder(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return aEntry.second.local && IsLive(aEntry.second, aNow) &&
             aEntry.second.hash < m_selfHash;
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
  return peer != m_peers.end() && peer->second.local;
}

std::size_t
PeerBook::CountedOrder(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsMember(aEntry.second, aNow) && aEntry.second.hash < m_selfHash;
    }));
}

std::vector<std::uint32_t>
PeerBook::KnownHosts() const
{
  std::vector<std::uint32_t> hashes;
  hashes.reserve(m_peers.size());
  for (const auto& entry : m_peers) {
    if (!entry.second.leaving) {
      hashes.push_back(entry.second.hash);
    }
  }
  return hashes;
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
    const bool lost =
      !IsLive(peer, aNow) && aNow - peer.last_seen < LiveFor(peer) + aWindow;
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
