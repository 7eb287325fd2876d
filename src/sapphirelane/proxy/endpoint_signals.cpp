#include "sapphirelane/proxy/endpoint_signals.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/numbers.h>

namespace sapphirelane {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::chrono::minutes kMaxRetryAfter{ 10 };

} // namespace

std::optional<Duration>
ParseRetryAfter(const std::string& aText)
{
  double seconds = 0;
  if (!absl::SimpleAtod(aText, &seconds) || !std::isfinite(seconds) ||
      seconds < 0) {
    return std::nullopt;
  }
  const double maxSeconds = ToSeconds(kMaxRetryAfter);
  return std::chrono::duration_cast<Duration>(
    Seconds(std::min(seconds, maxSeconds)));
}

EndpointSignals
ReadSignals(const ResponseHead& aHead, const HttpDialect& aDialect)
{
  EndpointSignals signals;
  const std::string* load = FindHeader(aHead.headers, aDialect.load);
  if (load != nullptr) {
    signals.load = ParseLoad(*load, aDialect.load_format);
    if (!signals.load) {
      signals.malformed.push_back(aDialect.load);
    }
  }
  const std::string* leaving = FindHeader(aHead.headers, aDialect.leaving);
  if (leaving != nullptr) {
    signals.leaving = *leaving == aDialect.leaving_value;
    if (!signals.leaving) {
      signals.malformed.push_back(aDialect.leaving);
    }
  }
  constexpr const char* kRetryAfter = "Retry-After";
  const std::string* retryAfter = FindHeader(aHead.headers, kRetryAfter);
  if (retryAfter != nullptr && aHead.status == kServiceUnavailable) {
    signals.retry_after = ParseRetryAfter(*retryAfter);
    if (!signals.retry_after) {
      signals.malformed.emplace_back(kRetryAfter);
    }
  }
  return signals;
}

} // namespace sapphirelane
