#include "sapphirelane/relay/retry_allowance.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Part of the budget that may be spent at once. At a half, the budget's rate
/// after a kill is half of it as well, and both together are the budget.
constexpr double kBurst = 0.5;

} // namespace

RetryAllowance::RetryAllowance(double aShare, double aSlack, Duration aWindow)
  : m_share(aShare)
  , m_slack(aSlack)
  , m_window(aWindow)
{
}

double
RetryAllowance::RateSince(const RetryCounts& aCounts,
                          bool aSlackKnown,
                          TimePoint aNow) const
{
  const double windows = ToSeconds(aNow - aCounts.since) / ToSeconds(m_window);
  const double slack = aSlackKnown ? m_slack * std::min(1.0, windows) : 0;
  return (1 - kBurst) * (aCounts.requests * m_share + slack);
}

double
RetryAllowance::Left(RetryWindow& aCounted,
                     TimePoint aKnownSince,
                     bool aSlackKnown,
                     TimePoint aNow) const
{
  const double budget = aCounted.Requests(aNow) * m_share + m_slack;
  const double spent = aCounted.Retries(aNow);
  double left = budget - spent;
  RetryCounts known{ aKnownSince, 0, spent };
  for (const RetryCounts& counts : aCounted.CountsSince()) {
    const double allowed =
      budget * kBurst + RateSince(counts, true, aNow) - counts.retries;
    left = std::min(left, allowed);
    if (counts.since >= aKnownSince) {
      known.requests = std::max(known.requests, counts.requests);
    }
  }
  if (aKnownSince > aNow - m_window) {
    left = std::min(left, RateSince(known, aSlackKnown, aNow) - spent);
  }
  return left;
}

} // namespace sapphirelane
