#ifndef SAPPHIRELANE_RELAY_RETRY_WINDOW_H
#define SAPPHIRELANE_RELAY_RETRY_WINDOW_H

#include <deque>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Requests and retries since a moment.
struct RetryCounts
{
  TimePoint since{};
  double requests = 0;
  double retries = 0;
};

/// @brief Requests and retries of one service over a sliding window.
///
/// Two daemons' windows can be merged: for each age, a window is raised to the
/// other's count of what is younger. The merge can be repeated, done in any
/// order, and never lowers a count.
class RetryWindow
{
public:
  /// @param aLength Length of the window, above 0.
  explicit RetryWindow(Duration aLength);

  /// @brief Adds to what is counted at the present time.
  void Add(double aRequests, double aRetries, TimePoint aNow);

  /// @brief Requests in the window.
  double Requests(TimePoint aNow);

  /// @brief Retries in the window.
  double Retries(TimePoint aNow);

  /// @brief What has been counted since the start of each interval, newest
  /// first.
  std::vector<RetryCounts> CountsSince() const;

  /// @brief What the window holds, oldest first.
  std::vector<WindowPart> Parts(TimePoint aNow);

  /// @brief Raises the window to what another daemon has counted. Parts that
  /// are older than the window, and all beyond its number of intervals, are
  /// ignored.
  void RaiseTo(std::vector<WindowPart> aParts, TimePoint aNow);

private:
  struct Interval
  {
    TimePoint start{};
    double requests = 0;
    double retries = 0;
  };

  void DropExpired(TimePoint aNow);
  Interval& IntervalFrom(TimePoint aStart);
  Interval SumSince(TimePoint aStart) const;

  Duration m_length;
  Duration m_interval;
  std::deque<Interval> m_intervals; ///< Sorted by start.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_RETRY_WINDOW_H
