#include "sapphirelane/relay/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Relays in each other data centre to which an update is sent; more of them
/// for urgent updates, as messages can be lost.
constexpr std::size_t kRelaysPerCentre = 1;
constexpr std::size_t kUrgentRelaysPerCentre = 2;

/// Longest time for which reports of successful requests are held back to be
/// batched. It is longer in a large fleet, where each update costs as many
/// messages as a data centre has daemons. Requests that start or fail are sent
/// at once, together with what was held back.
constexpr Milliseconds kMaxUpdateDelay{ 20 };
constexpr Milliseconds kMaxUpdateDelayLargeFleet{ 100 };

/// Smallest interval of log lines on counters that were not used.
constexpr Milliseconds kRefusedLineInterval{ 1000 };

} // namespace

LoadExchange::LoadExchange(const MemberInfo& aSelf,
                           const PeerBook& aPeers,
                           const UpdateSender& aSender,
                           QuotaLedger& aQuota,
                           ExtraBudget& aRetries)
  : m_self(aSelf)
  , m_peers(aPeers)
  , m_sender(aSender)
  , m_quota(aQuota)
  , m_retries(aRetries)
  , m_counters(aSelf, aPeers, aSender, *this)
{
}

void
LoadExchange::RecordLocalWork(const WorkReport& aReport, TimePoint aNow)
{
  m_load.NoteOwn(aReport);
  if (aReport.begins) {
    m_retries.NoteRequest(aReport.service, aNow);
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
LoadExchange::UpdateMembership(bool aLarge, TimePoint aNow)
{
  const bool changed = m_large != aLarge;
  m_large = aLarge;
  if (changed && aLarge) {
    m_counters.TakeFrom(m_load, aNow);
  } else if (changed) {
    // The sums held the counters of others so far.
    for (auto& entry : m_received) {
      entry.second.ForgetCounters();
    }
  }
  if (!aLarge) {
    m_hearingRevision += changed ? 1 : 0;
    return;
  }
  m_neighbours = m_peers.NeighboursByHash(aNow);
  std::vector<std::uint32_t> daemons = { m_peers.SelfHash() };
  for (const auto& entry : m_neighbours) {
    daemons.push_back(entry.first);
  }
  std::sort(daemons.begin(), daemons.end());
  const bool reassigned = m_observers.Update(
    m_load.EndpointsOf(m_self.data_centre), std::move(daemons));
  m_hearingRevision += changed || reassigned ? 1 : 0;
}

bool
LoadExchange::HearsWorkOf(const std::string& aEndpoint) const
{
  return !m_large ||
         m_observers.Observes(m_peers.SelfHash(), ShortHash(aEndpoint));
}

void
LoadExchange::Tick(TimePoint aNow)
{
  const Duration maxDelay =
    m_large ? kMaxUpdateDelayLargeFleet : kMaxUpdateDelay;
  const bool hasNews = m_large ? m_load.HasEndpointNews() : m_load.HasNews();
  if (hasNews && aNow - m_lastUpdate >= maxDelay) {
    SendUpdate(kRelaysPerCentre, aNow);
  }
  if (m_large) {
    m_counters.Tick(m_load, m_sequence, aNow);
  }
  m_retries.SetReportedUntil(m_large ? m_counters.SumsHeardAt()
                                     : m_peers.HeardAt());
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
  WorkNews update = m_large ? m_load.TakeEndpointNews() : m_load.TakeNews();
  update.origin = m_self.id;
  update.sequence = ++m_sequence;
  m_lastUpdate = aNow;
  if (!m_large) {
    m_sender.SendToAll(
      std::move(update), m_sender.PickRelays(aRelays, aNow), aNow);
    return;
  }
  SendToObservers(update);
  SendToEndpointCentres(update, aRelays, aNow);
}

/// Sends an update to the daemons that observe one of its endpoints.
void
LoadExchange::SendToObservers(const WorkNews& aUpdate)
{
  std::set<std::string> addresses;
  for (const EndpointWork& work : aUpdate.endpoints) {
    for (std::uint32_t daemon : m_observers.ObserversOf(work.endpoint)) {
      auto found = m_neighbours.find(daemon);
      if (found != m_neighbours.end()) {
        addresses.insert(found->second);
      }
    }
  }
  m_sender.SendTo({ addresses.begin(), addresses.end() }, aUpdate);
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

std::vector<FleetEvidence>
LoadExchange::OnUpdate(const WorkNews& aUpdate, TimePoint aNow)
{
  if (aUpdate.origin == m_self.id) {
    return {};
  }
  if (aUpdate.centre != 0) {
    m_counters.OnSums(aUpdate, aNow);
    return {};
  }
  ReceivedCounters& received =
    m_received.try_emplace(aUpdate.origin, aUpdate.origin, aNow).first->second;
  if (!received.RecordMessage(aUpdate)) {
    return {};
  }
  if (aUpdate.spread && m_large) {
    SendToObservers(aUpdate);
  } else if (aUpdate.spread) {
    m_sender.SendLocally(aUpdate, aNow);
  }
  WorkNews advanced = aUpdate;
  for (EndpointWork& work : advanced.endpoints) {
    work.begun = received.AdvanceBegun(work, aNow);
  }
  if (m_large) {
    m_counters.OnReport(aUpdate, aNow);
    return m_load.Take(advanced, aNow);
  }
  const CounterDeltas deltas = received.Advance(aUpdate, aNow);
  if (deltas.refused > 0) {
    OnRefused(aUpdate, deltas.refused, aNow);
  }
  for (const SpentDelta& delta : deltas.accounts) {
    if (delta.spent > 0) {
      OnSpent(delta.account, static_cast<std::uint32_t>(delta.spent), aNow);
    }
  }
  for (const ServiceDelta& delta : deltas.services) {
    OnService(delta, aNow);
  }
  return m_load.Take(advanced, aNow);
}

void
LoadExchange::OnBase(const CounterBase& aBase, TimePoint aNow)
{
  if (m_large) {
    m_counters.OnBase(aBase, aNow);
  }
}

void
LoadExchange::OnRefused(const WorkNews& aMessage,
                        std::uint32_t aValues,
                        TimePoint aNow)
{
  m_refused += aValues;
  if (aNow < m_nextRefusedLine) {
    return;
  }
  m_nextRefusedLine = aNow + kRefusedLineInterval;
  LogLine("load",
          "A load report has counters that are too low or too high.",
          LogFields()
            .Add("origin", std::uint64_t{ aMessage.origin })
            .Add("sums", aMessage.centre != 0)
            .Add("values", std::uint64_t{ aValues })
            .Add("values_since_start", m_refused));
}

void
LoadExchange::OnSpent(std::uint32_t aAccount,
                      std::uint32_t aCount,
                      TimePoint aNow)
{
  m_quota.NoteOthers(m_load.AccountOf(aAccount), aCount, aNow);
}

double
LoadExchange::BurstOf(std::uint32_t aAccount) const
{
  return m_quota.BurstOf(m_load.AccountOf(aAccount));
}

void
LoadExchange::OnService(const ServiceDelta& aDelta, TimePoint aNow)
{
  const std::string service = m_load.ServiceOf(aDelta.service);
  m_retries.NoteOthers(aDelta.service, aDelta.requests, aDelta.extras, aNow);
  m_shortfalls[service].Note(aDelta.ended, aDelta.unserved, aNow);
}

} // namespace sapphirelane
