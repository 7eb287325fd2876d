#ifndef SAPPHIRELANE_PROXY_REFUSAL_H
#define SAPPHIRELANE_PROXY_REFUSAL_H

#include <optional>
#include <string>

#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Whether a request without an upstream's response may have run.
enum class Outcome
{
  NotRun,  ///< No byte was sent to an upstream, or it says so.
  Unknown, ///< It may have run.
};

/// @brief Error response that the proxy sends instead of an upstream's.
struct Refusal
{
  int status = 503;
  Outcome outcome = Outcome::NotRun;
  std::string reason; ///< Machine-readable code, such as "rate".
  std::string detail; ///< Human-readable explanation.
  std::optional<Milliseconds> retry_after;
};

/// @brief Responds to a request with a refusal.
/// @return False if it already has a response.
bool
Refuse(Exchange& aExchange,
       const Refusal& aRefusal,
       const HttpDialect& aDialect);

/// @brief Refusal of requests for a service all of whose endpoints are in
/// evacuated data centres.
Refusal
EvacuatedRefusal();

/// @brief Name of an outcome in the response header and body.
const char*
OutcomeWord(Outcome aOutcome);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REFUSAL_H
