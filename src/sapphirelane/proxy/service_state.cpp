#include "sapphirelane/proxy/service_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirelane/routing/subset.h"

namespace sapphirelane {

namespace {

constexpr double kLatencySmoothing = 0.1;
constexpr Duration kLatencyHalfLife = Milliseconds(2000);
constexpr Duration kMinHedgeDelay = Milliseconds(20);
constexpr double kHedgeDelayFactor = 2;

/// Answers of a service below which its latency is unknown: the first ones are
/// the fastest of many requests. Until then no request is hedged, and it stalls
/// after kUnknownStallTimeout.
constexpr std::uint64_t kMinAnswers = 50;
constexpr Milliseconds kUnknownStallTimeout{ 3000 };

/// Time in service assumed of endpoints that were there when this daemon
/// started.
constexpr Duration kWarmedUpAge = std::chrono::hours(1);

/// Cost of a failure of a retryable request, in requests: the retry is later
/// and fails in a tenth of the cases.
constexpr double kRetryableFailureCost = 0.15;

/// Time without requests after which an endpoint is idle. The minimum healthy
/// capacity is checked over windows of 2 s, of which less than half may be lost
/// with failed hosts.
constexpr Milliseconds kIdleAfter{ 1000 };

/// Time after a failure during which an endpoint may stay without requests: it
/// counts as healthy again after 2 s and becomes idle kIdleAfter later.
constexpr Milliseconds kRecentFailureTime{ 3000 };

/// Maximum share of idle endpoints. The minimum healthy capacity allows 0.3 of
/// the healthy endpoints, of which there may be few.
constexpr double kMaxIdleShare = 0.05;

/// Failure probability above which an idle endpoint gets no request that cannot
/// be retried, unless many requests fail already. The minimum healthy capacity
/// allows 0.3 of the endpoints to stay idle.
constexpr double kMaxProbedFailure = 0.3;

/// Share of unserved requests of a service above which idle endpoints get
/// requests. Slightly below 0.1, the share from which the minimum healthy
/// capacity is enforced.
constexpr double kMaxUnservedShare = 0.09;

/// Time without resendable requests after which other requests of the service
/// may probe idle endpoints too, whatever its routes allow.
constexpr Milliseconds kSafeWorkWindow{ 3000 };

/// Cost of an endpoint of which this daemon does not receive all load reports,
/// in requests.
constexpr double kUnseenWorkCost = 0.1;

/// Multiple of what an endpoint can do from which on its limit does not matter.
constexpr double kNonBindingFactor = 4;

/// Connection pools that one host may need while it renews its connections.
constexpr std::size_t kPoolsPerHost = 1;

} // namespace

ServiceState::ServiceState(std::unique_ptr<Balancer> aBalancer,
                           std::unique_ptr<Ejector> aEjector,
                           ServiceStateOptions aOptions)
  : m_balancer(std::move(aBalancer))
  , m_ejector(std::move(aEjector))
  , m_options(std::move(aOptions))
  , m_limits(m_options.seed)
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
  const Service& service = aConfig.services.at(aService);
  m_minHealthyPercent = service.floor;
  m_coldStarts.SetRate(service.cold_per_second, m_options.cold_starts);
  const bool first = m_endpoints.empty();
  std::vector<std::string> ids;
  std::vector<std::string> usable; // Not in evacuated data centres.
  std::uint32_t connections = 0;
  for (const auto& [id, endpoint] : aConfig.endpoints) {
    if (endpoint.service != aService) {
      continue;
    }
    const bool evacuated = aConfig.evacuated.count(endpoint.data_centre) == 1;
    ids.push_back(id);
    if (!evacuated) {
      usable.push_back(id);
    }
    connections = connections == 0
                    ? endpoint.connections
                    : std::min(connections, endpoint.connections);
    auto [found, isNew] = m_endpoints.try_emplace(id);
    EndpointState& state = found->second;
    const bool rejoins = !isNew && state.endpoint.state == LifeState::Leaving &&
                         endpoint.state == LifeState::InService;
    const bool restarted =
      !isNew && state.endpoint.lifetime != endpoint.lifetime;
    const bool returns = state.evacuated && !evacuated;
    state.evacuated = evacuated;
    if (isNew) {
      state.in_service_since = first ? aNow - kWarmedUpAge : aNow;
    } else if (rejoins || restarted || returns) {
      state.in_service_since = aNow;
    }
    if (restarted || state.endpoint.address != endpoint.address) {
      state.address_taken = false;
    }
    m_notices.OnListed(id, restarted, aNow);
    if (restarted) {
      m_limits.Reset(id);
      m_ejector->Reset(id);
      state.latency = Duration(0);
    }
    const bool newlyCold = isNew || restarted || returns;
    if (newlyCold && endpoint.cold > Milliseconds::zero()) {
      state.cold_until = aNow + endpoint.cold;
    }
    state.endpoint = endpoint;
    if (restarted) {
      m_coldStarts.Reset(id);
    }
    LoadColdTime(state, service, m_loaded && (isNew || restarted), aNow);
    state.heard = !m_hearsWorkOf || m_hearsWorkOf(id);
    if (!state.heard) {
      state.others_in_flight = 0;
    }
  }
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const bool configured =
      std::binary_search(ids.begin(), ids.end(), it->first);
    if (!configured) {
      m_coldStarts.Remove(it->first);
    }
    it = configured ? std::next(it) : m_endpoints.erase(it);
  }
  m_loaded = true;
  for (const std::string& dataCentre : std::exchange(m_evacuated, {})) {
    if (aConfig.evacuated.count(dataCentre) == 0) {
      MarkReturned(dataCentre, aNow);
    }
  }
  m_evacuated = aConfig.evacuated;
  m_notices.RemoveExpired(aNow);
  m_limits.RemoveExpired(aNow);
  const std::size_t size = SubsetSize(
    usable.size(), aHosts, connections, m_options.pool * kPoolsPerHost);
  auto subset = ChooseSubset(usable, aRank, size);
  std::sort(subset.begin(), subset.end());
  for (auto& [id, state] : m_endpoints) {
    state.in_subset = std::binary_search(subset.begin(), subset.end(), id);
  }
}

/// Applies the cold time of an endpoint's entry. An endpoint that started while
/// this daemon runs is cold even if its entry does not say so yet.
/// @param aStarted It has joined, restarted or come back.
void
ServiceState::LoadColdTime(const EndpointState& aState,
                           const Service& aService,
                           bool aStarted,
                           TimePoint aNow)
{
  const Endpoint& endpoint = aState.endpoint;
  const bool wasWarm = !aStarted && aState.last_used_at != TimePoint{};
  m_coldStarts.Extend(
    endpoint.id,
    std::max(endpoint.cold_until, aStarted ? aNow + aService.cold_start : aNow),
    wasWarm,
    aNow);
}

/// @return Number of attempts that may be sent to an endpoint now.
std::uint32_t
ServiceState::FreeCapacity(const EndpointState& aState) const
{
  const std::uint32_t limit = aState.endpoint.slots + m_options.ahead;
  const std::uint32_t used = aState.in_flight + aState.others_in_flight;
  const std::uint32_t own = std::min(m_options.pool, aState.in_flight);
  return std::min(limit - std::min(limit, used), m_options.pool - own);
}

/// Whether an endpoint takes part in the service: neither the view nor the
/// endpoint itself says that it leaves, and its data centre is not evacuated.
bool
ServiceState::IsInService(const EndpointState& aState, TimePoint aNow) const
{
  return aState.endpoint.state == LifeState::InService &&
         !aState.address_taken && !aState.evacuated &&
         !m_notices.IsLeaving(
           aState.endpoint.id, aState.endpoint.lifetime, aNow);
}

/// Whether an endpoint in service wants requests of this host.
bool
ServiceState::AcceptsRequests(const EndpointState& aState, TimePoint aNow) const
{
  return IsInService(aState, aNow) &&
         !m_notices.RestsUntil(aState.endpoint.id, aNow);
}

/// Whether this host may send a request to an endpoint now. A limit that is
/// shared is kept only by hosts that hear of the requests of the others.
bool
ServiceState::MaySendTo(const EndpointState& aState, TimePoint aNow) const
{
  const std::string& id = aState.endpoint.id;
  const bool withinLimit =
    !m_limits.LimitOf(id) || (aState.heard && m_limits.MaySend(id, aNow));
  return AcceptsRequests(aState, aNow) && withinLimit &&
         (!m_coldStarts.IsCold(id, aNow) ||
          m_coldStarts.MaySend(id, ColdOwnerRank(id, aNow), aNow));
}

std::optional<std::size_t>
ServiceState::ColdOwnerRank(const std::string& aEndpoint, TimePoint aNow) const
{
  return m_coldOwnerRank
           ? m_coldOwnerRank(aEndpoint, m_coldStarts.Plan().owners, aNow)
           : std::optional<std::size_t>(0);
}

/// Slots of an endpoint that its limit, or what it takes while it is cold,
/// allows to be in use on average.
double
ServiceState::SlotsWithinLimit(const EndpointState& aState,
                               TimePoint aNow) const
{
  double slots = aState.endpoint.slots;
  const std::string& id = aState.endpoint.id;
  if (m_coldStarts.IsCold(id, aNow)) {
    const double rate =
      ColdOwnerRank(id, aNow) ? m_coldStarts.RateOfOwner() : 0;
    slots = std::min(slots, rate * ToSeconds(MeanLatency()));
  }
  const auto limit = m_limits.LimitOf(id);
  if (!limit) {
    return slots;
  }
  return aState.heard ? std::min(slots, *limit * ToSeconds(MeanLatency())) : 0;
}

bool
ServiceState::IsEligible(const EndpointState& aState, TimePoint aNow) const
{
  // The owners of a cold endpoint are chosen among all hosts. They are few, and
  // nobody else sends to it, so it has connections for them.
  const bool reachable =
    aState.in_subset || m_coldStarts.IsCold(aState.endpoint.id, aNow);
  return reachable && FreeCapacity(aState) > 0 && MaySendTo(aState, aNow) &&
         !m_ejector->IsEjected(aState.endpoint.id);
}

Candidate
ServiceState::MakeCandidate(const EndpointState& aState,
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
  candidate.failure_cost = aRequest.repeatable ? kRetryableFailureCost : 1;
  candidate.connected = aState.idle_connections > 0 &&
                        aNow - aState.last_kept_at < m_options.connection_life;
  candidate.cold =
    aNow < aState.cold_until || m_coldStarts.IsCold(aState.endpoint.id, aNow);
  constexpr double kBytesPerMegabyte = 1e6;
  if (IsInOtherDataCentre(aState)) {
    candidate.transfer_cost = static_cast<double>(aRequest.body_bytes) /
                              kBytesPerMegabyte *
                              m_options.transfer_cost_per_megabyte;
  }
  if (!aState.heard) {
    candidate.transfer_cost += kUnseenWorkCost;
  }
  candidate.reported_load = aState.reported_load;
  candidate.report_age = aNow - aState.reported_load_at;
  // An old estimate decays to the mean of the service, so that an endpoint that
  // gets no requests does not keep a high latency forever.
  const double age = ToSeconds(aNow - aState.latency_at);
  const double weight = aState.latency > Duration::zero()
                          ? std::exp2(-age / ToSeconds(kLatencyHalfLife))
                          : 0;
  candidate.latency = std::chrono::duration_cast<Duration>(
    Seconds(ToSeconds(aState.latency) * weight +
            ToSeconds(m_meanLatency) * (1 - weight)));
  candidate.in_service_for = aNow - aState.in_service_since;
  return candidate;
}

bool
ServiceState::IsInOtherDataCentre(const EndpointState& aState) const
{
  return !m_options.data_centre.empty() &&
         aState.endpoint.data_centre != m_options.data_centre;
}

void
ServiceState::SetExploration(PlaceRequest& aRequest,
                             double aUnserved,
                             TimePoint aNow)
{
  if (aRequest.repeatable) {
    m_lastRepeatable = aNow;
  }
  // Requests that may be repeated are preferred to probe idle endpoints, unless
  // many requests fail: then all are needed to reach the idle ones.
  aRequest.explores =
    aNow - m_lastRepeatable > kSafeWorkWindow || aRequest.repeatable;
  aRequest.spread = aUnserved > kMaxUnservedShare;
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
    const bool getsTrial = aRequest.may_try && !state.trial_running &&
                           state.in_subset && MaySendTo(state, aNow) &&
                           m_ejector->WantsTrial(id, aNow);
    if (getsTrial) {
      state.trial_running = true;
      return Placement{ id,
                        state.endpoint.address,
                        state.endpoint.lifetime,
                        true,
                        m_coldStarts.IsCold(id, aNow),
                        0,
                        LogFields().Add("choice", "trial") };
    }
    if (!IsEligible(state, aNow)) {
      continue;
    }
    const bool alreadyTried =
      std::find(aRequest.avoid.begin(), aRequest.avoid.end(), id) !=
      aRequest.avoid.end();
    (alreadyTried ? avoided : candidates)
      .push_back(MakeCandidate(state, aRequest, aNow));
  }
  const auto& choice = candidates.empty() ? avoided : candidates;
  auto explored = aRequest.explores ? FindNewEndpoint(choice) : std::nullopt;
  if (!explored && aRequest.spread) {
    // Only its owners can use what a cold endpoint takes, and they have a small
    // part of the requests.
    const auto owned = std::find_if(
      choice.begin(), choice.end(), [&](const Candidate& aCandidate) {
        return m_coldStarts.IsCold(aCandidate.id, aNow) &&
               aCandidate.failure <= kMaxProbedFailure;
      });
    if (owned != choice.end()) {
      explored = static_cast<std::size_t>(owned - choice.begin());
    }
  }
  if (!explored && (aRequest.spread || aRequest.explores)) {
    explored = PickIdleEndpoint(choice, aRequest, aNow, aRandom);
  }
  const auto index =
    explored ? explored : m_balancer->Pick(choice, aNow, aRandom);
  if (!index) {
    return std::nullopt;
  }
  const Candidate& chosen = choice[*index];
  LogFields inputs;
  inputs.Add("choice", explored ? "without-work" : "least-cost")
    .Add("of", std::uint64_t{ choice.size() })
    .Add("failure", chosen.failure)
    .Add("in_flight", chosen.in_flight + chosen.others_in_flight)
    .Add("latency_ms", chosen.latency);
  const double slots = std::max(1U, chosen.slots);
  const double inFlight = chosen.in_flight + chosen.others_in_flight;
  const Endpoint& endpoint = m_endpoints.at(chosen.id).endpoint;
  return Placement{ chosen.id,
                    endpoint.address,
                    endpoint.lifetime,
                    false,
                    m_coldStarts.IsCold(chosen.id, aNow),
                    std::max(0.0, inFlight + 1 - slots) / slots,
                    inputs };
}

/// Finds an endpoint that joined while this daemon runs and that no daemon has
/// used yet. The balancer would always prefer endpoints with known results.
std::optional<std::size_t>
ServiceState::FindNewEndpoint(const std::vector<Candidate>& aCandidates) const
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const EndpointState& state = m_endpoints.at(aCandidates[i].id);
    const bool unused =
      state.last_used_at == TimePoint{} && state.in_flight == 0;
    if (unused && aCandidates[i].in_service_for < kWarmedUpAge && state.heard) {
      return i;
    }
  }
  return std::nullopt;
}

/// Picks an idle endpoint if more than kMaxIdleShare of them are idle. The
/// limit holds when many requests fail, and before that too, as hosts may be
/// lost at any moment. The random choice keeps daemons from picking the same
/// endpoint.
std::optional<std::size_t>
ServiceState::PickIdleEndpoint(const std::vector<Candidate>& aCandidates,
                               const PlaceRequest& aRequest,
                               TimePoint aNow,
                               Random& aRandom) const
{
  const auto isCounted = [this, aNow](const EndpointState& aState) {
    return MaySendTo(aState, aNow) &&
           !m_coldStarts.IsCold(aState.endpoint.id, aNow) &&
           aNow - aState.last_failed_at > kRecentFailureTime && aState.heard;
  };
  const auto isIdle = [aNow](const EndpointState& aState) {
    return aNow - aState.last_used_at > kIdleAfter;
  };
  std::size_t counted = 0;
  std::size_t idle = 0;
  for (const auto& entry : m_endpoints) {
    counted += isCounted(entry.second) ? 1 : 0;
    idle += isCounted(entry.second) && isIdle(entry.second) ? 1 : 0;
  }
  const double limit = kMaxIdleShare * static_cast<double>(counted);
  if (static_cast<double>(idle) <= limit) {
    return std::nullopt;
  }
  std::vector<std::size_t> idleCandidates;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const EndpointState& state = m_endpoints.at(aCandidates[i].id);
    const bool acceptableRisk = aRequest.spread || aRequest.repeatable ||
                                aCandidates[i].failure <= kMaxProbedFailure;
    if (isCounted(state) && isIdle(state) && acceptableRisk) {
      idleCandidates.push_back(i);
    }
  }
  if (idleCandidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, idleCandidates.size() - 1);
  return idleCandidates[draw(aRandom)];
}

std::size_t
ServiceState::FreeSlots(TimePoint aNow) const
{
  std::size_t free = 0;
  for (const auto& entry : m_endpoints) {
    const EndpointState& state = entry.second;
    if (IsEligible(state, aNow)) {
      const bool limited = m_limits.LimitOf(entry.first).has_value() ||
                           m_coldStarts.IsCold(entry.first, aNow);
      free += limited ? 1 : FreeCapacity(state);
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
    state.last_used_at = aNow;
    m_limits.RecordSent(aEndpoint, 1, aNow);
    m_coldStarts.RecordSent(aEndpoint, aNow);
    state.idle_connections -= state.idle_connections > 0 ? 1 : 0;
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
      ++state.idle_connections;
      state.last_kept_at = aNow;
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
ServiceState::ExpectedWait(std::size_t aWaiting, TimePoint aNow) const
{
  double slots = 0;
  double ahead = static_cast<double>(aWaiting);
  for (const auto& entry : m_endpoints) {
    const EndpointState& state = entry.second;
    if (AcceptsRequests(state, aNow)) {
      const double within = SlotsWithinLimit(state, aNow);
      const double used = state.in_flight + state.others_in_flight;
      slots += within;
      ahead += within < state.endpoint.slots ? std::min(within, used) : used;
    }
  }
  if (slots == 0) {
    return RestOfService(aNow);
  }
  const double batches = std::max(0.0, ahead + 1 - slots) / slots;
  return std::chrono::duration_cast<Duration>(
    Seconds(batches * ToSeconds(MeanLatency())));
}

/// Time until the first endpoint in service wants requests again or is warm;
/// the largest duration if there is none.
Duration
ServiceState::RestOfService(TimePoint aNow) const
{
  Duration rest = Duration::max();
  for (const auto& [id, state] : m_endpoints) {
    const auto until = m_notices.RestsUntil(id, aNow);
    if (until && IsInService(state, aNow)) {
      rest = std::min(rest, *until - aNow);
    } else if (AcceptsRequests(state, aNow) && m_coldStarts.IsCold(id, aNow)) {
      rest = std::min(rest, m_coldStarts.ColdFor(id, aNow));
    }
  }
  return rest;
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
ServiceState::RecordLatency(EndpointState& aState,
                            Duration aElapsed,
                            TimePoint aNow)
{
  const double previous = ToSeconds(aState.latency);
  const double sample = ToSeconds(aElapsed);
  const double smoothed =
    previous == 0 ? sample : previous + kLatencySmoothing * (sample - previous);
  aState.latency = std::chrono::duration_cast<Duration>(Seconds(smoothed));
  aState.latency_at = aNow;
}

void
ServiceState::NoteMoved(const std::string& aEndpoint)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.address_taken = true;
  }
}

bool
ServiceState::NoteLeaving(const std::string& aEndpoint,
                          std::uint64_t aLifetime,
                          TimePoint aNow)
{
  return m_notices.RecordLeaving(aEndpoint, aLifetime, aNow);
}

void
ServiceState::NoteRetryAfter(const std::string& aEndpoint,
                             Duration aTime,
                             TimePoint aNow)
{
  m_notices.RecordRetryAfter(aEndpoint, aTime, aNow);
}

bool
ServiceState::NoteLimit(const std::string& aEndpoint,
                        std::optional<double> aLimit,
                        TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return false;
  }
  // A limit above all that the endpoint could do needs no messages.
  const Endpoint& endpoint = found->second.endpoint;
  const double seconds = ToSeconds(MeanLatency());
  const bool binds =
    aLimit && *aLimit * seconds < kNonBindingFactor * endpoint.slots;
  const bool changed =
    m_limits.Record(aEndpoint,
                    { endpoint.lifetime, binds ? aLimit : std::nullopt, aNow },
                    aNow);
  const bool tell = changed || m_limits.IsRenewalDue(aEndpoint, aNow);
  if (tell) {
    m_limits.RecordTold(aEndpoint, aNow);
  }
  return tell;
}

bool
ServiceState::NoteReportedLimit(const LimitReport& aReport, TimePoint aNow)
{
  const bool changed = m_limits.Record(
    aReport.endpoint, { aReport.lifetime, aReport.limit, aNow }, aNow);
  m_limits.RecordTold(aReport.endpoint, aNow);
  return changed;
}

bool
ServiceState::NoteCold(const std::string& aEndpoint,
                       Duration aLeft,
                       TimePoint aNow)
{
  return m_endpoints.count(aEndpoint) == 1 &&
         m_coldStarts.Extend(aEndpoint, aNow + aLeft, true, aNow);
}

bool
ServiceState::NoteReportedCold(const ColdReport& aReport, TimePoint aNow)
{
  const bool sameProcess = aReport.lifetime == LifetimeOf(aReport.endpoint);
  return sameProcess && NoteCold(aReport.endpoint, aReport.left, aNow);
}

void
ServiceState::MarkReturned(const std::string& aDataCentre, TimePoint aNow)
{
  for (const auto& [id, state] : m_endpoints) {
    if (state.endpoint.data_centre == aDataCentre) {
      m_coldStarts.MarkReturned(id, aNow);
    }
  }
}

std::uint64_t
ServiceState::LifetimeOf(const std::string& aEndpoint) const
{
  auto found = m_endpoints.find(aEndpoint);
  return found == m_endpoints.end() ? 0 : found->second.endpoint.lifetime;
}

void
ServiceState::Report(const std::string& aEndpoint, double aLoad, TimePoint aNow)
{
  auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.reported_load = aLoad;
    found->second.reported_load_at = aNow;
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
  const bool shed = aObservation.result == WorkResult::Shed;
  m_sheds.Record(shed ? 1 : 0, shed ? 0 : 1, aNow);
  if (aObservation.result == WorkResult::Answered) {
    ++m_answers;
    ++state.evidence.answered;
    RecordLatency(state, aObservation.elapsed, aNow);
  } else {
    ++state.evidence.bad;
    state.last_failed_at = aNow;
    m_hasBadEvidence = true;
  }
}

/// Records how many requests other daemons have at an endpoint and when it last
/// received one.
void
ServiceState::RecordUse(EndpointState& aState,
                        const EndpointEvidence& aEvidence,
                        TimePoint aNow)
{
  const std::uint32_t before = aState.others_in_flight;
  aState.others_in_flight = aEvidence.in_flight.value_or(before);
  const bool begun =
    aState.others_in_flight > before || aEvidence.bad > 0 || aEvidence.shed > 0;
  if (aEvidence.bad > 0) {
    aState.last_failed_at = aNow;
  }
  if (begun) {
    aState.last_used_at = aNow;
  } else if (aEvidence.answered > 0) {
    aState.last_used_at =
      std::max(aState.last_used_at, aNow - aEvidence.answer_time);
  }
}

void
ServiceState::ObserveFleet(const FleetEvidence& aEvidence, TimePoint aNow)
{
  for (const EndpointEvidence& item : aEvidence.endpoints) {
    auto found = m_endpoints.find(item.endpoint);
    if (found == m_endpoints.end()) {
      continue;
    }
    EndpointState& state = found->second;
    RecordUse(state, item, aNow);
    m_limits.RecordSent(item.endpoint, item.begun, aNow);
    m_answers += item.answered;
    if (item.answered + item.bad + item.shed > 0) {
      m_sheds.Record(item.shed, item.answered + item.bad, aNow);
    }
    const Observation good{ WorkResult::Answered,
                            item.answer_time,
                            item.answered };
    const Observation bad{ WorkResult::Stalled, Duration(0), item.bad };
    if (item.answered > 0 && item.answer_time > Duration::zero()) {
      RecordLatency(state, item.answer_time, aNow);
    }
    if (item.shed > 0) {
      m_ejector->Observe(
        item.endpoint, { WorkResult::Shed, Duration(0), item.shed }, aNow);
    }
    if (item.answered > 0) {
      m_ejector->Observe(item.endpoint, good, aNow);
    }
    if (item.bad > 0) {
      m_ejector->Observe(item.endpoint, bad, aNow);
    }
  }
}

std::vector<IdleEndpoint>
ServiceState::IdleEndpoints(TimePoint aNow) const
{
  std::vector<IdleEndpoint> idle;
  for (const auto& [id, state] : m_endpoints) {
    const bool isIdle = aNow - state.last_used_at > kIdleAfter;
    const bool listed = state.endpoint.state == LifeState::InService;
    if (isIdle && listed) {
      idle.push_back({ id, IdleReason(state, aNow) });
    }
  }
  return idle;
}

/// The first condition that keeps requests from an idle endpoint; "not-drawn"
/// if it is eligible.
std::string
ServiceState::IdleReason(const EndpointState& aState, TimePoint aNow) const
{
  if (aState.evacuated) {
    return "evacuated";
  }
  if (aState.address_taken) {
    return "address-taken";
  }
  if (!IsInService(aState, aNow)) {
    return "leaving";
  }
  if (!AcceptsRequests(aState, aNow)) {
    return "wants-no-requests";
  }
  if (m_coldStarts.IsCold(aState.endpoint.id, aNow)) {
    return "cold";
  }
  if (!MaySendTo(aState, aNow)) {
    return "limited";
  }
  if (m_ejector->IsEjected(aState.endpoint.id)) {
    return "ejected";
  }
  if (!aState.in_subset) {
    return "other-subset";
  }
  if (!aState.heard) {
    return "not-observed";
  }
  if (FreeCapacity(aState) == 0) {
    return aState.in_flight > 0 ? "full" : "full-by-others";
  }
  return aNow - aState.last_failed_at <= kRecentFailureTime ? "failed-lately"
                                                            : "not-drawn";
}

std::vector<EjectionChange>
ServiceState::Judge(TimePoint aNow)
{
  m_limits.RemoveExpired(aNow);
  std::vector<JudgedEndpoint> judged;
  for (const auto& [id, state] : m_endpoints) {
    judged.push_back({ id,
                       state.endpoint.slots,
                       IsInService(state, aNow),
                       aNow - state.in_service_since });
  }
  return m_ejector->Judge(judged, m_minHealthyPercent, aNow);
}

std::optional<FleetEvidence>
ServiceState::TakeEvidence(TimePoint /*aNow*/)
{
  if (!m_hasBadEvidence) {
    // Old successes say nothing about an endpoint's current health.
    for (auto& entry : m_endpoints) {
      entry.second.evidence = {};
    }
    return std::nullopt;
  }
  FleetEvidence evidence;
  evidence.service = m_service;
  for (auto& [id, state] : m_endpoints) {
    EndpointEvidence item = std::exchange(state.evidence, {});
    item.endpoint = id;
    if (item.answered + item.bad > 0) {
      evidence.endpoints.push_back(item);
    }
  }
  m_hasBadEvidence = false;
  return evidence;
}

Duration
ServiceState::StallAfter(double aQueuedTurns,
                         Duration aTarget,
                         TimePoint aNow) const
{
  if (m_answers < kMinAnswers) {
    return std::max<Duration>(kUnknownStallTimeout, aTarget);
  }
  const Seconds queued(aQueuedTurns * ToSeconds(MeanLatency()));
  return m_ejector->StallAfter(aTarget, aNow) +
         std::chrono::duration_cast<Duration>(queued);
}

Duration
ServiceState::HedgeAfter() const
{
  if (m_answers < kMinAnswers) {
    return Duration::max();
  }
  const Seconds scaled(ToSeconds(MeanLatency()) * kHedgeDelayFactor);
  return std::max(kMinHedgeDelay, std::chrono::duration_cast<Duration>(scaled));
}

bool
ServiceState::IsEjected(const std::string& aEndpoint) const
{
  return m_ejector->IsEjected(aEndpoint);
}

bool
ServiceState::IsEvacuated() const
{
  return !m_endpoints.empty() &&
         std::all_of(m_endpoints.begin(),
                     m_endpoints.end(),
                     [](const auto& aItem) { return aItem.second.evacuated; });
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
