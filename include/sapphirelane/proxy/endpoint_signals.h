#ifndef SAPPHIRELANE_PROXY_ENDPOINT_SIGNALS_H
#define SAPPHIRELANE_PROXY_ENDPOINT_SIGNALS_H

#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/proxy/dialect.h"
#include "sapphirelane/proxy/http.h"

namespace sapphirelane {

/// @brief What an endpoint says about itself in the head of a response.
struct EndpointSignals
{
  std::optional<LoadReport> load;
  bool leaving = false; ///< It is shutting down and takes no new work.
  /// Requests a second that it takes from all hosts; nothing if it names no
  /// limit that could matter.
  std::optional<double> limit;
  bool limit_malformed = false; ///< What it takes is not known.
  std::optional<Duration> cold; ///< Time for which it stays cold.
  /// It rejected the request and wants none from this host for this time.
  std::optional<Duration> retry_after;
  std::vector<std::string> malformed; ///< Names of headers that were ignored.
};

/// @brief Reads the signals in a response head. Malformed headers are ignored
/// and listed.
EndpointSignals
ReadSignals(const ResponseHead& aHead, const HttpDialect& aDialect);

/// @brief Parses an endpoint's limit in requests a second.
/// @return The limit, or nothing if the text is malformed or negative.
std::optional<double>
ParseLimit(const std::string& aText);

/// @brief Parses the time for which an endpoint stays cold, in ms.
/// @return The time, or nothing if the text is malformed, negative or above
/// kMaxColdTime.
std::optional<Duration>
ParseColdTime(const std::string& aText);

/// @brief Parses a Retry-After header in seconds, with fractions. A date is
/// malformed. Times above ten minutes are cut to that.
/// @return The time, or nothing if the text is malformed or negative.
std::optional<Duration>
ParseRetryAfter(const std::string& aText);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_ENDPOINT_SIGNALS_H
