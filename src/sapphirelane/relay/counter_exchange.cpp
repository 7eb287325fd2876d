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

/// Reports of a counter to a new target with which the value is sent from which
/// it is to be taken. All of them are lost once in a thousand times where a
/// tenth of the messages is lost.
constexpr std::uint32_t kBasesOfCounter = 3;

/// Origins of sums of a data centre whose counters are kept.
constexpr std::size_t kMaxOrigins = 4;

/// Time without any report after which a daemon that takes over as the second
/// counts anew, as reports went to others meanwhile.
constexpr Milliseconds kMaxReportGap{ 1000 };

/// Silence of a data centre up to which another daemon's sums are taken from 0.
constexpr Milliseconds kMaxTurnGap{ 6000 };

/// Distinguishes the origin id of sums from that of the daemon that sends them.
constexpr NodeId kSumsOriginMask = 0x8000000000000000ULL;

std::vector<std::string>
AddressesOf(const std::vector<MemberInfo>& aMembers)
{
  std::vector<std::string> addresses;
  for (const MemberInfo& member : aMembers) {
    addresses.push_back(member.address);
  }
  return addresses;
}

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

template<typename Service>
auto&
CounterExchange::FieldOf(Service& aService, Field aField)
{
  switch (aField) {
    case Field::Requests:
      return aService.requests;
    case Field::Extras:
      return aService.extras;
    case Field::Ended:
      return aService.ended;
    default:
      return aService.unserved;
  }
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
    for (const Field field : kServiceFields) {
      RecordReported(field, work.service, FieldOf(work, field));
    }
  }
  OnReport(report, aNow);
  const auto targets = m_peers.LeadingNeighbours(kReportTargets, aNow);
  UpdateTargets(targets);
  for (Target& target : m_targets) {
    SendBase(target, report);
  }
  m_sender.SendTo(AddressesOf(targets), report);
}

/// A daemon that was a target before the last report and is one again counts as
/// new: its counters may have been dropped meanwhile.
void
CounterExchange::UpdateTargets(const std::vector<MemberInfo>& aTargets)
{
  const bool originChanged = std::exchange(m_originChanged, false);
  std::vector<Target> targets;
  for (const MemberInfo& member : aTargets) {
    const auto known =
      std::find_if(m_targets.begin(),
                   m_targets.end(),
                   [&](const Target& aItem) { return aItem.id == member.id; });
    targets.push_back(
      known != m_targets.end()
        ? std::move(*known)
        : Target{ member.id, member.address, originChanged, {} });
  }
  m_targets = std::move(targets);
}

/// Value from which a target is to take a counter. It stays the same while it
/// is sent, as what the sums hold of reports under way is estimated.
CounterExchange::Base&
CounterExchange::BaseOf(Target& aTarget, const CounterKey& aKey) const
{
  const auto [base, isNew] = aTarget.bases.try_emplace(aKey);
  const auto found = m_own.find(aKey);
  if (isNew && found != m_own.end()) {
    const OwnPart& part = found->second;
    base->second.value = static_cast<std::uint32_t>(
      aTarget.from_before ? part.summed_before : part.Summed());
  }
  return base->second;
}

/// Sends a target the values from which it is to take the counters of a report.
/// They are sent with the first reports of each counter, as messages are lost.
void
CounterExchange::SendBase(Target& aTarget, const WorkNews& aReport)
{
  CounterBase message;
  message.origin = m_self.id;
  for (const AccountWork& work : aReport.accounts) {
    Base& base = BaseOf(aTarget, { Field::Spent, work.account });
    if (base.sent++ < kBasesOfCounter) {
      message.accounts.push_back({ work.account, base.value });
    }
  }
  for (const ServiceWork& work : aReport.services) {
    if (BaseOf(aTarget, { Field::Requests, work.service }).sent++ <
        kBasesOfCounter) {
      ServiceWork service;
      service.service = work.service;
      for (const Field field : kServiceFields) {
        FieldOf(service, field) =
          BaseOf(aTarget, { field, work.service }).value;
      }
      message.services.push_back(service);
    }
  }
  if (!message.accounts.empty() || !message.services.empty()) {
    m_sender.SendMessage(aTarget.address, message);
  }
}

void
CounterExchange::TakeFrom(const WorkBoard& aOwn, TimePoint aNow)
{
  const auto take =
    [&](Field aField, std::uint32_t aKey, std::uint32_t aValue) {
      OwnPart& part = m_own[{ aField, aKey }];
      part.reported = static_cast<std::int32_t>(aValue);
      part.taken_off = part.summed_before = part.reported;
      part.open = 0;
    };
  WorkNews own = aOwn.AllCounters();
  for (const AccountWork& work : own.accounts) {
    take(Field::Spent, work.account, work.spent);
  }
  for (ServiceWork& work : own.services) {
    for (const Field field : kServiceFields) {
      take(field, work.service, FieldOf(work, field));
    }
  }
  m_targets.clear();
  m_reports.clear();
  m_unsummed.clear();
  ReportsOf(m_self.id, aNow)
    .TakeFrom({ m_self.id, own.accounts, own.services }, aNow);
}

void
CounterExchange::RecordReported(Field aField,
                                std::uint32_t aKey,
                                std::uint32_t aValue)
{
  // Tokens that are returned decrease a counter, which may pass below 0.
  m_own[{ aField, aKey }].reported = static_cast<std::int32_t>(aValue);
}

ReceivedCounters&
CounterExchange::ReportsOf(NodeId aOrigin, TimePoint aNow)
{
  return m_reports.try_emplace(aOrigin, aOrigin, aNow).first->second;
}

void
CounterExchange::OnBase(const CounterBase& aBase, TimePoint aNow)
{
  if (aBase.origin == m_self.id) {
    return;
  }
  DropStaleReports(aNow);
  m_reportedAt = aNow;
  AddToSums(ReportsOf(aBase.origin, aNow).TakeFrom(aBase, aNow));
}

void
CounterExchange::OnReport(const WorkNews& aReport, TimePoint aNow)
{
  if (aReport.accounts.empty() && aReport.services.empty()) {
    return; // It is about endpoints only.
  }
  if (aReport.origin != m_self.id) {
    DropStaleReports(aNow);
    m_reportedAt = aNow;
  }
  ReceivedCounters& counters = ReportsOf(aReport.origin, aNow);
  if (!counters.RecordMessage(aReport)) {
    return;
  }
  const CounterDeltas deltas = counters.Advance(aReport, aNow);
  if (deltas.refused > 0) {
    m_sink.OnRefused(aReport, deltas.refused, aNow);
  }
  AddToSums(deltas);
}

void
CounterExchange::AddToSums(const CounterDeltas& aDeltas)
{
  for (const SpentDelta& delta : aDeltas.accounts) {
    if (delta.spent == 0) {
      continue;
    }
    m_unsummed[{ Field::Spent, delta.account }] += delta.spent;
    m_sums.spent[delta.account] += static_cast<std::uint32_t>(delta.spent);
    const double unsent = m_sums.unsent[delta.account] += delta.spent;
    m_sums.urgent =
      m_sums.urgent ||
      unsent >= std::max(kMinUrgentTokens,
                         m_sink.BurstOf(delta.account) * kUrgentBurstShare);
  }
  for (const ServiceDelta& delta : aDeltas.services) {
    ServiceWork& sum = m_sums.services[delta.service];
    sum.service = delta.service;
    for (const Field field : kServiceFields) {
      const std::uint32_t count = FieldOf(delta, field);
      FieldOf(sum, field) += count;
      m_unsummed[{ field, delta.service }] += count;
    }
    m_sums.changed_services.insert(delta.service);
  }
}

/// The daemon of rank 0 in a data centre sends the sums.
void
CounterExchange::SendSums(TimePoint aNow)
{
  if (m_isFirst || aNow >= m_nextRankCheck) {
    m_nextRankCheck = aNow + kRankCheckInterval;
    const std::size_t order = m_peers.NeighbourOrder(aNow);
    m_isFirst = order == 0;
    const bool isTarget = order < kReportTargets;
    if (isTarget && !m_isTarget) {
      DropStaleReports(aNow);
    }
    m_isTarget = isTarget;
  }
  if (!m_isFirst) {
    m_addsUp = false;
    return;
  }
  if (!m_addsUp) {
    TakeOver();
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

/// Drops what was counted when reports last came here, if they have gone to
/// others since.
void
CounterExchange::DropStaleReports(TimePoint aNow)
{
  if (!m_isTarget && aNow - m_reportedAt > kMaxReportGap) {
    // This daemon's own reports always come here.
    auto own = m_reports.extract(m_self.id);
    m_reports.clear();
    m_reports.insert(std::move(own));
    m_unsummed.clear();
  }
}

/// Starts new sums with what the daemon before has not sent.
void
CounterExchange::TakeOver()
{
  m_addsUp = true;
  m_sums = {};
  ++m_turn;
  for (const auto& [key, count] : m_unsummed) {
    const auto& [field, id] = key;
    if (count <= 0) {
      continue;
    }
    const auto value = static_cast<std::uint32_t>(count);
    if (field == Field::Spent) {
      m_sums.spent[id] = value;
      m_sums.unsent[id] = static_cast<double>(value);
    } else {
      m_sums.services[id].service = id;
      FieldOf(m_sums.services[id], field) = value;
      m_sums.changed_services.insert(id);
    }
  }
}

/// Records that the sums of this data centre hold more of a counter.
void
CounterExchange::NoteSummed(Field aField,
                            std::uint32_t aKey,
                            std::int64_t aDelta)
{
  auto found = m_unsummed.find({ aField, aKey });
  if (found != m_unsummed.end()) {
    found->second -= aDelta;
    if (found->second <= 0) {
      m_unsummed.erase(found);
    }
  }
}

TimePoint
CounterExchange::SumsHeardAt() const
{
  auto found = m_centres.find(m_centre);
  return found == m_centres.end() ? TimePoint{} : found->second.heard_at;
}

/// Whether sums of an origin are to be applied. Only one origin counts at a
/// time in each data centre.
bool
CounterExchange::AcceptsOrigin(CentreState& aState,
                               NodeId aOrigin,
                               bool aOwnCentre,
                               TimePoint aNow)
{
  if (aState.origin != aOrigin) {
    const bool silent =
      aState.origin == 0 || aNow - aState.heard_at > kOriginTimeout;
    if (!silent) {
      return false;
    }
    // What an origin sums up is new, unless so much time has passed that it may
    // have begun long ago.
    const bool missedNone =
      aState.origin != 0 && aNow - aState.heard_at < kMaxTurnGap;
    while (aState.counters.size() >= kMaxOrigins) {
      aState.counters.erase(aState.counters.begin());
    }
    aState.counters.try_emplace(aOrigin,
                                aOrigin,
                                aNow,
                                missedNone ? ReceivedCounters::Start::AtZero
                                           : ReceivedCounters::Start::Unknown);
    if (aOwnCentre) {
      m_originChanged = true;
      for (auto& entry : m_own) {
        OwnPart& part = entry.second;
        part.summed_before = part.taken_off = part.Summed();
        part.open = 0;
      }
    }
  }
  aState.origin = aOrigin;
  aState.heard_at = aNow;
  return true;
}

void
CounterExchange::OnSums(const WorkNews& aSums, TimePoint aNow)
{
  CentreState& state = m_centres[aSums.centre];
  const bool own = aSums.centre == m_centre;
  if (!AcceptsOrigin(state, aSums.origin, own, aNow)) {
    return;
  }
  ReceivedCounters& counters = state.counters.at(aSums.origin);
  if (!counters.RecordMessage(aSums)) {
    return;
  }
  if (aSums.spread) {
    m_sender.SendLocally(aSums, aNow);
  }
  CounterDeltas deltas = counters.Advance(aSums, aNow);
  if (deltas.refused > 0) {
    m_sink.OnRefused(aSums, deltas.refused, aNow);
  }
  for (const SpentDelta& delta : deltas.accounts) {
    const std::int64_t count =
      own ? TakeOffOwn(Field::Spent, delta.account, delta.spent) : delta.spent;
    if (count > 0) {
      m_sink.OnSpent(delta.account, static_cast<std::uint32_t>(count), aNow);
    }
  }
  for (ServiceDelta& delta : deltas.services) {
    if (own) {
      for (const Field field : kServiceFields) {
        std::uint32_t& count = FieldOf(delta, field);
        count = TakeOffOwn(field, delta.service, count);
      }
    }
    m_sink.OnService(delta, aNow);
  }
}

/// Takes this daemon's own part off an advance of its data centre's sum. A
/// report may be on its way when sums are sent, so that too much is taken off;
/// the next sums make up for it.
std::uint32_t
CounterExchange::TakeOffOwn(Field aField,
                            std::uint32_t aKey,
                            std::int64_t aDelta)
{
  OwnPart& part = m_own[{ aField, aKey }];
  NoteSummed(aField, aKey, aDelta);
  part.open += aDelta;
  part.open -= part.reported - std::exchange(part.taken_off, part.reported);
  const std::int64_t count = std::max<std::int64_t>(0, part.open);
  part.open -= count;
  return static_cast<std::uint32_t>(count);
}

} // namespace sapphirelane
