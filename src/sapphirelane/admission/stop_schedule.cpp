#include "sapphirelane/admission/stop_schedule.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Multiple of the mean latency that all but a twentieth of the responses stay
/// below, for the same log-normal response times as in LatestStarts.
constexpr double kSlowLatencyShare = 2.24;

/// Time to pass a response or a refusal on before the connections are closed.
constexpr Milliseconds kWriteTime{ 200 };

} // namespace

TimePoint
StopSchedule::LatestStart(Duration aMeanLatency) const
{
  if (!m_end) {
    return TimePoint::max();
  }
  const Seconds slow(ToSeconds(aMeanLatency) * kSlowLatencyShare);
  return *m_end - std::max(std::chrono::duration_cast<Duration>(slow),
                           Duration(kWriteTime));
}

} // namespace sapphirelane
