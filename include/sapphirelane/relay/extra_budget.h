#ifndef SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
#define SAPPHIRELANE_RELAY_EXTRA_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/relay/retry_window.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Options of FleetRetryBudget.
struct ExtraBudgetOptions
{
  double share = 0.2; ///< Retries and hedges per request in the window.
  double slack = 50;  ///< Allowance on top of it, for the whole fleet.
  Duration window = Milliseconds(10000);
  /// Fraction of the budget that is spent: updates from other daemons may be
  /// lost or arrive later than expected.
  double margin = 0.9;
};

/// @brief Fleet-wide retry budget of each service, over a sliding window.
///
/// Limits retries and hedged requests to a share of the first attempts, counted
/// over all daemons, so that retries cannot multiply an overload. A daemon that
/// does not know the whole window spends at half of the budget's rate, see
/// RetryAllowance, as others may have spent the other half.
///
/// Load pattern: many requests fail at one moment, and all daemons decide
/// before they know what the others have just spent. In the time that a report
/// takes, each spends at most its even part of what is left.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetOptions aOptions);

  /// @brief Sets that nothing is known of the time before a moment.
  void ForgetBefore(TimePoint aMoment) { m_knownSince = aMoment; }

  /// @brief Part of the window that is known.
  Duration Known(TimePoint aNow) const;

  /// @brief Whether all of the window is known.
  bool IsKnown(TimePoint aNow) const { return Known(aNow) == m_options.window; }

  /// @brief Records a first attempt of this daemon.
  void NoteRequest(const std::string& aService, TimePoint aNow);

  /// @brief Records first attempts and retries of other daemons.
  /// @param aService Hash of the service's id.
  void NoteOthers(std::uint32_t aService,
                  std::uint32_t aRequests,
                  std::uint32_t aRetries,
                  TimePoint aNow);

  /// @brief Sets the share of the budget that this daemon and those that it
  /// reaches may use; below 1 while it cannot reach all daemons.
  void SetShare(double aFleetShare) { m_fleetShare = aFleetShare; }

  /// @brief Sets the number of daemons that spend, and the time after which
  /// the others know what one of them has spent.
  void SetFleet(std::size_t aDaemons, Duration aReportTime);

  /// @brief Sets a moment of which the others may still not know what this
  /// daemon has spent since, however long ago it was.
  void SetReportedUntil(TimePoint aMoment) { m_reportedUntil = aMoment; }

  /// @brief Spends one retry or hedge if the budget allows it.
  /// @param aReserve Share of the budget that it leaves to more urgent
  /// requests.
  RetryDecision Take(const std::string& aService,
                     TimePoint aNow,
                     Random& aRandom,
                     double aReserve = 0);

  /// @brief What another daemon needs to know the windows of this one: those
  /// with retries, if there are too many those with most.
  RetriesReply Snapshot(const FetchRetries& aRequest, TimePoint aNow);

  /// @brief Merges another daemon's snapshot.
  void Merge(const RetriesReply& aSnapshot, TimePoint aNow);

private:
  /// What this daemon has spent and the others may not know yet.
  struct Unreported
  {
    std::deque<TimePoint> spent;
    /// Rounds this daemon's part of what is left to a whole number, such that
    /// the parts of all daemons add up to it on average.
    double rounding = 0;
    TimePoint rounding_drawn_at = TimePoint::min();
  };

  RetryWindow& WindowOf(std::uint32_t aService);
  bool IsFleetKnown(TimePoint aNow);
  void LogRefusal(const std::string& aService,
                  const RetryDecision& aDecision,
                  double aLeft,
                  bool aFleetKnown,
                  TimePoint aNow);
  Unreported& UnreportedOf(std::uint32_t aService,
                           TimePoint aNow,
                           Random& aRandom);

  ExtraBudgetOptions m_options;
  double m_fleetShare = 1;
  double m_daemons = 1;
  Duration m_reportTime{ 0 };
  TimePoint m_reportedUntil = TimePoint::max();
  TimePoint m_knownSince = TimePoint::min();
  double m_seenDaemons = 0; ///< When the fleet last changed.
  TimePoint m_fleetChangedAt{};
  TimePoint m_nextRefusalLine{};
  std::map<std::uint32_t, RetryWindow> m_windows; ///< By hash of the service.
  std::map<std::uint32_t, Unreported> m_unreported;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
