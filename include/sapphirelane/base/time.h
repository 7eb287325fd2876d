#ifndef SAPPHIRELANE_BASE_TIME_H
#define SAPPHIRELANE_BASE_TIME_H

#include <chrono>

namespace sapphirelane {

/// @brief Monotonic clock used for every decision; tests pass made-up points.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// @brief Converts a duration to a floating number of seconds.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

/// @brief Converts a duration to whole milliseconds, rounding towards zero.
inline Milliseconds
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration);
}

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_TIME_H
