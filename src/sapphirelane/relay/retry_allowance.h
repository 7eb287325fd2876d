#ifndef SAPPHIRELANE_RELAY_RETRY_ALLOWANCE_H
#define SAPPHIRELANE_RELAY_RETRY_ALLOWANCE_H

#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/relay/retry_window.h"

namespace sapphirelane {

/// @brief Decides how many retries of a service a budget still allows.
///
/// Load pattern: all daemons of a fleet are killed at once while a service
/// fails, and what they have spent is lost with them.
///
/// For each moment s of the known past, the retries since s stay within a burst
/// (half of the budget) plus a rate (half of what the requests since s and the
/// time since s add to the budget). At the start of the known past, the burst
/// counts as spent. Before a kill and after it the retries of a window are then
/// at most the burst plus the rate, which is the budget, however often daemons
/// are killed.
class RetryAllowance
{
public:
  /// @param aShare Retries per request.
  /// @param aSlack Retries in a window on top of it.
  RetryAllowance(double aShare, double aSlack, Duration aWindow);

  /// @brief Retries that are left; below 1 if none is.
  /// @param aKnownSince Start of the known past.
  /// @param aSlackKnown False if the daemons that share the slack are not known
  /// yet; only requests add to the rate then, until the whole window is known.
  double Left(RetryWindow& aCounted,
              TimePoint aKnownSince,
              bool aSlackKnown,
              TimePoint aNow) const;

private:
  double RateSince(const RetryCounts& aCounts,
                   bool aSlackKnown,
                   TimePoint aNow) const;

  double m_share;
  double m_slack;
  Duration m_window;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_RETRY_ALLOWANCE_H
