#include "sapphirelane/relay/work_relay.h"

#include <utility>

namespace sapphirelane {

namespace {

/// Relays in each other data centre to which an update is sent; more of them
/// for urgent updates, as messages can be lost.
constexpr std::size_t kRelaysPerCentre = 1;
constexpr std::size_t kUrgentRelaysPerCentre = 2;

/// Interval of the totals that a data centre sends to the others.
constexpr Milliseconds kCentreUpdateInterval{ 100 };

/// Distinguishes the origin id of a data centre's totals from the id of the
/// daemon that sends them.
constexpr NodeId kCentreOriginMask = 0x8000000000000000ULL;

/// Longest time for which reports of successful requests are held back to be
/// batched. It is longer in a large fleet, where each update costs as many
/// messages as a data centre has daemons. Requests that start or fail are sent
/// at once, together with what was held back.
constexpr Milliseconds kMaxUpdateDelay{ 20 };
constexpr Milliseconds kMaxUpdateDelayLargeFleet{ 100 };

/// Highest sequence number of a daemon's first received message at which its
/// counters are taken from 0. Above it, the daemon had counted before this one
/// received its updates.
constexpr std::uint32_t kMaxFirstSequence = 3;

} // namespace

LoadExchange::LoadExchange(MemberInfo aSelf,
                           const PeerBook& aPeers,
                           const UpdateSender& aSender,
                           QuotaLedger& aQuota,
                           ExtraBudget& aRetries)
  : m_self(std::move(aSelf))
  , m_peers(aPeers)
  , m_sender(aSender)
  , m_quota(aQuota)
  , m_retries(aRetries)
{
}

void
LoadExchange::RecordLocalWork(const WorkReport& aReport, TimePoint aNow)
{
  m_load.NoteOwn(aReport);
  if (aReport.begins) {
    m_retries.NoteRequests(aReport.service, 1, aNow);
  }
  const bool bad = aReport.bad > 0 || aReport.shed > 0;
  if (bad || aReport.begins || aReport.extra) {
    SendUpdate(bad ? kUrgentRelaysPerCentre : kRelaysPerCentre, aNow);
  }
}

void
LoadExchange::RecordOutcome(const std::string& aService,
                            bool aServed,
                            TimePoint aNow)
{
  m_load.NoteOutcome(aService, aServed);
  m_shortfalls[aService].Note(1, aServed ? 0 : 1, aNow);
}

void
LoadExchange::RecordSpent(const std::string& aAccount, std::int32_t aCount)
{
  m_load.NoteSpent(aAccount, aCount);
}

double
LoadExchange::Shortfall(const std::string& aService, TimePoint aNow)
{
  return m_shortfalls[aService].Share(aNow);
}

void
LoadExchange::Tick(TimePoint aNow)
{
  SendCentreTotals(aNow);
  const Duration maxDelay =
    m_large ? kMaxUpdateDelayLargeFleet : kMaxUpdateDelay;
  if (m_load.HasNews() && aNow - m_lastUpdate >= maxDelay) {
    SendUpdate(kRelaysPerCentre, aNow);
  }
}

void
LoadExchange::ReceivedCounters::RecordMessage(std::uint32_t aSequence)
{
  since_start = sequence == 0 ? aSequence <= kMaxFirstSequence : since_start;
  sequence = aSequence;
}

std::uint32_t
LoadExchange::ReceivedCounters::Advance(Counters& aCounters,
                                        std::uint32_t aKey,
                                        std::uint32_t aValue) const
{
  auto found = aCounters.try_emplace(aKey, since_start ? 0 : aValue).first;
  return aValue - std::exchange(found->second, aValue);
}

std::vector<FleetEvidence>
LoadExchange::RemoveDeadDaemons(TimePoint aNow)
{
  std::vector<FleetEvidence> all = m_load.DropEnded(aNow);
  for (NodeId node : m_load.Nodes()) {
    if (!m_peers.IsLive(node, aNow)) {
      for (FleetEvidence& one : m_load.Drop(node, aNow)) {
        all.push_back(std::move(one));
      }
    }
  }
  return all;
}

void
LoadExchange::SendUpdate(std::size_t aRelays, TimePoint aNow)
{
  WorkNews update = m_load.TakeNews();
  update.origin = m_self.id;
  update.sequence = ++m_sequence;
  m_lastUpdate = aNow;
  if (!m_large) {
    m_sender.SendToAll(
      std::move(update), m_sender.PickRelays(aRelays, aNow), aNow);
    return;
  }
  AddToCentreTotals(update);
  m_sender.SendLocally(update, aNow);
  SendToEndpointCentres(update, aRelays, aNow);
}

/// Sends each other data centre the updates about its own endpoints.
void
LoadExchange::SendToEndpointCentres(const WorkNews& aUpdate,
                                    std::size_t aRelays,
                                    TimePoint aNow)
{
  std::map<std::string, WorkNews> byCentre;
  for (const EndpointWork& work : aUpdate.endpoints) {
    const std::string centre = m_load.CentreOf(work.endpoint);
    if (!centre.empty() && centre != m_self.data_centre) {
      byCentre[centre].endpoints.push_back(work);
    }
  }
  for (auto& [centre, update] : byCentre) {
    update.origin = aUpdate.origin;
    update.sequence = aUpdate.sequence;
    m_sender.SendToRelays(update, m_sender.PickRelaysIn(centre, aRelays, aNow));
  }
}

/// Adds the advance of a daemon's counters to the totals of its data centre.
void
LoadExchange::AddToCentreTotals(const WorkNews& aUpdate)
{
  ReceivedCounters& received = m_centreReceived[aUpdate.origin];
  received.RecordMessage(aUpdate.sequence);
  for (const AccountWork& work : aUpdate.accounts) {
    m_centreTotals.spent[work.account] +=
      received.Advance(received.spent, work.account, work.spent);
    m_centreTotals.changed_accounts.insert(work.account);
  }
  for (const ServiceWork& work : aUpdate.services) {
    ServiceWork& total = m_centreTotals.services[work.service];
    total.service = work.service;
    total.requests +=
      received.Advance(received.requests, work.service, work.requests);
    total.extras +=
      received.Advance(received.extras, work.service, work.extras);
    total.ended += received.Advance(received.ended, work.service, work.ended);
    total.unserved +=
      received.Advance(received.unserved, work.service, work.unserved);
    m_centreTotals.changed_services.insert(work.service);
  }
}

/// In a large fleet, the daemon of rank 0 in a data centre sends the totals of
/// its data centre to the other ones.
void
LoadExchange::SendCentreTotals(TimePoint aNow)
{
  if (!m_large || m_peers.NeighbourOrder(aNow) != 0) {
    m_aggregates = false;
    return;
  }
  if (!m_aggregates) {
    // The previous aggregator has reported what came before. If it died, the
    // counts of its last PeerTableOptions::live_for are lost.
    m_aggregates = true;
    m_centreTotals = {};
    ++m_aggregationEpoch;
  }
  const bool due = aNow - m_lastCentreUpdate >= kCentreUpdateInterval;
  if (!due || (m_centreTotals.changed_accounts.empty() &&
               m_centreTotals.changed_services.empty())) {
    return;
  }
  m_lastCentreUpdate = aNow;
  WorkNews update;
  // Totals restart at 0, so receivers must see them as those of a new origin.
  update.origin = (m_self.id ^ kCentreOriginMask) + m_aggregationEpoch;
  update.sequence = ++m_centreTotals.sequence;
  for (std::uint32_t account : m_centreTotals.changed_accounts) {
    update.accounts.push_back({ account, m_centreTotals.spent[account] });
  }
  for (std::uint32_t service : m_centreTotals.changed_services) {
    update.services.push_back(m_centreTotals.services[service]);
  }
  m_centreTotals.changed_accounts.clear();
  m_centreTotals.changed_services.clear();
  m_sender.SendToRelays(std::move(update),
                        m_sender.PickRelays(kUrgentRelaysPerCentre, aNow));
}

std::vector<FleetEvidence>
LoadExchange::OnUpdate(const WorkNews& aUpdate, TimePoint aNow)
{
  if (aUpdate.origin == m_self.id) {
    return {};
  }
  ReceivedCounters& received = m_received[aUpdate.origin];
  if (aUpdate.sequence <= received.sequence) {
    return {}; // Duplicate or older than the latest message.
  }
  received.RecordMessage(aUpdate.sequence);
  if (aUpdate.spread) {
    m_sender.SendLocally(aUpdate, aNow);
  }
  if (m_large && m_peers.IsNeighbour(aUpdate.origin)) {
    AddToCentreTotals(aUpdate);
  }
  for (const AccountWork& work : aUpdate.accounts) {
    const std::uint32_t advance =
      received.Advance(received.spent, work.account, work.spent);
    // Returned tokens decrease the counter.
    const auto admitted = static_cast<std::int32_t>(advance);
    if (admitted > 0) {
      m_quota.NoteOthers(m_load.AccountOf(work.account), advance, aNow);
    }
  }
  for (const ServiceWork& work : aUpdate.services) {
    const std::string service = m_load.ServiceOf(work.service);
    const std::uint32_t requests =
      received.Advance(received.requests, work.service, work.requests);
    const std::uint32_t extras =
      received.Advance(received.extras, work.service, work.extras);
    m_retries.NoteRequests(service, requests, aNow);
    m_retries.NoteExtras(service, extras, aNow);
    const std::uint32_t ended =
      received.Advance(received.ended, work.service, work.ended);
    const std::uint32_t unserved =
      received.Advance(received.unserved, work.service, work.unserved);
    m_shortfalls[service].Note(ended, unserved, aNow);
  }
  return m_load.Take(aUpdate, aNow);
}

} // namespace sapphirelane
