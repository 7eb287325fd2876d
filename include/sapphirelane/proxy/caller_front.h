#ifndef SAPPHIRELANE_PROXY_CALLER_FRONT_H
#define SAPPHIRELANE_PROXY_CALLER_FRONT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sapphirelane/config/fleet.h"
#include "sapphirelane/config/settings.h"
#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief HTTP/1.1 listener that accepts requests from callers.
class CallerFront
{
public:
  virtual ~CallerFront() = default;

  /// @brief Closes each connection after its pending responses, and reads no
  /// request behind them.
  ///
  /// New connections are still accepted, for one request each.
  virtual void CloseAfterAnswers() = 0;

  /// @brief Accepts no new connections, and closes those without a pending
  /// request.
  virtual void StopListening() = 0;

  /// @brief Sets size limits of heads and bodies, and timeouts.
  ///
  /// A value of zero selects the default.
  virtual void SetLimits(const CallerLimits& aLimits) = 0;

  /// @return Number of requests whose response is not completely written; not
  /// to be called after Stop. After StopListening, no request is read any more
  /// once this has returned 0.
  virtual std::size_t Open() = 0;

  /// @brief Closes all connections and ends the listener's thread. The other
  /// members have no effect afterwards, and may still be called by threads that
  /// run on.
  virtual void Stop() = 0;
};

/// @brief Options of the listener for callers.
struct CallerFrontOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 8080;
  LimitSettings limits;
  HttpDialect dialect;
  std::uint64_t first_request = 1; ///< Counts up from here.
  /// How long a listener that stops waits for the first request of a
  /// connection that is as young; allows for a few round trips.
  Duration first_request_timeout = Milliseconds(300);
};

/// @param aOnRequest Accepts a new request, on the listener's thread; returns
/// false if it is overloaded, and the request is then refused with 503.
/// @throws Error if the listener cannot bind its port.
std::unique_ptr<CallerFront>
MakeCallerFront(CallerFrontOptions aOptions,
                std::function<bool(ExchangePtr)> aOnRequest);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CALLER_FRONT_H
