#ifndef SAPPHIRELANE_ADMISSION_START_LIMITS_H
#define SAPPHIRELANE_ADMISSION_START_LIMITS_H

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Times of one request that bound when work on it is worth starting.
struct RequestTimes
{
  TimePoint arrived{};
  Duration target{ 0 }; ///< Latency target; 0 for none.
  TimePoint deadline{};
};

/// @brief Latest moments at which work on a request is worth starting.
struct StartLimits
{
  TimePoint for_target = TimePoint::max();   ///< To meet its latency target.
  TimePoint for_deadline = TimePoint::max(); ///< To be answered at all.
};

/// @brief Computes the latest starts from how long the service takes.
///
/// A start after for_deadline succeeds only if the endpoint is far faster than
/// usual. Such requests are refused at once, as they use up slots in vain while
/// others wait.
/// @param aMeanLatency Of the service; 0 if unknown.
StartLimits
LatestStarts(const RequestTimes& aTimes, Duration aMeanLatency);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_START_LIMITS_H
