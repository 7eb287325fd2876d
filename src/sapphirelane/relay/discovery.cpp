#include "sapphirelane/relay/discovery.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// Daemons that are listed in the store: enough that one of them is nearly
/// always alive.
constexpr std::size_t kListedDaemons = 8;

/// Uptime from which a daemon that hears nobody, although it has seeds, uses
/// the store, and the random time added to it. Seeds answer within
/// milliseconds, or are gone.
constexpr Milliseconds kSeedTimeout{ 700 };
constexpr int kSeedTimeoutJitterMs = 700;

/// Uptime from which the order of the daemons is known well enough to decide
/// who is listed.
constexpr Milliseconds kOrderTime{ 3000 };

/// Interval at which it is checked whether a call is due, which takes a scan of
/// all peers.
constexpr Milliseconds kCheckInterval{ 100 };

/// Interval of store calls, and the random time added to it: a store that
/// refuses some of many calls at once must not get them all again at once.
constexpr Milliseconds kCallInterval{ 1000 };
constexpr int kCallJitterMs = 1000;

/// Questions for unknown hosts in an interval, and the hosts of one of them;
/// the answer has to fit into a datagram.
constexpr Milliseconds kAskInterval{ 100 };
constexpr int kMaxAsks = 4;
constexpr std::size_t kMaxAskedHosts = 80;

/// Daemons of each data centre that an answer names besides those asked for.
constexpr std::size_t kMembersOfEach = 2;

/// Daemons of the asker's data centre that an answer names. They differ each
/// time, so that daemons that start together do not all contact the same ones.
constexpr std::size_t kNamedNeighbours = 16;

} // namespace

Discovery::Discovery(MemberInfo aSelf,
                     bool aHasSeeds,
                     StoreFleetEnv& aEnv,
                     PeerBook& aPeers,
                     Random& aRandom)
  : m_self(std::move(aSelf))
  , m_hasSeeds(aHasSeeds)
  , m_env(aEnv)
  , m_peers(aPeers)
  , m_random(aRandom)
  , m_storeDelay(0)
{
  if (m_hasSeeds) {
    std::uniform_int_distribution<int> jitterMs(0, kSeedTimeoutJitterMs);
    m_storeDelay = kSeedTimeout + Milliseconds(jitterMs(m_random));
  }
}

void
Discovery::SetStoreEra(std::uint64_t aEra)
{
  if (aEra > m_storeEra) {
    m_storeEra = aEra;
    m_entryWritten = false;
  }
}

void
Discovery::Tick(Duration aUptime, TimePoint aNow)
{
  if (aUptime < m_storeDelay || aNow < m_nextCheck) {
    return;
  }
  m_nextCheck = aNow + kCheckInterval;
  const bool alone = HearsNobody(aNow);
  const bool entryDue = IsEntryDue(aUptime, aNow);
  m_hostsRead = m_hostsRead || (m_hasSeeds && !alone);
  const bool listDue = alone || !m_hostsRead;
  if (aNow < m_nextCall || !(entryDue || listDue)) {
    return;
  }
  std::uniform_int_distribution<int> jitterMs(0, kCallJitterMs);
  m_nextCall = aNow + kCallInterval + Milliseconds(jitterMs(m_random));
  // Of two daemons that start at the same time, the one that reads later finds
  // the entry of the other.
  if (entryDue) {
    CallStore(SourceCall::Kind::WriteHost);
  }
  if (listDue) {
    CallStore(SourceCall::Kind::ReadHosts);
  }
}

bool
Discovery::HearsNobody(TimePoint aNow) const
{
  return m_peers.Live(aNow) == 1;
}

bool
Discovery::IsEntryDue(Duration aUptime, TimePoint aNow) const
{
  if (m_entryWritten) {
    return false;
  }
  const bool listed =
    aUptime > kOrderTime && m_peers.Order(aNow) < kListedDaemons;
  return listed || !m_hasSeeds || HearsNobody(aNow);
}

void
Discovery::CallStore(SourceCall::Kind aKind)
{
  SourceCall call;
  call.kind = aKind;
  call.host = { m_self.host, m_self.data_centre, m_self.address };
  m_env.CallSource(call);
}

void
Discovery::OnHostsRead(const SourceResult& aResult, TimePoint aNow)
{
  if (!aResult.answered) {
    return;
  }
  m_hostsRead = m_entryWritten || m_hasSeeds;
  for (const HostEntry& entry : aResult.hosts) {
    m_peers.OnListed(entry, aNow);
  }
}

void
Discovery::OnHostWritten(const SourceResult& aResult)
{
  m_entryWritten = aResult.answered;
}

void
Discovery::Leave()
{
  if (m_entryWritten) {
    CallStore(SourceCall::Kind::RemoveHost);
  }
}

void
Discovery::OnPresence(const std::string& aAddress,
                      const PresenceNews& aUpdate,
                      TimePoint aNow)
{
  if (aNow >= m_nextAskInterval) {
    m_nextAskInterval = aNow + kAskInterval;
    m_asks = 0;
  }
  if (m_asks >= kMaxAsks) {
    return;
  }
  MembersAsk ask;
  ask.hosts = m_peers.UnknownHosts(aUpdate.neighbours, kMaxAskedHosts);
  ask.data_centre = m_peers.HasNeighbours(aNow) ? "" : m_self.data_centre;
  if (!ask.hosts.empty() || !ask.data_centre.empty()) {
    ++m_asks;
    m_env.Send({ aAddress }, ask);
  }
}

void
Discovery::OnAsk(const std::string& aAddress,
                 const MembersAsk& aAsk,
                 TimePoint aNow)
{
  MembersNews answer;
  answer.members = m_peers.Members(aAsk.hosts, aNow);
  const auto neighbours =
    m_peers.MembersOf(aAsk.data_centre, kNamedNeighbours, aNow, m_random);
  answer.members.insert(
    answer.members.end(), neighbours.begin(), neighbours.end());
  // A daemon that learns of a few in each data centre finds the rest there.
  const auto others = m_peers.MembersOfEach(kMembersOfEach, aNow, m_random);
  answer.members.insert(answer.members.end(), others.begin(), others.end());
  if (!answer.members.empty()) {
    m_env.Send({ aAddress }, answer);
  }
}

void
Discovery::OnMembers(const MembersNews& aMembers, TimePoint aNow)
{
  for (const MemberInfo& member : aMembers.members) {
    m_peers.OnMember(member, aNow);
  }
}

} // namespace sapphirelane
