#ifndef SAPPHIRELANE_ADMISSION_STOP_SCHEDULE_H
#define SAPPHIRELANE_ADMISSION_STOP_SCHEDULE_H

#include <optional>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Tells until when requests are worth starting during a planned stop.
///
/// Load pattern: a daemon is stopped while requests wait for a slot, more of
/// them than their service finishes before the daemon ends. A refused request
/// can be served by another host at once. One that is still running at the end
/// is cut off, and its caller cannot know whether it ran. So a request is
/// started only if nearly all requests of its service would finish in the time
/// that is left.
class StopSchedule
{
public:
  /// @brief Begins the stop.
  /// @param aEnd Time at which the daemon closes its connections.
  void Begin(TimePoint aEnd) { m_end = aEnd; }

  bool HasBegun() const { return m_end.has_value(); }

  /// @brief The latest start of a request.
  /// @param aMeanLatency Of its service; 0 if unknown.
  /// @return The time; the largest one if no stop has begun.
  TimePoint LatestStart(Duration aMeanLatency) const;

private:
  std::optional<TimePoint> m_end;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_STOP_SCHEDULE_H
