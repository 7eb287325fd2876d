#include "sapphirelane/admission/start_limits.h"

namespace sapphirelane {

namespace {

/// Share of the mean latency that all but a twentieth of the responses exceed,
/// for log-normal response times with a standard deviation of 0.6 of their
/// logarithm, as ExpectedCostOptions::time_spread has it.
constexpr double kFastLatencyShare = 0.31;

} // namespace

StartLimits
LatestStarts(const RequestTimes& aTimes, Duration aMeanLatency)
{
  StartLimits limits;
  if (aTimes.target > Duration::zero()) {
    limits.for_target = aTimes.arrived + aTimes.target - aMeanLatency;
  }
  const Seconds fast(ToSeconds(aMeanLatency) * kFastLatencyShare);
  limits.for_deadline =
    aTimes.deadline - std::chrono::duration_cast<Duration>(fast);
  return limits;
}

} // namespace sapphirelane
