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

/// Cost of sending a body to another data centre, in requests a megabyte. Links
/// between data centres are paid by volume: 5,900 for a gigabyte, where a
/// request that carries a body is worth 2.
constexpr double kTransferCost = 3;

/// What a failure loses of a request that can be repeated: the second attempt
/// is later and may fail as well, which a tenth do.
constexpr double kRepeatableCost = 0.15;

/// Time without work after which an endpoint is neglected: the floor is judged
/// over 2 s, of which less than half may be lost with the hosts.
constexpr Milliseconds kNeglectedAfter{ 1000 };

/// Time for which an endpoint that has failed work need not get any: it counts
/// as sound again 2 s later, and is neglected as above from then on.
constexpr Milliseconds kFailedFor{ 3000 };

/// Share of endpoints that may be without work. The floor allows 0.3 of the
/// sound ones, which may be few.
constexpr double kMostIdleShare = 0.05;

/// Probability of a failure above which a neglected endpoint gets no work that
/// cannot be repeated, unless many requests fail already. The floor's 0.3 of
/// endpoints may stay without work.
constexpr double kTrustedFailure = 0.3;

/// Cost of an endpoint elsewhere whose work is not all known here, in requests.
constexpr double kElsewhereCost = 0.1;

/// Connections that one host may need while a pool is being renewed.
constexpr std::size_t kPoolsOfHost = 1;

} // namespace

ServiceState::ServiceState(std::unique_ptr<Balancer> aBalancer,
                           std::unique_ptr<Ejector> aEjector,
                           ServiceStateOptions aOptions)
  : m_balancer(std::move(aBalancer))
  , m_ejector(std::move(aEjector))
  , m_options(std::move(aOptions))
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
    const bool restarted =
      !isNew && state.endpoint.lifetime != endpoint.lifetime;
    if (isNew) {
      state.since = first ? aNow - kWarm : aNow;
    } else if (returns || restarted) {
      state.since = aNow;
    }
    if (restarted || state.endpoint.address != endpoint.address) {
      state.moved = false;
    }
    if (restarted) {
      m_ejector->Reset(id);
      state.latency = Duration(0);
    }
    const bool newlyCold = isNew || restarted;
    if (newlyCold && endpoint.cold > Milliseconds::zero()) {
      state.cold_until = aNow + endpoint.cold;
    }
    state.endpoint = endpoint;
  }
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const bool kept = std::binary_search(ids.begin(), ids.end(), it->first);
    it = kept ? std::next(it) : m_endpoints.erase(it);
  }
  const std::size_t size =
    SubsetSize(ids.size(), aHosts, connections, m_options.pool * kPoolsOfHost);
  const auto subset = ChooseSubset(ids, aRank, size);
  for (auto& [id, state] : m_endpoints) {
    state.in_subset =
      std::find(subset.begin(), subset.end(), id) != subset.end();
  }
}

/// @return Attempts that may be sent to an endpoint now.
std::uint32_t
ServiceState::Room(const EndpointState& aState) const
{
  const std::uint32_t most =
    std::min(aState.endpoint.slots + m_options.ahead, m_options.pool);
  const std::uint32_t used = aState.in_flight + aState.others_in_flight;
  return most - std::min(most, used);
}

bool
ServiceState::MayChoose(const EndpointState& aState) const
{
  return aState.in_subset && !aState.moved && Room(aState) > 0 &&
         aState.endpoint.state == LifeState::InService &&
         !m_ejector->IsEjected(aState.endpoint.id);
}

Candidate
ServiceState::CandidateOf(const EndpointState& aState,
                          const PlaceRequest& aRequest,
                          TimePoint aNow) const
{
  Candidate candidate;
  candidate.id = aState.endpoint.id;
  candidate.slots = aState.endpoint.slots;
  candidate.in_flight = aState.in_flight;
  candidate.others_in_flight = aState.others_in_flight;
  candidate.target = aRequest.target;
  candidate.left = aRequest.left;
  candidate.failure = m_ejector->FailureOf(aState.endpoint.id, aNow);
  candidate.failure_cost = aRequest.repeatable ? kRepeatableCost : 1;
  candidate.connected =
    aState.kept > 0 && aNow - aState.kept_at < m_options.connection_life;
  candidate.cold = aNow < aState.cold_until;
  constexpr double kMegabyte = 1e6;
  if (IsElsewhere(aState)) {
    candidate.transfer_cost =
      static_cast<double>(aRequest.body_bytes) / kMegabyte * kTransferCost +
      (m_hearsAll ? 0 : kElsewhereCost);
  }
  candidate.reported_load = aState.load;
  candidate.report_age = aNow - aState.load_time;
  // An old estimate fades towards that of the service, so that a slow moment is
  // not held against an endpoint that is no longer chosen.
  const double age = ToSeconds(aNow - aState.latency_time);
  const double kept = aState.latency > Duration::zero()
                        ? std::exp2(-age / ToSeconds(kLatencyHalfLife))
                        : 0;
  candidate.latency = std::chrono::duration_cast<Duration>(Seconds(
    ToSeconds(aState.latency) * kept + ToSeconds(m_meanLatency) * (1 - kept)));
  candidate.in_service_for = aNow - aState.since;
  return candidate;
}

bool
ServiceState::IsElsewhere(const EndpointState& aState) const
{
  return !m_options.data_centre.empty() &&
         aState.endpoint.data_centre != m_options.data_centre;
}

std::optional<Placement>
ServiceState::Place(const PlaceRequest& aRequest,
                    TimePoint aNow,
                    Random& aRandom)
{
  m_meanLatency = MeanLatency();
  std::vector<Candidate> candidates;
  std::vector<Candidate> avoided;
  for (auto& [id, state] : m_endpoints) {
    const bool tries = aRequest.may_try && !state.trial_running &&
                       state.in_subset &&
                       state.endpoint.state == LifeState::InService &&
                       m_ejector->WantsTrial(id, aNow);
    if (tries) {
      state.trial_running = true;
      return Placement{
        id, state.endpoint.address, true, LogFields().Add("choice", "trial")
      };
    }
    if (!MayChoose(state)) {
      continue;
    }
    const bool used =
      std::find(aRequest.avoid.begin(), aRequest.avoid.end(), id) !=
      aRequest.avoid.end();
    (used ? avoided : candidates).push_back(CandidateOf(state, aRequest, aNow));
  }
  const auto& choice = candidates.empty() ? avoided : candidates;
  auto special = aRequest.explores ? Newcomer(choice) : std::nullopt;
  if (!special && (aRequest.spread || aRequest.explores)) {
    special = Neglected(choice, aRequest, aNow, aRandom);
  }
  const auto index =
    special ? special : m_balancer->Pick(choice, aNow, aRandom);
  if (!index) {
    return std::nullopt;
  }
  const Candidate& chosen = choice[*index];
  LogFields inputs;
  inputs.Add("choice", special ? "without-work" : "least-cost")
    .Add("of", std::uint64_t{ choice.size() })
    .Add("failure", chosen.failure)
    .Add("in_flight", chosen.in_flight + chosen.others_in_flight)
    .Add("latency_ms", chosen.latency);
  return Placement{
    chosen.id, m_endpoints.at(chosen.id).endpoint.address, false, inputs
  };
}

/// An endpoint that has joined while this daemon runs and that nobody has given
/// any work. What is proven would be preferred to it for ever.
std::optional<std::size_t>
ServiceState::Newcomer(const std::vector<Candidate>& aCandidates) const
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const EndpointState& state = m_endpoints.at(aCandidates[i].id);
    const bool unused = state.used == TimePoint{} && state.in_flight == 0;
    if (unused && aCandidates[i].in_service_for < kWarm &&
        (m_hearsAll || !IsElsewhere(state))) {
      return i;
    }
  }
  return std::nullopt;
}

/// Few endpoints may go without work: when many requests fail, and as hosts may
/// be lost at any moment, before that. Draws one of them, so that daemons do
/// not all choose the same.
std::optional<std::size_t>
ServiceState::Neglected(const std::vector<Candidate>& aCandidates,
                        const PlaceRequest& aRequest,
                        TimePoint aNow,
                        Random& aRandom) const
{
  const auto counts = [this, aNow](const EndpointState& aState) {
    return aState.endpoint.state == LifeState::InService && !aState.moved &&
           aNow - aState.bad_at > kFailedFor &&
           (m_hearsAll || !IsElsewhere(aState));
  };
  const auto isIdle = [aNow](const EndpointState& aState) {
    return aNow - aState.used > kNeglectedAfter;
  };
  std::size_t all = 0;
  std::size_t idle = 0;
  for (const auto& entry : m_endpoints) {
    all += counts(entry.second) ? 1 : 0;
    idle += counts(entry.second) && isIdle(entry.second) ? 1 : 0;
  }
  const double most = kMostIdleShare * static_cast<double>(all);
  if (static_cast<double>(idle) <= most) {
    return std::nullopt;
  }
  std::vector<std::size_t> neglected;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const EndpointState& state = m_endpoints.at(aCandidates[i].id);
    const bool trusted = aRequest.spread || aRequest.repeatable ||
                         aCandidates[i].failure <= kTrustedFailure;
    if (counts(state) && isIdle(state) && trusted) {
      neglected.push_back(i);
    }
  }
  if (neglected.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, neglected.size() - 1);
  return neglected[draw(aRandom)];
}

std::size_t
ServiceState::FreeSlots() const
{
  std::size_t free = 0;
  for (const auto& entry : m_endpoints) {
    const EndpointState& state = entry.second;
    if (MayChoose(state)) {
      free += Room(state);
    }
  }
  return free;
}

void
ServiceState::Begin(const std::string& aEndpoint, TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    EndpointState& state = found->second;
    ++state.in_flight;
    state.used = aNow;
    state.kept -= state.kept > 0 ? 1 : 0;
  }
}

void
ServiceState::End(const std::string& aEndpoint, bool aKept, TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end() && found->second.in_flight > 0) {
    EndpointState& state = found->second;
    --state.in_flight;
    state.trial_running = false;
    if (aKept) {
      ++state.kept;
      state.kept_at = aNow;
    }
  }
}

std::uint32_t
ServiceState::InFlight(const std::string& aEndpoint) const
{
  auto found = m_endpoints.find(aEndpoint);
  return found == m_endpoints.end() ? 0 : found->second.in_flight;
}

Duration
ServiceState::ExpectedWait(std::size_t aWaiting) const
{
  double slots = 0;
  double ahead = static_cast<double>(aWaiting);
  for (const auto& entry : m_endpoints) {
    const EndpointState& state = entry.second;
    if (state.endpoint.state == LifeState::InService && !state.moved) {
      slots += state.endpoint.slots;
      ahead += state.in_flight + state.others_in_flight;
    }
  }
  if (slots == 0) {
    return Duration::max();
  }
  const double rounds = std::max(0.0, ahead + 1 - slots) / slots;
  return std::chrono::duration_cast<Duration>(
    Seconds(rounds * ToSeconds(MeanLatency())));
}

Duration
ServiceState::MeanLatency() const
{
  Duration sum{ 0 };
  std::size_t known = 0;
  for (const auto& entry : m_endpoints) {
    if (entry.second.latency > Duration::zero()) {
      sum += entry.second.latency;
      ++known;
    }
  }
  return known == 0 ? Duration(0) : sum / static_cast<int>(known);
}

void
ServiceState::NoteLatency(EndpointState& aState,
                          Duration aElapsed,
                          TimePoint aNow)
{
  const double old = ToSeconds(aState.latency);
  const double sample = ToSeconds(aElapsed);
  const double mixed =
    old == 0 ? sample : old + kLatencyWeight * (sample - old);
  aState.latency = std::chrono::duration_cast<Duration>(Seconds(mixed));
  aState.latency_time = aNow;
}

void
ServiceState::NoteMoved(const std::string& aEndpoint)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.moved = true;
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
    NoteLatency(state, aObservation.elapsed, aNow);
  } else {
    ++state.evidence.bad;
    state.bad_at = aNow;
    m_badEvidence = true;
  }
}

/// Takes over how many requests others have at an endpoint, and when the last
/// one came to it.
void
ServiceState::NoteUse(EndpointState& aState,
                      const EndpointEvidence& aEvidence,
                      TimePoint aNow)
{
  const std::uint32_t before = aState.others_in_flight;
  aState.others_in_flight = aEvidence.in_flight.value_or(before);
  const bool begun =
    aState.others_in_flight > before || aEvidence.bad > 0 || aEvidence.shed > 0;
  if (aEvidence.bad > 0) {
    aState.bad_at = aNow;
  }
  if (begun) {
    aState.used = aNow;
  } else if (aEvidence.answered > 0) {
    aState.used = std::max(aState.used, aNow - aEvidence.answer_time);
  }
}

void
ServiceState::ObserveFleet(const FleetEvidence& aEvidence, TimePoint aNow)
{
  for (const EndpointEvidence& one : aEvidence.endpoints) {
    auto found = m_endpoints.find(one.endpoint);
    if (found == m_endpoints.end()) {
      continue;
    }
    EndpointState& state = found->second;
    NoteUse(state, one, aNow);
    const Observation good{ WorkResult::Answered,
                            one.answer_time,
                            one.answered };
    const Observation bad{ WorkResult::Stalled, Duration(0), one.bad };
    if (one.answered > 0 && one.answer_time > Duration::zero()) {
      NoteLatency(state, one.answer_time, aNow);
    }
    if (one.shed > 0) {
      m_ejector->Observe(
        one.endpoint, { WorkResult::Shed, Duration(0), one.shed }, aNow);
    }
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
