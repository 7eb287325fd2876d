#include "sapphirelane/proxy/refusal.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace sapphirelane {

namespace {

/// Retry-After of requests for a service that is evacuated. Operators end an
/// evacuation after minutes; a shorter time would only bring the same callers
/// back to be refused again, a longer one would keep them away after its end.
constexpr Milliseconds kEvacuatedRetryAfter{ 5000 };

/// Formats a time in seconds, with a fraction only if needed.
std::string
FormatSeconds(Milliseconds aTime)
{
  constexpr int kMillisecondsPerSecond = 1000;
  if (aTime.count() % kMillisecondsPerSecond == 0) {
    return std::to_string(aTime.count() / kMillisecondsPerSecond);
  }
  return absl::StrFormat("%.3f", ToSeconds(aTime));
}

} // namespace

Refusal
EvacuatedRefusal()
{
  return { 503,
           Outcome::NotRun,
           "evacuated",
           "all data centres of the service are evacuated",
           kEvacuatedRetryAfter };
}

const char*
OutcomeWord(Outcome aOutcome)
{
  return aOutcome == Outcome::NotRun ? "not-run" : "unknown";
}

bool
Refuse(Exchange& aExchange,
       const Refusal& aRefusal,
       const HttpDialect& aDialect)
{
  const std::string* callerId =
    aDialect.caller_names_requests
      ? FindHeader(aExchange.Head().headers, aDialect.request_id)
      : nullptr;
  const std::string id =
    callerId == nullptr ? std::to_string(aExchange.Head().id) : *callerId;
  nlohmann::json body = { { "outcome", OutcomeWord(aRefusal.outcome) },
                          { "reason", aRefusal.reason },
                          { "detail", aRefusal.detail },
                          { "request", id } };
  ResponseHead head;
  head.status = aRefusal.status;
  head.headers = { { "Content-Type", "application/json" },
                   { aDialect.outcome, OutcomeWord(aRefusal.outcome) },
                   { aDialect.request_id, id } };
  if (aRefusal.retry_after) {
    Milliseconds retryAfter = *aRefusal.retry_after;
    if (!aDialect.fractional_retry_after) {
      retryAfter = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    }
    head.headers.emplace_back("Retry-After", FormatSeconds(retryAfter));
    body["retry_after_ms"] = aRefusal.retry_after->count();
  }
  return aExchange.AnswerWhole(
    head,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace sapphirelane
