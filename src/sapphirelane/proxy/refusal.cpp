#include "sapphirelane/proxy/refusal.h"

#include <nlohmann/json.hpp>

namespace sapphirelane {

const char*
OutcomeWord(Outcome aOutcome)
{
  return aOutcome == Outcome::NotRun ? "not-run" : "unknown";
}

bool
Refuse(Exchange& aExchange, const Refusal& aRefusal)
{
  const std::string id = std::to_string(aExchange.Head().id);
  nlohmann::json body = { { "outcome", OutcomeWord(aRefusal.outcome) },
                          { "reason", aRefusal.reason },
                          { "detail", aRefusal.detail },
                          { "request", id } };
  ResponseHead head;
  head.status = aRefusal.status;
  head.headers = { { "Content-Type", "application/json" },
                   { kOutcomeHeader, OutcomeWord(aRefusal.outcome) },
                   { kRequestIdHeader, id } };
  if (aRefusal.retry_after) {
    const auto wait =
      std::chrono::ceil<std::chrono::seconds>(*aRefusal.retry_after);
    head.headers.emplace_back("Retry-After", std::to_string(wait.count()));
    body["retry_after_ms"] = aRefusal.retry_after->count();
  }
  return aExchange.AnswerWhole(head, body.dump() + "\n");
}

} // namespace sapphirelane
