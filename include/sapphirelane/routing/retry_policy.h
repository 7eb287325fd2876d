#ifndef SAPPHIRELANE_ROUTING_RETRY_POLICY_H
#define SAPPHIRELANE_ROUTING_RETRY_POLICY_H

#include <cstdint>
#include <memory>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Decides whether a further attempt may be made.
class RetryPolicy
{
public:
  static constexpr const char* kKind = "retry policy";

  virtual ~RetryPolicy() = default;

  /// @brief Notes a new request, which earns part of an extra attempt.
  virtual void OnRequest(TimePoint aNow) = 0;

  /// @brief Asks for one extra attempt and spends it if it is given.
  /// @param aAttempts Attempts made so far for the request.
  /// @param aDeadline When the caller stops waiting.
  virtual bool TakeExtra(std::uint32_t aAttempts,
                         TimePoint aDeadline,
                         TimePoint aNow) = 0;
};

using RetryRegistry = Registry<RetryPolicy>;

/// @brief Options of the budget policy.
struct RetryBudgetOptions
{
  double share = 0.1;              ///< Extra attempts earned by a request.
  double most_saved = 10;          ///< Extra attempts held at the most.
  std::uint32_t most_attempts = 3; ///< For one request.
  Duration least_left = Milliseconds(20); ///< Needed before the deadline.
};

/// @brief Extra attempts stay a fixed share of requests.
std::unique_ptr<RetryPolicy>
MakeRetryBudget(RetryBudgetOptions aOptions);

/// @brief Always allows up to a number of attempts; a baseline.
std::unique_ptr<RetryPolicy>
MakeFixedAttempts(std::uint32_t aMostAttempts);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RETRY_POLICY_H
