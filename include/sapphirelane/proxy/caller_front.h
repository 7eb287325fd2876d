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

/// @brief Takes requests from callers over HTTP.
class CallerFront
{
public:
  virtual ~CallerFront() = default;

  /// @brief Ends each connection with its next answer from now on; new
  /// connections are still taken.
  virtual void CloseAfterAnswers() = 0;

  /// @brief Takes no new connections from now on, and ends those that wait for
  /// no answer.
  virtual void StopListening() = 0;

  /// @brief Sets the bounds on heads, bodies and silence.
  virtual void SetLimits(const CallerLimits& aLimits) = 0;

  /// @brief Number of requests whose answer is not handed over whole yet.
  virtual std::size_t Open() const = 0;
};

/// @brief Options of the front.
struct CallerFrontOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 8080;
  LimitSettings limits;
  HttpDialect dialect;
  std::uint64_t first_request = 1; ///< Number of the first request.
};

/// @param aOnRequest Takes a new request over, on the front's thread; false
/// if it cannot.
/// @throws Error if the port cannot be listened on.
std::unique_ptr<CallerFront>
MakeCallerFront(CallerFrontOptions aOptions,
                std::function<bool(ExchangePtr)> aOnRequest);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CALLER_FRONT_H
