#ifndef SAPPHIRELANE_ROUTING_RETRY_POLICY_H
#define SAPPHIRELANE_ROUTING_RETRY_POLICY_H

#include <cstdint>
#include <limits>
#include <memory>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Decides whether a request may have another attempt (a retry or a
/// hedge).
class RetryPolicy
{
public:
  static constexpr const char* kKind = "retry policy";

  virtual ~RetryPolicy() = default;

  /// @brief Records a new request, which adds to the retry budget.
  virtual void OnRequest(TimePoint aNow) = 0;

  /// @brief Largest number of attempts of one request, with the first.
  virtual std::uint32_t MaxAttempts() const
  {
    return std::numeric_limits<std::uint32_t>::max();
  }

  /// @brief Spends one extra attempt from the budget, if one is allowed.
  /// @param aAttempts Attempts made so far for the request.
  /// @param aDeadline Deadline of the request.
  /// @return True if the attempt may be made.
  virtual bool TakeExtra(std::uint32_t aAttempts,
                         TimePoint aDeadline,
                         TimePoint aNow) = 0;
};

using RetryRegistry = Registry<RetryPolicy>;

/// @brief Options of the retry budget.
struct RetryBudgetOptions
{
  double share = 0.1;              ///< Extra attempts that a request adds.
  double most_saved = 10;          ///< Largest balance, in attempts.
  std::uint32_t most_attempts = 3; ///< Per request, with the first.
  Duration least_left = Milliseconds(20); ///< Until the deadline.
};

/// @brief Limits extra attempts to a fixed share of requests.
///
/// The budget starts half full.
std::unique_ptr<RetryPolicy>
MakeRetryBudget(RetryBudgetOptions aOptions);

/// @brief Allows a fixed number of attempts per request; a baseline.
std::unique_ptr<RetryPolicy>
MakeFixedAttempts(std::uint32_t aMaxAttempts);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RETRY_POLICY_H
