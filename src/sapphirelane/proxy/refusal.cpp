#include "sapphirelane/proxy/refusal.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace sapphirelane {

namespace {

/// Seconds, with a fraction only where it is needed.
std::string
SecondsText(Milliseconds aTime)
{
  constexpr int kMillisInSecond = 1000;
  if (aTime.count() % kMillisInSecond == 0) {
    return std::to_string(aTime.count() / kMillisInSecond);
  }
  return absl::StrFormat("%.3f", ToSeconds(aTime));
}

} // namespace

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
  const std::string* named =
    aDialect.caller_names_requests
      ? FindHeader(aExchange.Head().headers, aDialect.request_id)
      : nullptr;
  const std::string id =
    named == nullptr ? std::to_string(aExchange.Head().id) : *named;
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
    Milliseconds wait = *aRefusal.retry_after;
    if (!aDialect.fractional_retry_after) {
      wait = std::chrono::ceil<std::chrono::seconds>(wait);
    }
    head.headers.emplace_back("Retry-After", SecondsText(wait));
    body["retry_after_ms"] = aRefusal.retry_after->count();
  }
  return aExchange.AnswerWhole(
    head,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace sapphirelane
