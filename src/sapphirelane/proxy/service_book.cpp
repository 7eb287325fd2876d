#include "sapphirelane/proxy/service_book.h"

#include <algorithm>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Interval between ejection updates of a service; each one scans all its
/// endpoints. Failure probabilities also change in between, with each result.
constexpr Milliseconds kEjectionUpdateInterval{ 50 };

/// Endpoints above which updates are made less often, as each scans all of
/// them.
constexpr std::size_t kMaxEndpointsForInterval = 64;

Duration
EjectionUpdateInterval(std::size_t aEndpoints)
{
  const std::size_t factor = 1 + aEndpoints / kMaxEndpointsForInterval;
  return kEjectionUpdateInterval * static_cast<int>(factor);
}

/// Interval between reports of failure evidence about a service.
constexpr Milliseconds kEvidenceShareInterval{ 250 };

/// Interval of the log lines on idle endpoints of a service, and the unserved
/// share of its requests above which they are written.
constexpr Milliseconds kIdleLogInterval{ 1000 };
constexpr double kMinLoggedUnservedShare = 0.05;

bool
HasSafeRoute(const FleetConfig& aConfig, const std::string& aService)
{
  return std::any_of(
    aConfig.routes.begin(), aConfig.routes.end(), [&](const auto& aEntry) {
      return aEntry.second.service == aService &&
             aEntry.second.mode == RouteMode::Safe;
    });
}

} // namespace

ServiceTable::ServiceTable(const LimitSettings& aLimits,
                           const PolicySettings& aPolicies,
                           const ColdStartSettings& aColdStarts,
                           std::uint64_t aSeed,
                           FleetControl& aControl,
                           Metrics& aMetrics)
  : m_limits(aLimits)
  , m_policies(aPolicies)
  , m_coldStarts(aColdStarts)
  , m_seed(aSeed)
  , m_control(aControl)
  , m_metrics(aMetrics)
{
}

void
ServiceTable::ApplyConfig(TimePoint aNow)
{
  const FleetConfig* config = m_control.Config();
  const auto rank = m_control.Rank();
  const bool unchanged = m_hasConfig && config != nullptr &&
                         config->version == m_configVersion && rank == m_rank &&
                         m_control.HearingRevision() == m_hearingRevision &&
                         config->endpoint_revision == m_endpointRevision;
  if (config == nullptr || unchanged) {
    return;
  }
  if (!m_hasConfig || config->version != m_configVersion) {
    LogLine("config",
            "A version is in force.",
            LogFields().Add("config", config->version));
  }
  m_configVersion = config->version;
  m_endpointRevision = config->endpoint_revision;
  m_rank = rank;
  m_hearingRevision = m_control.HearingRevision();
  m_hasConfig = true;
  for (const auto& entry : config->services) {
    ServiceEntry& service = m_services[entry.first];
    if (!service.state) {
      InitEntry(service);
    }
    service.state->SetHearing([this](const std::string& aEndpoint) {
      return m_control.HearsWorkOf(aEndpoint);
    });
    service.state->SetColdOwnership([this](const std::string& aEndpoint,
                                           std::size_t aOwners,
                                           TimePoint aTime) {
      return m_control.ColdOwnerRank(aEndpoint, aOwners, aTime);
    });
    service.state->Load(*config, entry.first, rank.first, rank.second, aNow);
    service.has_safe_route = HasSafeRoute(*config, entry.first);
  }
  m_metrics.Set("config_version", {}, static_cast<double>(config->version));
  m_metrics.Set("evacuated_data_centres",
                {},
                static_cast<double>(config->evacuated.size()));
}

void
ServiceTable::InitEntry(ServiceEntry& aEntry) const
{
  aEntry.state = std::make_unique<ServiceState>(
    BalancerRegistry::Make(m_policies.balancer),
    EjectorRegistry::Make(m_policies.ejector),
    ServiceStateOptions{ m_policies.pool,
                         m_policies.ahead,
                         m_control.DataCentre(),
                         m_limits.proven,
                         m_seed,
                         m_policies.transfer_cost_per_megabyte,
                         { m_coldStarts.overage, m_coldStarts.slack } });
  aEntry.queue =
    QueueRegistry::Make(m_policies.queue, m_limits.queue_per_account);
}

void
ServiceTable::LogIdleEndpoints(const std::string& aName, TimePoint aNow)
{
  ServiceEntry& service = m_services.at(aName);
  if (aNow - service.last_idle_log < kIdleLogInterval) {
    return;
  }
  const double unserved = m_control.Shortfall(aName, aNow);
  if (unserved <= kMinLoggedUnservedShare) {
    return;
  }
  service.last_idle_log = aNow;
  std::map<std::string, std::uint64_t> countByReason;
  std::string list;
  const auto idle = service.state->IdleEndpoints(aNow);
  for (const IdleEndpoint& endpoint : idle) {
    ++countByReason[endpoint.reason];
    list += (list.empty() ? "" : ",") + endpoint.endpoint;
  }
  LogFields fields;
  fields.Add("service", aName)
    .Add("unserved", unserved)
    .Add("idle", std::uint64_t{ idle.size() });
  for (const auto& [reason, count] : countByReason) {
    fields.Add(reason.c_str(), count);
  }
  LogLine("health",
          "Requests of the service are not served while endpoints are idle.",
          fields.Add("idle_endpoints", list));
}

/// Logs which endpoints have turned cold, and those that are cold no longer
/// with what this daemon has sent to them. One line names all, as a data centre
/// that returns has many.
void
ServiceTable::LogColdChanges(const std::string& aName,
                             ServiceEntry& aEntry,
                             TimePoint aNow)
{
  const std::vector<ColdChange> changes = aEntry.state->TakeColdChanges(aNow);
  if (changes.empty()) {
    return;
  }
  std::uint64_t cold = 0;
  std::uint64_t warm = 0;
  std::uint64_t sent = 0;
  Duration left{ 0 };
  std::string coldIds;
  std::string warmIds;
  for (const ColdChange& change : changes) {
    std::string& ids = change.cold ? coldIds : warmIds;
    ids += (ids.empty() ? "" : ",") + change.endpoint;
    ++(change.cold ? cold : warm);
    left = std::max(left, change.left);
    sent += change.cold ? 0 : change.sent;
  }
  if (cold > 0) {
    LogLine("health",
            "Endpoints are cold; the requests to them are bounded.",
            LogFields()
              .Add("service", aName)
              .Add("count", cold)
              .Add("left_ms", left)
              .Add("endpoints", coldIds));
  }
  if (warm > 0) {
    LogLine("health",
            "Endpoints are cold no longer.",
            LogFields()
              .Add("service", aName)
              .Add("count", warm)
              .Add("sent", sent)
              .Add("endpoints", warmIds));
  }
  m_metrics.Set("cold_endpoints",
                { { "service", aName } },
                static_cast<double>(aEntry.state->Cold(aNow)));
}

ServiceEntry*
ServiceTable::Find(const std::string& aName)
{
  auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : &found->second;
}

void
ServiceTable::UpdateEjections(const std::string& aName, TimePoint aNow)
{
  ServiceEntry& service = m_services.at(aName);
  if (aNow - service.last_ejection_update <
      EjectionUpdateInterval(service.state->Size())) {
    return;
  }
  service.last_ejection_update = aNow;
  LogColdChanges(aName, service, aNow);
  for (const EjectionChange& change : service.state->Judge(aNow)) {
    LogLine("health",
            "An endpoint's standing has changed.",
            LogFields()
              .Add("endpoint", change.endpoint)
              .Add("service", aName)
              .Add("standing", change.ejected ? "out" : "in")
              .Add("reason", change.reason));
    m_metrics.Count("ejections_total",
                    { { "endpoint", change.endpoint },
                      { "change", change.ejected ? "out" : "back" } });
  }
  m_metrics.Set("ejected_endpoints",
                { { "service", aName } },
                static_cast<double>(service.state->Ejected()));
  if (aNow - service.last_evidence_share < kEvidenceShareInterval) {
    return;
  }
  service.last_evidence_share = aNow;
  const auto evidence = service.state->TakeEvidence(aNow);
  if (evidence) {
    m_control.ShareEvidence(*evidence, aNow);
  }
}

} // namespace sapphirelane
