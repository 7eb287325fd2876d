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

/// @brief Takes every request from its arrival to its answer.
///
/// Authenticates, asks for a token, queues, claims, places, retries, answers.
/// Holds no thread and no clock: one duty calls it with the present time.
class Dispatcher
{
public:
  virtual ~Dispatcher() = default;

  /// @brief Takes in a new request.
  virtual void OnRequest(ExchangePtr aExchange, TimePoint aNow) = 0;

  /// @brief Takes in an event of an attempt.
  virtual void OnAttempt(const AttemptEvent& aEvent, TimePoint aNow) = 0;

  /// @brief Takes in what the fleet answered.
  virtual void OnEvents(TimePoint aNow) = 0;

  /// @brief Lets time pass: deadlines, stalls, health, configuration.
  virtual void OnTick(TimePoint aNow) = 0;

  /// @brief Refuses new requests from now on.
  virtual void Drain() = 0;

  /// @brief Number of requests without a whole answer.
  virtual std::size_t InFlight() const = 0;

  /// @brief Tells how a request was decided.
  /// @return Lines for an operator; empty if the request is not known.
  virtual std::string Explain(std::uint64_t aRequest) const = 0;
};

/// @brief Options of the dispatcher.
struct DispatcherOptions
{
  LimitSettings limits;
  PolicySettings policies;
  HttpDialect dialect;
  std::uint64_t seed = 1;     ///< Of the choices made at random.
  std::uint64_t first_id = 1; ///< Number of the first attempt.
};

/// @brief Makes the dispatcher; the references outlive it.
std::unique_ptr<Dispatcher>
MakeDispatcher(DispatcherOptions aOptions,
               FleetControl& aControl,
               UpstreamIo& aUpstreams,
               Metrics& aMetrics);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DISPATCHER_H
