#ifndef SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
#define SAPPHIRELANE_RELAY_EXTRA_BUDGET_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/fleet_control.h"

namespace sapphirelane {

/// @brief Options of FleetRetryBudget.
struct ExtraBudgetOptions
{
  double share = 0.2; ///< Retries and hedges per request in the window.
  double slack = 50;  ///< Allowance on top of it, for the whole fleet.
  Duration window = Milliseconds(10000);
  /// Fraction of the budget that is spent: updates from other daemons arrive
  /// late.
  double margin = 0.8;
};

/// @brief Fleet-wide retry budget of each service, over a sliding window.
///
/// Limits retries and hedged requests to a share of the first attempts, counted
/// over all daemons, so that retries cannot multiply an overload.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetOptions aOptions);

  /// @brief Records first attempts, of this daemon or of others.
  void NoteRequests(const std::string& aService,
                    std::uint32_t aCount,
                    TimePoint aNow);

  /// @brief Records retries and hedges that other daemons sent.
  void NoteExtras(const std::string& aService,
                  std::uint32_t aCount,
                  TimePoint aNow);

  /// @brief Sets the share of the fleet-wide allowance that this daemon may
  /// use; below 1 while it cannot reach all daemons.
  void SetShare(double aFleetShare) { m_fleetShare = aFleetShare; }

  /// @brief Spends one retry or hedge if the budget allows it.
  RetryDecision Take(const std::string& aService, TimePoint aNow);

private:
  struct Interval
  {
    TimePoint start{};
    double requests = 0;
    double retries = 0;
  };
  using Intervals = std::deque<Interval>;

  /// Drops expired intervals and returns the one that aNow falls into.
  Interval& CurrentInterval(Intervals& aIntervals, TimePoint aNow) const;

  ExtraBudgetOptions m_options;
  double m_fleetShare = 1;
  std::map<std::string, Intervals> m_intervals;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
