#include "sapphirelane/relay/counter_exchange.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// Interval of sums; the shorter one if much of an account's burst was spent
/// since the last ones.
constexpr Milliseconds kSumsInterval{ 250 };
constexpr Milliseconds kUrgentSumsInterval{ 20 };
constexpr double kUrgentBurstShare = 0.05;
constexpr double kMinUrgentTokens = 4;

/// Smallest interval of reports. Tokens that were spent are reported at once,
/// as the account may be near its limit; other counters follow within the
/// longer interval.
constexpr Milliseconds kMinReportInterval{ 20 };
constexpr Milliseconds kMaxReportInterval{ 200 };

/// Interval at which a daemon checks whether it is to add up, which takes a
/// scan of all peers.
constexpr Milliseconds kRankCheckInterval{ 100 };

/// Daemons that get the reports: the one that adds up, and the one that takes
/// over from it.
constexpr std::size_t kReportTargets = 2;

/// Relays in each data centre to which sums are sent.
constexpr std::size_t kRelaysPerCentre = 1;

/// Silence of the daemon that adds up after which another one's sums are
/// taken. Until then two daemons may both add up, as views of who is live
/// differ for a moment, and what they count must not count twice.
constexpr Milliseconds kOriginTimeout{ 700 };

/// Distinguishes the origin id of sums from that of the daemon that sends them.
constexpr NodeId kSumsOriginMask = 0x8000000000000000ULL;

} // namespace

CounterExchange::CounterExchange(MemberInfo aSelf,
                                 const PeerBook& aPeers,
                                 const UpdateSender& aSender,
                                 CounterSink& aSink)
  : m_self(std::move(aSelf))
  , m_centre(ShortHash(m_self.data_centre))
  , m_peers(aPeers)
  , m_sender(aSender)
  , m_sink(aSink)
{
}

void
CounterExchange::Tick(WorkBoard& aOwn, std::uint32_t& aSequence, TimePoint aNow)
{
  const Duration interval =
    aOwn.HasSpentNews() ? kMinReportInterval : kMaxReportInterval;
  if (aOwn.HasCounterNews() && aNow - m_lastReport >= interval) {
    m_lastReport = aNow;
    SendReport(aOwn, aSequence, aNow);
  }
  SendSums(aNow);
}

void
CounterExchange::SendReport(WorkBoard& aOwn,
                            std::uint32_t& aSequence,
                            TimePoint aNow)
{
  WorkNews report = aOwn.TakeCounterNews();
  report.origin = m_self.id;
  report.sequence = ++aSequence;
  for (const AccountWork& work : report.accounts) {
    RecordReported(Field::Spent, work.account, work.spent);
  }
  for (const ServiceWork& work : report.services) {
    RecordReported(Field::Requests, work.service, work.requests);
    RecordReported(Field::Extras, work.service, work.extras);
    RecordReported(Field::Ended, work.service, work.ended);
    RecordReported(Field::Unserved, work.service, work.unserved);
  }
  OnReport(report);
  m_sender.SendTo(m_peers.LeadingNeighbours(kReportTargets, aNow), report);
}

void
CounterExchange::RecordReported(Field aField,
                                std::uint32_t aKey,
                                std::uint32_t aValue)
{
  // Tokens that are returned decrease a counter, which may pass below 0.
  m_own[{ aField, aKey }].reported = static_cast<std::int32_t>(aValue);
}

void
CounterExchange::OnReport(const WorkNews& aReport)
{
  ReceivedCounters& counters = m_reports[aReport.origin];
  if (!counters.RecordMessage(aReport.sequence)) {
    return;
  }
  for (const AccountWork& work : aReport.accounts) {
    const std::uint32_t advance = counters.AdvanceSpent(work);
    m_sums.spent[work.account] += advance;
    const double unsent = m_sums.unsent[work.account] +=
      static_cast<std::int32_t>(advance);
    m_sums.urgent =
      m_sums.urgent ||
      unsent >= std::max(kMinUrgentTokens,
                         m_sink.BurstOf(work.account) * kUrgentBurstShare);
  }
  for (const ServiceWork& work : aReport.services) {
    const ServiceWork advance = counters.AdvanceService(work);
    ServiceWork& sum = m_sums.services[work.service];
    sum.service = work.service;
    sum.requests += advance.requests;
    sum.extras += advance.extras;
    sum.ended += advance.ended;
    sum.unserved += advance.unserved;
    m_sums.changed_services.insert(work.service);
  }
}

/// The daemon of rank 0 in a data centre sends the sums.
void
CounterExchange::SendSums(TimePoint aNow)
{
  if (m_isFirst || aNow >= m_nextRankCheck) {
    m_nextRankCheck = aNow + kRankCheckInterval;
    m_isFirst = m_peers.NeighbourOrder(aNow) == 0;
  }
  if (!m_isFirst) {
    m_addsUp = false;
    return;
  }
  if (!m_addsUp) {
    // The daemon before has sent what came earlier. If it has failed, the
    // reports since its last sums are lost.
    m_addsUp = true;
    m_sums = {};
    ++m_turn;
  }
  const bool changed =
    !m_sums.unsent.empty() || !m_sums.changed_services.empty();
  const Duration interval = m_sums.urgent ? kUrgentSumsInterval : kSumsInterval;
  if (!changed || aNow - m_lastSums < interval) {
    return;
  }
  m_lastSums = aNow;
  m_sums.urgent = false;
  WorkNews update;
  // Sums start again at 0, so receivers must see those of a new origin.
  update.origin = (m_self.id ^ kSumsOriginMask) + m_turn;
  update.sequence = ++m_sums.sequence;
  update.centre = m_centre;
  for (const auto& entry : m_sums.unsent) {
    update.accounts.push_back({ entry.first, m_sums.spent[entry.first] });
  }
  for (std::uint32_t service : m_sums.changed_services) {
    update.services.push_back(m_sums.services[service]);
  }
  m_sums.unsent.clear();
  m_sums.changed_services.clear();
  OnSums(update, aNow);
  m_sender.SendToRelays(update, m_sender.PickRelays(kRelaysPerCentre, aNow));
  m_sender.SendToRelays(
    update, m_sender.PickRelaysIn(m_self.data_centre, kRelaysPerCentre, aNow));
}

/// Whether sums of an origin are to be applied. Only one origin counts at a
/// time in each data centre.
bool
CounterExchange::AcceptsOrigin(CentreState& aState,
                               NodeId aOrigin,
                               TimePoint aNow)
{
  if (aState.origin != aOrigin) {
    const bool silent =
      aState.origin == 0 || aNow - aState.heard_at > kOriginTimeout;
    if (!silent) {
      return false;
    }
    aState.origin = aOrigin;
    aState.counters = {};
    for (auto& entry : m_own) {
      entry.second.taken_off = entry.second.reported;
      entry.second.open = 0;
    }
  }
  aState.heard_at = aNow;
  return true;
}

void
CounterExchange::OnSums(const WorkNews& aSums, TimePoint aNow)
{
  CentreState& state = m_centres[aSums.centre];
  if (!AcceptsOrigin(state, aSums.origin, aNow) ||
      !state.counters.RecordMessage(aSums.sequence)) {
    return;
  }
  if (aSums.spread) {
    m_sender.SendLocally(aSums, aNow);
  }
  const bool own = aSums.centre == m_centre;
  const auto ofOthers =
    [&](Field aField, std::uint32_t aKey, std::uint32_t aAdvance) {
      return own ? TakeOffOwn(aField, aKey, aAdvance) : aAdvance;
    };
  for (const AccountWork& work : aSums.accounts) {
    const std::uint32_t count =
      ofOthers(Field::Spent, work.account, state.counters.AdvanceSpent(work));
    if (static_cast<std::int32_t>(count) > 0) {
      m_sink.OnSpent(work.account, count, aNow);
    }
  }
  for (const ServiceWork& work : aSums.services) {
    ServiceWork advance = state.counters.AdvanceService(work);
    const std::uint32_t service = work.service;
    advance.requests = ofOthers(Field::Requests, service, advance.requests);
    advance.extras = ofOthers(Field::Extras, service, advance.extras);
    advance.ended = ofOthers(Field::Ended, service, advance.ended);
    advance.unserved = ofOthers(Field::Unserved, service, advance.unserved);
    m_sink.OnService(advance, aNow);
  }
}

/// Takes this daemon's own part off an advance of its data centre's sum. A
/// report may be on its way when sums are sent, so that too much is taken off;
/// the next sums make up for it.
std::uint32_t
CounterExchange::TakeOffOwn(Field aField,
                            std::uint32_t aKey,
                            std::uint32_t aAdvance)
{
  OwnPart& part = m_own[{ aField, aKey }];
  part.open += static_cast<std::int32_t>(aAdvance);
  part.open -= part.reported - std::exchange(part.taken_off, part.reported);
  const std::int64_t count = std::max<std::int64_t>(0, part.open);
  part.open -= count;
  return static_cast<std::uint32_t>(count);
}

} // namespace sapphirelane
