#ifndef SAPPHIRELANE_PROXY_DISPATCHER_H
#define SAPPHIRELANE_PROXY_DISPATCHER_H

#include <cstdint>
#include <memory>
#include <string>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/exchange.h"
#include "sapphirelane/proxy/upstream_io.h"

namespace sapphirelane {

/// @brief Handles every request from its arrival to its response.
///
/// Authenticates, gets a rate-limit token, queues, claims run-once requests,
/// chooses an endpoint, retries, hedges and responds. Has neither a thread nor
/// a clock: the dispatch thread makes all calls and passes the current time.
class Dispatcher
{
public:
  virtual ~Dispatcher() = default;

  /// @brief Handles a new request.
  virtual void OnRequest(ExchangePtr aExchange, TimePoint aNow) = 0;

  /// @brief Handles an event of an attempt.
  virtual void OnAttempt(const AttemptEvent& aEvent, TimePoint aNow) = 0;

  /// @brief Handles the pending events of the fleet control.
  virtual void OnEvents(TimePoint aNow) = 0;

  /// @brief Checks deadlines, stalls, endpoint health and the configuration.
  virtual void OnTick(TimePoint aNow) = 0;

  /// @brief Begins a planned stop: from now on, requests that would not be
  /// finished at its end are refused instead of started.
  /// @param aEnd Time at which the daemon closes its connections.
  virtual void BeginStop(TimePoint aEnd, TimePoint aNow) = 0;

  /// @brief Logs how far the requests have got that a stop cuts off.
  virtual void LogUnfinished() const = 0;

  /// @brief Number of requests without a complete response.
  virtual std::size_t InFlight() const = 0;

  /// @brief Returns the decision log of a request.
  /// @return Log lines; empty if the request is not known.
  virtual std::string Explain(std::uint64_t aRequest) const = 0;
};

/// @brief Options of the dispatcher.
struct DispatcherOptions
{
  LimitSettings limits;
  PolicySettings policies;
  ColdStartSettings cold_starts;
  HttpDialect dialect;
  std::uint64_t seed = 1;     ///< Of random choices.
  std::uint64_t first_id = 1; ///< Id of the first attempt.
};

/// @brief Creates the dispatcher; the references must outlive it.
std::unique_ptr<Dispatcher>
MakeDispatcher(DispatcherOptions aOptions,
               FleetControl& aControl,
               UpstreamIo& aUpstreams,
               Metrics& aMetrics);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DISPATCHER_H
