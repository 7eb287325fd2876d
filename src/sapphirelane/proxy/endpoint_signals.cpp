#include "sapphirelane/proxy/endpoint_signals.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::chrono::minutes kMaxRetryAfter{ 10 };

/// Limits above this are none: no endpoint takes as many requests.
constexpr double kMaxLimit = 1e6;

/// Whether a header has the same value wherever it occurs.
bool
IsUnambiguous(const ResponseHead& aHead,
              const std::string& aName,
              const std::string& aValue)
{
  return std::all_of(
    aHead.headers.begin(), aHead.headers.end(), [&](const Header& aHeader) {
      return !absl::EqualsIgnoreCase(aHeader.first, aName) ||
             aHeader.second == aValue;
    });
}

/// Reads the time for which an endpoint stays cold. Two different ones are
/// malformed.
void
ReadColdTime(const ResponseHead& aHead,
             const HttpDialect& aDialect,
             EndpointSignals& aSignals)
{
  const std::string* first = FindHeader(aHead.headers, aDialect.cold);
  if (first == nullptr) {
    return;
  }
  const bool same = IsUnambiguous(aHead, aDialect.cold, *first);
  aSignals.cold = same ? ParseColdTime(*first) : std::nullopt;
  if (!aSignals.cold) {
    aSignals.malformed.push_back(aDialect.cold);
  }
}

/// Reads an endpoint's limit. Two different ones are malformed.
void
ReadLimit(const ResponseHead& aHead,
          const HttpDialect& aDialect,
          EndpointSignals& aSignals)
{
  const std::string* first = FindHeader(aHead.headers, aDialect.limit);
  if (first == nullptr) {
    return;
  }
  const bool same = IsUnambiguous(aHead, aDialect.limit, *first);
  const auto limit = same ? ParseLimit(*first) : std::nullopt;
  aSignals.limit_malformed = !limit;
  if (!limit) {
    aSignals.malformed.push_back(aDialect.limit);
  } else if (*limit <= kMaxLimit) {
    aSignals.limit = limit;
  }
}

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

std::optional<double>
ParseLimit(const std::string& aText)
{
  double limit = 0;
  if (!absl::SimpleAtod(aText, &limit) || !std::isfinite(limit) || limit < 0) {
    return std::nullopt;
  }
  return limit;
}

std::optional<Duration>
ParseColdTime(const std::string& aText)
{
  double millis = 0;
  if (!absl::SimpleAtod(aText, &millis) || !std::isfinite(millis) ||
      millis < 0 || millis > static_cast<double>(kMaxColdTime.count())) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(millis));
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
  ReadLimit(aHead, aDialect, signals);
  ReadColdTime(aHead, aDialect, signals);
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
