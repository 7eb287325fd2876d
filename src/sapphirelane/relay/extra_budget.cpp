#include "sapphirelane/relay/extra_budget.h"

namespace sapphirelane {

namespace {

/// Intervals that the sliding window is divided into.
constexpr int kIntervalsPerWindow = 20;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetOptions aOptions)
  : m_options(aOptions)
{
}

ExtraBudget::Interval&
ExtraBudget::CurrentInterval(Intervals& aIntervals, TimePoint aNow) const
{
  // An interval counts until all of it has left the window.
  while (!aIntervals.empty() &&
         aNow - aIntervals.front().start >
           m_options.window + m_options.window / kIntervalsPerWindow) {
    aIntervals.pop_front();
  }
  const bool expired =
    aIntervals.empty() ||
    aNow - aIntervals.back().start >= m_options.window / kIntervalsPerWindow;
  if (expired) {
    aIntervals.push_back({ aNow, 0, 0 });
  }
  return aIntervals.back();
}

void
ExtraBudget::NoteRequests(const std::string& aService,
                          std::uint32_t aCount,
                          TimePoint aNow)
{
  CurrentInterval(m_intervals[aService], aNow).requests += aCount;
}

void
ExtraBudget::NoteExtras(const std::string& aService,
                        std::uint32_t aCount,
                        TimePoint aNow)
{
  CurrentInterval(m_intervals[aService], aNow).retries += aCount;
}

RetryDecision
ExtraBudget::Take(const std::string& aService, TimePoint aNow)
{
  Intervals& intervals = m_intervals[aService];
  Interval& current = CurrentInterval(intervals, aNow);
  double requests = 0;
  double retries = 0;
  for (const Interval& interval : intervals) {
    requests += interval.requests;
    retries += interval.retries;
  }
  RetryDecision decision;
  decision.spent = retries;
  decision.budget =
    (requests * m_options.share + m_options.slack * m_fleetShare) *
    m_options.margin;
  decision.allowed = retries + 1 <= decision.budget;
  current.retries += decision.allowed ? 1 : 0;
  return decision;
}

} // namespace sapphirelane
