#include "sapphirelane/relay/retry_handover.h"

#include <algorithm>
#include <iterator>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Intervals of requests while the window is not known, at first and at most,
/// and once it is known. The interval doubles: when all daemons have started,
/// nobody can answer, and each request is a connection.
constexpr Milliseconds kUrgentInterval{ 100 };
constexpr Milliseconds kInterval{ 1000 };

/// Uptime from which all daemons send their reports to this one.
constexpr Milliseconds kIntroductionTime{ 4000 };

/// Daemons that are asked at a time, and requests that may await a reply.
constexpr std::size_t kPeersAsked = 2;
constexpr std::size_t kMaxPending = 8;

/// Distinguishes the calls from those for the view.
constexpr std::uint64_t kFirstCall = 1ULL << 63U;

} // namespace

RetryHandover::RetryHandover(bool aNewFleet,
                             Duration aWindow,
                             StoreFleetEnv& aEnv,
                             const PeerBook& aPeers,
                             ExtraBudget& aRetries,
                             Random& aRandom)
  : m_newFleet(aNewFleet)
  , m_request{ static_cast<std::uint32_t>(ToMilliseconds(aWindow).count()) }
  , m_env(aEnv)
  , m_peers(aPeers)
  , m_retries(aRetries)
  , m_random(aRandom)
  , m_interval(kUrgentInterval)
  , m_lastCall(kFirstCall)
{
}

/// Picks live daemons of different data centres.
std::vector<std::string>
RetryHandover::PickPeers(TimePoint aNow)
{
  const std::vector<MemberInfo> live =
    m_peers.MembersOfEach(kPeersAsked, aNow, m_random);
  std::vector<MemberInfo> picked;
  std::sample(live.begin(),
              live.end(),
              std::back_inserter(picked),
              kPeersAsked,
              m_random);
  std::vector<std::string> addresses;
  for (const MemberInfo& member : picked) {
    addresses.push_back(member.address);
  }
  return addresses;
}

void
RetryHandover::Tick(TimePoint aNow)
{
  if (m_startedAt == TimePoint{}) {
    m_startedAt = aNow;
    if (!m_newFleet) {
      m_retries.ForgetBefore(aNow);
    }
  }
  const bool known = m_retries.IsKnown(aNow);
  const Duration uptime = aNow - m_startedAt;
  const bool done = known && uptime > kIntroductionTime;
  if (done || aNow < m_nextRequest || m_pending.size() >= kMaxPending) {
    return;
  }
  m_nextRequest = aNow + (known ? kInterval : m_interval);
  m_interval = std::min<Duration>(kInterval, 2 * m_interval);
  for (const std::string& address : PickPeers(aNow)) {
    BulkCall call;
    call.id = ++m_lastCall;
    call.address = address;
    call.request = m_request;
    m_pending[call.id] = address;
    m_env.CallPeer(std::move(call));
  }
}

bool
RetryHandover::OnBulkReply(std::uint64_t aCall,
                           const BulkReply& aReply,
                           TimePoint aNow)
{
  auto found = m_pending.find(aCall);
  if (found == m_pending.end()) {
    return aCall > kFirstCall;
  }
  const std::string from = found->second;
  m_pending.erase(found);
  const auto* snapshot = aReply ? std::get_if<RetriesReply>(&*aReply) : nullptr;
  if (snapshot == nullptr) {
    return true;
  }
  const bool wasKnown = m_retries.IsKnown(aNow);
  m_retries.Merge(*snapshot, aNow);
  if (!wasKnown && m_retries.IsKnown(aNow)) {
    LogLine("retry",
            "The fleet's retry budgets are known.",
            LogFields()
              .Add("from", from)
              .Add("services", std::uint64_t{ snapshot->services.size() })
              .Add("after_ms", aNow - m_startedAt));
  }
  return true;
}

} // namespace sapphirelane
