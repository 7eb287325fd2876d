#ifndef SAPPHIRELANE_PROXY_REFUSAL_H
#define SAPPHIRELANE_PROXY_REFUSAL_H

#include <optional>
#include <string>

#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Whether a request that got no answer may have run.
enum class Outcome
{
  NotRun,  ///< No byte reached an upstream, or the upstream said so.
  Unknown, ///< It may have run.
};

/// @brief Why a request got no upstream's answer.
struct Refusal
{
  int status = 503;
  Outcome outcome = Outcome::NotRun;
  std::string reason; ///< Machine-readable word, such as "rate".
  std::string detail; ///< Sentence for a person.
  std::optional<Milliseconds> retry_after;
};

/// @brief Answers an exchange with a refusal.
/// @return False if it was answered already.
bool
Refuse(Exchange& aExchange,
       const Refusal& aRefusal,
       const HttpDialect& aDialect);

/// @brief Word of an outcome in the answer's header.
const char*
OutcomeWord(Outcome aOutcome);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REFUSAL_H
