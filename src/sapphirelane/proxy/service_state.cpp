#include "sapphirelane/proxy/service_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirelane/routing/subset.h"

namespace sapphirelane {

namespace {

constexpr double kLatencyWeight = 0.1;
constexpr Duration kLatencyHalfLife = Milliseconds(2000);
constexpr Duration kLeastHedge = Milliseconds(20);
constexpr double kHedgeFactor = 3;

/// Age given to endpoints that were in service before this daemon started.
constexpr Duration kWarm = std::chrono::hours(1);

/// Connections that one host may need while a pool is being renewed.
constexpr std::size_t kPoolsOfHost = 1;

} // namespace

ServiceState::ServiceState(std::unique_ptr<Balancer> aBalancer,
                           std::unique_ptr<Ejector> aEjector,
                           std::uint32_t aPool)
  : m_balancer(std::move(aBalancer))
  , m_ejector(std::move(aEjector))
  , m_pool(aPool)
{
}

void
ServiceState::Load(const FleetConfig& aConfig,
                   const std::string& aService,
                   std::size_t aRank,
                   std::size_t aHosts,
                   TimePoint aNow)
{
  m_service = aService;
  m_floor = aConfig.services.at(aService).floor;
  const bool first = m_endpoints.empty();
  std::vector<std::string> ids;
  std::uint32_t connections = 0;
  for (const auto& [id, endpoint] : aConfig.endpoints) {
    if (endpoint.service != aService) {
      continue;
    }
    ids.push_back(id);
    connections = connections == 0
                    ? endpoint.connections
                    : std::min(connections, endpoint.connections);
    auto [found, isNew] = m_endpoints.try_emplace(id);
    EndpointState& state = found->second;
    const bool returns = !isNew && state.endpoint.state == LifeState::Leaving &&
                         endpoint.state == LifeState::InService;
    if (isNew) {
      state.since = first ? aNow - kWarm : aNow;
    } else if (returns) {
      state.since = aNow;
    }
    state.endpoint = endpoint;
  }
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const bool kept = std::binary_search(ids.begin(), ids.end(), it->first);
    it = kept ? std::next(it) : m_endpoints.erase(it);
  }
  const std::size_t size =
    SubsetSize(ids.size(), aHosts, connections, m_pool * kPoolsOfHost);
  const auto subset = ChooseSubset(ids, aRank, size);
  for (auto& [id, state] : m_endpoints) {
    state.in_subset =
      std::find(subset.begin(), subset.end(), id) != subset.end();
  }
}

bool
ServiceState::HasRoom(const EndpointState& aState) const
{
  return aState.in_flight < std::min(aState.endpoint.slots, m_pool);
}

bool
ServiceState::MayChoose(const EndpointState& aState) const
{
  return aState.in_subset && HasRoom(aState) &&
         aState.endpoint.state == LifeState::InService &&
         !m_ejector->IsEjected(aState.endpoint.id);
}

Candidate
ServiceState::CandidateOf(const EndpointState& aState, TimePoint aNow) const
{
  Candidate candidate;
  candidate.id = aState.endpoint.id;
  candidate.slots = aState.endpoint.slots;
  candidate.in_flight = aState.in_flight;
  candidate.reported_load = aState.load;
  candidate.report_age = aNow - aState.load_time;
  // An old estimate fades, so that a slow moment is not held against an
  // endpoint that is no longer chosen.
  const double age = ToSeconds(aNow - aState.latency_time);
  const double kept = std::exp2(-age / ToSeconds(kLatencyHalfLife));
  candidate.latency = std::chrono::duration_cast<Duration>(
    Seconds(ToSeconds(aState.latency) * kept));
  candidate.in_service_for = aNow - aState.since;
  return candidate;
}

std::optional<Placement>
ServiceState::Place(bool aMayTry,
                    const std::vector<std::string>& aAvoid,
                    TimePoint aNow,
                    Random& aRandom)
{
  std::vector<Candidate> candidates;
  std::vector<Candidate> avoided;
  for (auto& [id, state] : m_endpoints) {
    const bool tries = aMayTry && !state.trial_running && state.in_subset &&
                       state.endpoint.state == LifeState::InService &&
                       m_ejector->WantsTrial(id, aNow);
    if (tries) {
      state.trial_running = true;
      return Placement{ id, state.endpoint.address, true, "trial" };
    }
    if (!MayChoose(state)) {
      continue;
    }
    const bool used =
      std::find(aAvoid.begin(), aAvoid.end(), id) != aAvoid.end();
    (used ? avoided : candidates).push_back(CandidateOf(state, aNow));
  }
  const auto& choice = candidates.empty() ? avoided : candidates;
  const auto index = m_balancer->Pick(choice, aNow, aRandom);
  if (!index) {
    return std::nullopt;
  }
  const EndpointState& state = m_endpoints.at(choice[*index].id);
  return Placement{ state.endpoint.id,
                    state.endpoint.address,
                    false,
                    "least cost of " + std::to_string(choice.size()) };
}

std::size_t
ServiceState::FreeSlots() const
{
  std::size_t free = 0;
  for (const auto& entry : m_endpoints) {
    const EndpointState& state = entry.second;
    if (MayChoose(state)) {
      free += std::min(state.endpoint.slots, m_pool) - state.in_flight;
    }
  }
  return free;
}

void
ServiceState::Begin(const std::string& aEndpoint)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    ++found->second.in_flight;
  }
}

void
ServiceState::End(const std::string& aEndpoint)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    found->second.trial_running = false;
  }
}

void
ServiceState::Report(const std::string& aEndpoint, double aLoad, TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.load = aLoad;
    found->second.load_time = aNow;
  }
}

void
ServiceState::Observe(const std::string& aEndpoint,
                      const Observation& aObservation,
                      TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return;
  }
  EndpointState& state = found->second;
  m_ejector->Observe(aEndpoint, aObservation, aNow);
  if (aObservation.result == WorkResult::Answered) {
    ++state.evidence.answered;
    const double old = ToSeconds(state.latency);
    const double sample = ToSeconds(aObservation.elapsed);
    const double mixed =
      old == 0 ? sample : old + kLatencyWeight * (sample - old);
    state.latency = std::chrono::duration_cast<Duration>(Seconds(mixed));
    state.latency_time = aNow;
  } else {
    ++state.evidence.bad;
    m_badEvidence = true;
  }
}

void
ServiceState::ObserveFleet(const FleetEvidence& aEvidence, TimePoint aNow)
{
  for (const EndpointEvidence& one : aEvidence.endpoints) {
    if (m_endpoints.count(one.endpoint) == 0) {
      continue;
    }
    const Observation good{ WorkResult::Answered, Duration(0), one.answered };
    const Observation bad{ WorkResult::Stalled, Duration(0), one.bad };
    if (one.answered > 0) {
      m_ejector->Observe(one.endpoint, good, aNow);
    }
    if (one.bad > 0) {
      m_ejector->Observe(one.endpoint, bad, aNow);
    }
  }
}

std::vector<EjectionChange>
ServiceState::Judge(TimePoint aNow)
{
  std::vector<JudgedEndpoint> judged;
  for (const auto& [id, state] : m_endpoints) {
    judged.push_back({ id,
                       state.endpoint.slots,
                       state.endpoint.state == LifeState::InService,
                       aNow - state.since });
  }
  return m_ejector->Judge(judged, m_floor, aNow);
}

std::optional<FleetEvidence>
ServiceState::TakeEvidence(TimePoint /*aNow*/)
{
  if (!m_badEvidence) {
    // Good work of long ago tells nothing of an endpoint's present health.
    for (auto& entry : m_endpoints) {
      entry.second.evidence = {};
    }
    return std::nullopt;
  }
  FleetEvidence evidence;
  evidence.service = m_service;
  for (auto& [id, state] : m_endpoints) {
    EndpointEvidence one = std::exchange(state.evidence, {});
    one.endpoint = id;
    if (one.answered + one.bad > 0) {
      evidence.endpoints.push_back(one);
    }
  }
  m_badEvidence = false;
  return evidence;
}

Duration
ServiceState::StallAfter(TimePoint aNow) const
{
  return m_ejector->StallAfter(aNow);
}

Duration
ServiceState::HedgeAfter() const
{
  Duration least = Duration::max();
  for (const auto& entry : m_endpoints) {
    if (entry.second.latency > Duration::zero()) {
      least = std::min(least, entry.second.latency);
    }
  }
  if (least == Duration::max()) {
    return Milliseconds(100);
  }
  const Seconds scaled(ToSeconds(least) * kHedgeFactor);
  return std::max(kLeastHedge, std::chrono::duration_cast<Duration>(scaled));
}

bool
ServiceState::IsEjected(const std::string& aEndpoint) const
{
  return m_ejector->IsEjected(aEndpoint);
}

std::size_t
ServiceState::Ejected() const
{
  std::size_t count = 0;
  for (const auto& entry : m_endpoints) {
    count += m_ejector->IsEjected(entry.first) ? 1 : 0;
  }
  return count;
}

} // namespace sapphirelane
