#ifndef SAPPHIRELANE_RELAY_TRANSFER_BUDGET_H
#define SAPPHIRELANE_RELAY_TRANSFER_BUDGET_H

#include <cstddef>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Options of TransferBudget.
struct TransferBudgetOptions
{
  /// A fifth of the narrowest link that is supported, of 10 Mbit/s.
  double bytes_per_second = 250'000;
  /// Bytes that may be sent at once: 50 ms of that link.
  double burst_bytes = 64'000;
};

/// @brief Bounds what a daemon sends to others that fetch its view.
///
/// Load pattern: all daemons of a data centre ask one of them at the same
/// moment. Its reads of the store, its updates and its callers' bytes share the
/// link with the answers and would wait behind them. A daemon that gets no
/// answer asks another one; each that has been answered can answer in turn.
class TransferBudget
{
public:
  explicit TransferBudget(TransferBudgetOptions aOptions = {})
    : m_options(aOptions)
    , m_level(aOptions.burst_bytes)
  {
  }

  /// @brief Takes the bytes of an answer from the budget. The last answer that
  /// is granted may exceed it; further ones then wait for longer.
  /// @return False if the answer must not be sent now.
  bool TryTake(std::size_t aBytes, TimePoint aNow);

private:
  TransferBudgetOptions m_options;
  double m_level; ///< In bytes; negative while an answer exceeds the budget.
  TimePoint m_refilledAt{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_TRANSFER_BUDGET_H
