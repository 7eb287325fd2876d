#include "sapphirelane/proxy/service_book.h"

#include <algorithm>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Between two judgements of a service's endpoints; each looks at all of them.
/// Probabilities of failure change with each result, between judgements too.
constexpr Milliseconds kJudgePeriod{ 50 };

/// Between two exchanges of evidence about one service.
constexpr Milliseconds kSharePeriod{ 250 };

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

ServiceBook::ServiceBook(const LimitSettings& aLimits,
                         const PolicySettings& aPolicies,
                         FleetControl& aControl,
                         Metrics& aMetrics)
  : m_limits(aLimits)
  , m_policies(aPolicies)
  , m_control(aControl)
  , m_metrics(aMetrics)
{
}

void
ServiceBook::Load(TimePoint aNow)
{
  const FleetConfig* config = m_control.Config();
  const auto rank = m_control.Rank();
  const bool known = m_loaded && config != nullptr &&
                     config->version == m_version && rank == m_rank &&
                     config->endpoint_revision == m_endpointRevision;
  if (config == nullptr || known) {
    return;
  }
  if (!m_loaded || config->version != m_version) {
    LogLine("config",
            "A version is in force.",
            LogFields().Add("config", config->version));
  }
  m_version = config->version;
  m_endpointRevision = config->endpoint_revision;
  m_rank = rank;
  m_loaded = true;
  for (const auto& entry : config->services) {
    ServiceEntry& service = m_services[entry.first];
    if (!service.state) {
      Make(service);
    }
    service.state->SetHearsAllWork(m_control.HearsAllWork());
    service.state->Load(*config, entry.first, rank.first, rank.second, aNow);
    service.has_safe_route = HasSafeRoute(*config, entry.first);
  }
  m_metrics.Set("config_version", {}, static_cast<double>(config->version));
}

void
ServiceBook::Make(ServiceEntry& aEntry) const
{
  aEntry.state =
    std::make_unique<ServiceState>(BalancerRegistry::Make(m_policies.balancer),
                                   EjectorRegistry::Make(m_policies.ejector),
                                   ServiceStateOptions{ m_policies.pool,
                                                        m_policies.ahead,
                                                        m_control.DataCentre(),
                                                        m_limits.proven });
  aEntry.queue =
    QueueRegistry::Make(m_policies.queue, m_limits.queue_per_account);
}

ServiceEntry*
ServiceBook::Find(const std::string& aName)
{
  auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : &found->second;
}

void
ServiceBook::Judge(const std::string& aName, TimePoint aNow)
{
  ServiceEntry& service = m_services.at(aName);
  if (aNow - service.judged < kJudgePeriod) {
    return;
  }
  service.judged = aNow;
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
  if (aNow - service.shared < kSharePeriod) {
    return;
  }
  service.shared = aNow;
  const auto evidence = service.state->TakeEvidence(aNow);
  if (evidence) {
    m_control.ShareEvidence(*evidence, aNow);
  }
}

} // namespace sapphirelane
