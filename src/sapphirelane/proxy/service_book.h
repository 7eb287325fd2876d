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

/// @brief One service as the dispatcher works with it.
struct ServiceEntry
{
  std::unique_ptr<ServiceState> state;
  std::unique_ptr<RequestQueue> queue;
  std::size_t reserved = 0; ///< Slots of requests that await their claim.
  bool has_safe_route = false;
  TimePoint safe_seen{}; ///< When safe work was last placed.
  TimePoint judged{};    ///< When its endpoints were judged last.
  TimePoint shared{};    ///< When evidence was last shared.
};

/// @brief All services of the configuration in force.
class ServiceBook
{
public:
  ServiceBook(const LimitSettings& aLimits,
              const PolicySettings& aPolicies,
              FleetControl& aControl,
              Metrics& aMetrics);

  /// @brief Takes over a configuration or rank that is new.
  void Load(TimePoint aNow);

  ServiceEntry& At(const std::string& aName) { return m_services.at(aName); }

  /// @brief Finds a service.
  /// @return The service, or nullptr.
  ServiceEntry* Find(const std::string& aName);

  /// @brief Judges a service's endpoints and shares evidence that is due.
  void Judge(const std::string& aName, TimePoint aNow);

  std::map<std::string, ServiceEntry>& All() { return m_services; }

private:
  void Make(ServiceEntry& aEntry) const;

  const LimitSettings m_limits;
  const PolicySettings m_policies;
  FleetControl& m_control;
  Metrics& m_metrics;
  bool m_loaded = false;
  std::uint64_t m_version = 0;
  std::uint64_t m_endpointRevision = 0;
  std::pair<std::size_t, std::size_t> m_rank{ 0, 0 };
  std::map<std::string, ServiceEntry> m_services;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_SERVICE_BOOK_H
