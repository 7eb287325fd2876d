#ifndef SAPPHIRELANE_PROXY_SERVICE_BOOK_H
#define SAPPHIRELANE_PROXY_SERVICE_BOOK_H

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "sapphirelane/admission/request_queue.h"
#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/service_state.h"

namespace sapphirelane {

/// @brief Endpoints, request queue and timers of one service.
struct ServiceEntry
{
  std::unique_ptr<ServiceState> state;
  std::unique_ptr<RequestQueue> queue;
  std::size_t reserved_slots = 0; ///< Held by requests that await their claim.
  bool has_safe_route = false;
  TimePoint last_ejection_update{};
  TimePoint last_evidence_share{};
  TimePoint last_idle_log{};
};

/// @brief Services of the current configuration, by name.
class ServiceTable
{
public:
  ServiceTable(const LimitSettings& aLimits,
               const PolicySettings& aPolicies,
               const ColdStartSettings& aColdStarts,
               std::uint64_t aSeed,
               FleetControl& aControl,
               Metrics& aMetrics);

  /// @brief Applies the current configuration and rank if either has changed.
  void ApplyConfig(TimePoint aNow);

  ServiceEntry& At(const std::string& aName) { return m_services.at(aName); }

  /// @brief Finds a service.
  /// @return The service, or nullptr.
  ServiceEntry* Find(const std::string& aName);

  /// @brief Updates the ejections of a service and shares failure evidence,
  /// each at its own interval.
  void UpdateEjections(const std::string& aName, TimePoint aNow);

  /// @brief Logs the idle endpoints of a service while many of its requests are
  /// not served; at most once a second.
  void LogIdleEndpoints(const std::string& aName, TimePoint aNow);

  std::map<std::string, ServiceEntry>& All() { return m_services; }

private:
  void LogColdChanges(const std::string& aName,
                      ServiceEntry& aEntry,
                      TimePoint aNow);
  void InitEntry(ServiceEntry& aEntry) const;

  const LimitSettings m_limits;
  const PolicySettings m_policies;
  const ColdStartSettings m_coldStarts;
  const std::uint64_t m_seed; ///< Of random waits.
  FleetControl& m_control;
  Metrics& m_metrics;
  bool m_hasConfig = false;
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_endpointRevision = 0;
  std::uint64_t m_hearingRevision = 0;
  std::pair<std::size_t, std::size_t> m_rank{ 0, 0 };
  std::map<std::string, ServiceEntry> m_services;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_SERVICE_BOOK_H
