#include "sapphirelane/membership/map_proposer.h"

#include <algorithm>

namespace sapphirelane {

MapProposer::MapProposer(NodeId aSelf,
                         const RingMonitor& aRing,
                         const ShardKeeper& aShards,
                         const Peers& aPeers)
  : m_self(aSelf)
  , m_ring(aRing)
  , m_shards(aShards)
  , m_peers(aPeers)
{
}

bool
MapProposer::Wants(const std::optional<Head>& aHead,
                   const StopState& aStop,
                   TimePoint aNow) const
{
  if (!aHead) {
    return true;
  }
  const bool member = FindMember(*aHead, m_self) != nullptr;
  if (member == aStop.stopping) {
    return true;
  }
  if (aStop.stopping) {
    return false;
  }
  const auto proposers = m_ring.Proposers(aNow);
  const bool proposes =
    std::find(proposers.begin(), proposers.end(), m_self) != proposers.end();
  return proposes &&
         (!m_ring.Dead(aNow).empty() || !m_shards.Retired().empty() ||
          !m_peers.Strangers(aNow).empty());
}

std::optional<Head>
MapProposer::Next(const Head& aBase,
                  const StopState& aStop,
                  bool aEvenSame,
                  TimePoint aNow) const
{
  const auto joining = Joining(aBase, aStop, aNow);
  const auto leaving = Leaving(aBase, aStop, aNow);
  if (joining.empty() && leaving.empty()) {
    return aEvenSame ? std::optional<Head>(aBase) : std::nullopt;
  }
  Head base = aBase;
  base.departed = m_shards.StillDeparted(aBase, aNow);
  return WithMembers(base, joining, leaving);
}

std::vector<MemberInfo>
MapProposer::Joining(const Head& aBase,
                     const StopState& aStop,
                     TimePoint aNow) const
{
  std::vector<MemberInfo> joining;
  if (aStop.stopping) {
    return joining;
  }
  if (FindMember(aBase, m_self) == nullptr) {
    joining.push_back(m_peers.Self());
  }
  for (const MemberInfo& stranger : m_peers.Strangers(aNow)) {
    if (FindMember(aBase, stranger.id) == nullptr) {
      joining.push_back(stranger);
    }
  }
  return joining;
}

std::vector<Departed>
MapProposer::Leaving(const Head& aBase,
                     const StopState& aStop,
                     TimePoint aNow) const
{
  // A retired daemon has handed its shards over, but whether all of its claims
  // are safe is known to itself alone.
  std::set<NodeId> gone = m_shards.Retired();
  const auto dead = m_ring.Dead(aNow);
  gone.insert(dead.begin(), dead.end());
  gone.erase(m_self);
  std::vector<Departed> leaving;
  for (NodeId id : gone) {
    if (FindMember(aBase, id) != nullptr) {
      leaving.push_back({ id, 0, false });
    }
  }
  if (aStop.stopping && FindMember(aBase, m_self) != nullptr) {
    leaving.push_back({ m_self, 0, aStop.claims_kept });
  }
  return leaving;
}

} // namespace sapphirelane
