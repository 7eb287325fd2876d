#include "sapphirelane/membership/peers.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/wire/codec.h"

namespace sapphirelane {

namespace {

/// Time after its last request to join for which a candidate is remembered.
constexpr Milliseconds kCandidateLifetime{ 2000 };

} // namespace

Peers::Peers(NodeEnv& aEnv, MemberInfo aSelf, Random& aRandom)
  : m_env(aEnv)
  , m_self(std::move(aSelf))
  , m_random(aRandom)
{
}

void
Peers::Load(const Head& aHead)
{
  m_members.clear();
  m_others.clear();
  for (const MemberInfo& member : aHead.members) {
    m_members[member.id] = member;
    if (member.id != m_self.id) {
      m_others.push_back(member.id);
    }
  }
}

void
Peers::Hear(const MemberInfo& aInfo, TimePoint aNow)
{
  if (aInfo.id != m_self.id) {
    m_candidates[aInfo.id] = { aInfo, aNow };
  }
  for (auto it = m_candidates.begin(); it != m_candidates.end();) {
    const bool expired = aNow - it->second.last_request > kCandidateLifetime;
    it = expired ? m_candidates.erase(it) : std::next(it);
  }
}

std::vector<MemberInfo>
Peers::Strangers(TimePoint aNow) const
{
  std::vector<MemberInfo> candidates;
  for (const auto& entry : m_candidates) {
    const bool recent = aNow - entry.second.last_request <= kCandidateLifetime;
    if (recent && m_members.count(entry.first) == 0) {
      candidates.push_back(entry.second.info);
    }
  }
  return candidates;
}

std::string
Peers::AddressOf(NodeId aId) const
{
  auto member = m_members.find(aId);
  if (member != m_members.end()) {
    return member->second.address;
  }
  auto candidate = m_candidates.find(aId);
  return candidate == m_candidates.end() ? std::string()
                                         : candidate->second.info.address;
}

void
Peers::Send(NodeId aId, const PeerMessage& aMessage)
{
  const std::string address = AddressOf(aId);
  if (!address.empty()) {
    m_env.Send(address, aMessage);
  }
}

void
Peers::SendAround(NodeId aId, const PeerMessage& aMessage)
{
  for (NodeId relay : Draw(2)) {
    if (relay != aId) {
      Send(relay, Relay{ m_self.id, aId, EncodeMessage(aMessage) });
      return;
    }
  }
}

std::vector<NodeId>
Peers::Draw(std::size_t aCount)
{
  std::vector<NodeId> drawn = m_others;
  const std::size_t count = std::min(aCount, drawn.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<std::size_t> remaining(i, drawn.size() - 1);
    std::swap(drawn[i], drawn[remaining(m_random)]);
  }
  drawn.resize(count);
  return drawn;
}

} // namespace sapphirelane
