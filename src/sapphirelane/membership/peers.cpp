#include "sapphirelane/membership/peers.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/wire/codec.h"

namespace sapphirelane {

namespace {

/// How long a daemon that is not a member is remembered.
constexpr Milliseconds kStrangerLife{ 2000 };

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
    m_heard[aInfo.id] = { aInfo, aNow };
  }
  for (auto it = m_heard.begin(); it != m_heard.end();) {
    const bool old = aNow - it->second.time > kStrangerLife;
    it = old ? m_heard.erase(it) : std::next(it);
  }
}

std::vector<MemberInfo>
Peers::Strangers(TimePoint aNow) const
{
  std::vector<MemberInfo> strangers;
  for (const auto& entry : m_heard) {
    const bool lately = aNow - entry.second.time <= kStrangerLife;
    if (lately && m_members.count(entry.first) == 0) {
      strangers.push_back(entry.second.info);
    }
  }
  return strangers;
}

std::string
Peers::AddressOf(NodeId aId) const
{
  auto member = m_members.find(aId);
  if (member != m_members.end()) {
    return member->second.address;
  }
  auto heard = m_heard.find(aId);
  return heard == m_heard.end() ? std::string() : heard->second.info.address;
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
  for (NodeId between : Draw(2)) {
    if (between != aId) {
      Send(between, Relay{ m_self.id, aId, EncodeMessage(aMessage) });
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
    std::uniform_int_distribution<std::size_t> rest(i, drawn.size() - 1);
    std::swap(drawn[i], drawn[rest(m_random)]);
  }
  drawn.resize(count);
  return drawn;
}

} // namespace sapphirelane
