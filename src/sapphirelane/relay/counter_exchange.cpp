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

/// Accounts in a message that tells what the sums have held.
constexpr std::size_t kMaxAccountsSummed = 500;

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

std::uint32_t&
CounterExchange::FieldOf(ServiceWork& aWork, Field aField)
{
  switch (aField) {
    case Field::Requests:
      return aWork.requests;
    case Field::Extras:
      return aWork.extras;
    case Field::Ended:
      return aWork.ended;
    default:
      return aWork.unserved;
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
  for (ServiceWork& work : report.services) {
    for (const Field field : kServiceFields) {
      RecordReported(field, work.service, FieldOf(work, field));
    }
  }
  OnReport(report, aNow);
  const auto targets = m_peers.LeadingNeighbours(kReportTargets, aNow);
  SendSummed(targets, aSequence);
  report.sequence = ++aSequence;
  m_sender.SendTo(AddressesOf(targets), report);
}

/// Sends to daemons that get this daemon's reports for the first time, so that
/// they count from what the sums have held. Accounts are left out that the sums
/// hold all of: there may be thousands.
void
CounterExchange::SendSummed(const std::vector<MemberInfo>& aTargets,
                            std::uint32_t& aSequence)
{
  std::vector<MemberInfo> added;
  std::vector<NodeId> targets;
  for (const MemberInfo& target : aTargets) {
    targets.push_back(target.id);
    if (std::count(m_targets.begin(), m_targets.end(), target.id) == 0) {
      added.push_back(target);
    }
  }
  m_targets = std::move(targets);
  const bool originChanged = std::exchange(m_originChanged, false);
  if (added.empty()) {
    return;
  }
  WorkNews summed;
  summed.origin = m_self.id;
  summed.sequence = ++aSequence;
  std::map<std::uint32_t, ServiceWork> services;
  for (const auto& [key, part] : m_own) {
    const auto value = static_cast<std::uint32_t>(
      originChanged ? part.summed_before : part.Summed());
    if (key.first == Field::Spent) {
      if (part.reported != static_cast<std::int32_t>(value) &&
          summed.accounts.size() < kMaxAccountsSummed) {
        summed.accounts.push_back({ key.second, value });
      }
    } else {
      services[key.second].service = key.second;
      FieldOf(services[key.second], key.first) = value;
    }
  }
  for (const auto& entry : services) {
    summed.services.push_back(entry.second);
  }
  m_sender.SendTo(AddressesOf(added), summed);
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
CounterExchange::OnReport(const WorkNews& aReport, TimePoint aNow)
{
  if (aReport.accounts.empty() && aReport.services.empty()) {
    return; // It is about endpoints only.
  }
  if (aReport.origin != m_self.id) {
    DropStaleReports(aNow);
    m_reportedAt = aNow;
  }
  ReceivedCounters& counters = m_reports[aReport.origin];
  if (!counters.RecordMessage(aReport.sequence)) {
    return;
  }
  for (const AccountWork& work : aReport.accounts) {
    const std::uint32_t advance = counters.AdvanceSpent(work);
    m_unsummed[{ Field::Spent, work.account }] +=
      static_cast<std::int32_t>(advance);
    m_sums.spent[work.account] += advance;
    const double unsent = m_sums.unsent[work.account] +=
      static_cast<std::int32_t>(advance);
    m_sums.urgent =
      m_sums.urgent ||
      unsent >= std::max(kMinUrgentTokens,
                         m_sink.BurstOf(work.account) * kUrgentBurstShare);
  }
  for (const ServiceWork& work : aReport.services) {
    ServiceWork advance = counters.AdvanceService(work);
    ServiceWork& sum = m_sums.services[work.service];
    sum.service = work.service;
    for (const Field field : kServiceFields) {
      FieldOf(sum, field) += FieldOf(advance, field);
      m_unsummed[{ field, work.service }] += FieldOf(advance, field);
    }
    m_sums.changed_services.insert(work.service);
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
    m_reports.clear();
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
                            std::uint32_t aAdvance)
{
  auto found = m_unsummed.find({ aField, aKey });
  if (found != m_unsummed.end()) {
    found->second -= static_cast<std::int32_t>(aAdvance);
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
    aState.counters = ReceivedCounters(missedNone);
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
  if (!AcceptsOrigin(state, aSums.origin, own, aNow) ||
      !state.counters.RecordMessage(aSums.sequence)) {
    return;
  }
  if (aSums.spread) {
    m_sender.SendLocally(aSums, aNow);
  }
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
    for (const Field field : kServiceFields) {
      std::uint32_t& counter = FieldOf(advance, field);
      counter = ofOthers(field, service, counter);
    }
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
  NoteSummed(aField, aKey, aAdvance);
  part.open += static_cast<std::int32_t>(aAdvance);
  part.open -= part.reported - std::exchange(part.taken_off, part.reported);
  const std::int64_t count = std::max<std::int64_t>(0, part.open);
  part.open -= count;
  return static_cast<std::uint32_t>(count);
}

} // namespace sapphirelane
