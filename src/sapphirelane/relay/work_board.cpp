#include "sapphirelane/relay/work_board.h"

#include <algorithm>
#include <limits>

#include "sapphirelane/relay/peer_book.h"

namespace sapphirelane {

namespace {

/// Time for which an attempt may outlast its request's time limit.
constexpr Milliseconds kRequestEndGrace{ 1000 };

std::uint16_t
SaturateTo16Bits(std::uint64_t aNumber)
{
  constexpr std::uint64_t kMaxValue = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aNumber, kMaxValue));
}

} // namespace

void
WorkBoard::Load(const FleetConfig& aConfig)
{
  m_endpoints.clear();
  m_accounts.clear();
  m_services.clear();
  m_maxRequestTime = Duration::zero();
  for (const auto& entry : aConfig.routes) {
    m_maxRequestTime = std::max<Duration>(
      m_maxRequestTime, entry.second.timeout + kRequestEndGrace);
  }
  for (const auto& [id, endpoint] : aConfig.endpoints) {
    m_endpoints[ShortHash(id)] = { endpoint.service, id, endpoint.data_centre };
  }
  for (const auto& entry : aConfig.accounts) {
    m_accounts[ShortHash(entry.first)] = entry.first;
  }
  for (const auto& entry : aConfig.services) {
    m_services[ShortHash(entry.first)] = entry.first;
  }
}

std::uint32_t
WorkBoard::TotalInFlight(std::uint32_t aEndpoint) const
{
  auto found = m_inFlight.find(aEndpoint);
  std::uint32_t sum = 0;
  if (found != m_inFlight.end()) {
    for (const auto& entry : found->second) {
      sum += entry.second.in_flight;
    }
  }
  return sum;
}

std::vector<FleetEvidence>
WorkBoard::Take(const WorkNews& aUpdate, TimePoint aNow)
{
  std::map<std::string, FleetEvidence> byService;
  for (const EndpointWork& work : aUpdate.endpoints) {
    auto& daemons = m_inFlight[work.endpoint];
    if (work.in_flight > 0) {
      daemons[aUpdate.origin] = { work.in_flight, aNow };
    } else {
      daemons.erase(aUpdate.origin);
    }
    auto known = m_endpoints.find(work.endpoint);
    if (known == m_endpoints.end()) {
      continue;
    }
    EndpointEvidence evidence;
    evidence.endpoint = known->second.endpoint;
    evidence.answered = work.answered;
    evidence.bad = work.bad;
    evidence.shed = work.shed;
    evidence.begun = work.begun;
    evidence.answer_time = Milliseconds(work.answer_ms);
    evidence.in_flight = TotalInFlight(work.endpoint);
    FleetEvidence& service = byService[known->second.service];
    service.service = known->second.service;
    service.endpoints.push_back(evidence);
  }
  std::vector<FleetEvidence> all;
  for (auto& entry : byService) {
    all.push_back(std::move(entry.second));
  }
  return all;
}

std::vector<FleetEvidence>
WorkBoard::Drop(NodeId aNode, TimePoint aNow)
{
  WorkNews cleared;
  cleared.origin = aNode;
  for (const auto& [endpoint, daemons] : m_inFlight) {
    if (daemons.count(aNode) == 1) {
      EndpointWork work;
      work.endpoint = endpoint;
      cleared.endpoints.push_back(work);
    }
  }
  return Take(cleared, aNow);
}

std::vector<FleetEvidence>
WorkBoard::DropEnded(TimePoint aNow)
{
  std::map<NodeId, WorkNews> cleared;
  for (const auto& [endpoint, daemons] : m_inFlight) {
    for (const auto& [node, work] : daemons) {
      const bool ended = m_maxRequestTime > Duration::zero() &&
                         aNow - work.reported_at > m_maxRequestTime;
      if (ended) {
        EndpointWork none;
        none.endpoint = endpoint;
        cleared[node].endpoints.push_back(none);
      }
    }
  }
  std::vector<FleetEvidence> all;
  for (auto& [node, update] : cleared) {
    update.origin = node;
    for (FleetEvidence& one : Take(update, aNow)) {
      all.push_back(std::move(one));
    }
  }
  return all;
}

std::vector<NodeId>
WorkBoard::Nodes() const
{
  std::set<NodeId> nodes;
  for (const auto& entry : m_inFlight) {
    for (const auto& daemon : entry.second) {
      nodes.insert(daemon.first);
    }
  }
  return { nodes.begin(), nodes.end() };
}

std::string
WorkBoard::AccountOf(std::uint32_t aHash) const
{
  auto found = m_accounts.find(aHash);
  return found == m_accounts.end() ? std::string() : found->second;
}

std::string
WorkBoard::CentreOf(std::uint32_t aHash) const
{
  auto found = m_endpoints.find(aHash);
  return found == m_endpoints.end() ? std::string() : found->second.data_centre;
}

std::string
WorkBoard::ServiceOf(std::uint32_t aHash) const
{
  auto found = m_services.find(aHash);
  return found == m_services.end() ? std::string() : found->second;
}

void
WorkBoard::NoteOwn(const WorkReport& aReport)
{
  const std::uint32_t hash = ShortHash(aReport.endpoint);
  EndpointWork& work = m_changedEndpoints[hash];
  work.endpoint = hash;
  work.in_flight = SaturateTo16Bits(aReport.in_flight);
  work.bad = SaturateTo16Bits(work.bad + aReport.bad);
  work.shed = SaturateTo16Bits(work.shed + aReport.shed);
  std::uint32_t& begun = m_begun[hash];
  begun += aReport.begins || aReport.extra ? 1 : 0;
  work.begun = begun;
  if (aReport.answered > 0) {
    const std::uint64_t previousSumMs =
      static_cast<std::uint64_t>(work.answer_ms) * work.answered;
    const auto answerMs =
      static_cast<std::uint64_t>(ToMilliseconds(aReport.answer_time).count());
    work.answered = SaturateTo16Bits(work.answered + aReport.answered);
    work.answer_ms = SaturateTo16Bits(
      (previousSumMs + answerMs * aReport.answered) / work.answered);
  }
  if (aReport.begins || aReport.extra) {
    const std::uint32_t service = ShortHash(aReport.service);
    ServiceWork& counters = m_localServices[service];
    counters.service = service;
    counters.requests += aReport.begins ? 1 : 0;
    counters.extras += aReport.extra ? 1 : 0;
    m_changedServices.insert(service);
  }
}

void
WorkBoard::NoteOutcome(const std::string& aService, bool aServed)
{
  const std::uint32_t service = ShortHash(aService);
  ServiceWork& counters = m_localServices[service];
  counters.service = service;
  ++counters.ended;
  counters.unserved += aServed ? 0 : 1;
  m_changedServices.insert(service);
}

void
WorkBoard::NoteSpent(const std::string& aAccount, std::int32_t aCount)
{
  const std::uint32_t hash = ShortHash(aAccount);
  m_localSpent[hash] += static_cast<std::uint32_t>(aCount);
  m_changedAccounts.insert(hash);
}

bool
WorkBoard::HasNews() const
{
  return HasEndpointNews() || HasCounterNews();
}

bool
WorkBoard::HasCounterNews() const
{
  return !m_changedAccounts.empty() || !m_changedServices.empty();
}

WorkNews
WorkBoard::TakeNews()
{
  WorkNews update = TakeCounterNews();
  update.endpoints = TakeEndpointNews().endpoints;
  return update;
}

WorkNews
WorkBoard::TakeEndpointNews()
{
  WorkNews update;
  for (const auto& entry : m_changedEndpoints) {
    update.endpoints.push_back(entry.second);
  }
  m_changedEndpoints.clear();
  return update;
}

WorkNews
WorkBoard::TakeCounterNews()
{
  WorkNews update;
  for (std::uint32_t hash : m_changedAccounts) {
    update.accounts.push_back({ hash, m_localSpent[hash] });
  }
  for (std::uint32_t hash : m_changedServices) {
    update.services.push_back(m_localServices[hash]);
  }
  m_changedAccounts.clear();
  m_changedServices.clear();
  return update;
}

WorkNews
WorkBoard::AllCounters() const
{
  WorkNews all;
  for (const auto& [account, spent] : m_localSpent) {
    all.accounts.push_back({ account, spent });
  }
  for (const auto& entry : m_localServices) {
    all.services.push_back(entry.second);
  }
  return all;
}

std::map<std::uint32_t, std::set<std::uint32_t>>
WorkBoard::EndpointsOf(const std::string& aCentre) const
{
  std::map<std::uint32_t, std::set<std::uint32_t>> endpoints;
  for (const auto& [hash, info] : m_endpoints) {
    if (info.data_centre == aCentre) {
      endpoints[ShortHash(info.service)].insert(hash);
    }
  }
  return endpoints;
}

} // namespace sapphirelane
