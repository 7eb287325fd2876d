#include "sapphirelane/relay/work_board.h"

#include <algorithm>
#include <limits>

#include "sapphirelane/relay/peer_book.h"

namespace sapphirelane {

namespace {

std::uint16_t
Short(std::uint64_t aNumber)
{
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aNumber, kMost));
}

} // namespace

void
WorkBoard::Load(const FleetConfig& aConfig)
{
  m_endpoints.clear();
  m_accounts.clear();
  m_services.clear();
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
WorkBoard::Sum(std::uint32_t aEndpoint) const
{
  auto found = m_inFlight.find(aEndpoint);
  std::uint32_t sum = 0;
  if (found != m_inFlight.end()) {
    for (const auto& entry : found->second) {
      sum += entry.second;
    }
  }
  return sum;
}

std::vector<FleetEvidence>
WorkBoard::Take(const WorkNews& aNews)
{
  std::map<std::string, FleetEvidence> told;
  for (const EndpointWork& work : aNews.endpoints) {
    auto& daemons = m_inFlight[work.endpoint];
    if (work.in_flight > 0) {
      daemons[aNews.origin] = work.in_flight;
    } else {
      daemons.erase(aNews.origin);
    }
    auto place = m_endpoints.find(work.endpoint);
    if (place == m_endpoints.end()) {
      continue;
    }
    EndpointEvidence evidence;
    evidence.endpoint = place->second.endpoint;
    evidence.answered = work.answered;
    evidence.bad = work.bad;
    evidence.shed = work.shed;
    evidence.answer_time = Milliseconds(work.answer_ms);
    evidence.in_flight = Sum(work.endpoint);
    FleetEvidence& service = told[place->second.service];
    service.service = place->second.service;
    service.endpoints.push_back(evidence);
  }
  std::vector<FleetEvidence> all;
  for (auto& entry : told) {
    all.push_back(std::move(entry.second));
  }
  return all;
}

std::vector<FleetEvidence>
WorkBoard::Drop(NodeId aNode)
{
  WorkNews nothing;
  nothing.origin = aNode;
  for (const auto& [endpoint, daemons] : m_inFlight) {
    if (daemons.count(aNode) == 1) {
      EndpointWork work;
      work.endpoint = endpoint;
      nothing.endpoints.push_back(work);
    }
  }
  return Take(nothing);
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
  EndpointWork& work = m_ownEndpoints[hash];
  work.endpoint = hash;
  work.in_flight = Short(aReport.in_flight);
  work.bad = Short(work.bad + aReport.bad);
  work.shed = Short(work.shed + aReport.shed);
  if (aReport.answered > 0) {
    const std::uint64_t before =
      static_cast<std::uint64_t>(work.answer_ms) * work.answered;
    const auto sample =
      static_cast<std::uint64_t>(ToMilliseconds(aReport.answer_time).count());
    work.answered = Short(work.answered + aReport.answered);
    work.answer_ms =
      Short((before + sample * aReport.answered) / work.answered);
  }
  if (aReport.begins || aReport.extra) {
    const std::uint32_t service = ShortHash(aReport.service);
    ServiceWork& own = m_ownServices[service];
    own.service = service;
    own.requests += aReport.begins ? 1 : 0;
    own.extras += aReport.extra ? 1 : 0;
    m_newServices.insert(service);
  }
}

void
WorkBoard::NoteOutcome(const std::string& aService, bool aServed)
{
  const std::uint32_t service = ShortHash(aService);
  ServiceWork& own = m_ownServices[service];
  own.service = service;
  ++own.ended;
  own.unserved += aServed ? 0 : 1;
  m_newServices.insert(service);
}

void
WorkBoard::NoteSpent(const std::string& aAccount, std::int32_t aCount)
{
  const std::uint32_t hash = ShortHash(aAccount);
  m_ownSpent[hash] += static_cast<std::uint32_t>(aCount);
  m_newAccounts.insert(hash);
}

bool
WorkBoard::HasNews() const
{
  return !m_ownEndpoints.empty() || !m_newAccounts.empty() ||
         !m_newServices.empty();
}

WorkNews
WorkBoard::TakeNews()
{
  WorkNews news;
  for (const auto& entry : m_ownEndpoints) {
    news.endpoints.push_back(entry.second);
  }
  for (std::uint32_t hash : m_newAccounts) {
    news.accounts.push_back({ hash, m_ownSpent[hash] });
  }
  for (std::uint32_t hash : m_newServices) {
    news.services.push_back(m_ownServices[hash]);
  }
  m_ownEndpoints.clear();
  m_newAccounts.clear();
  m_newServices.clear();
  return news;
}

} // namespace sapphirelane
