#ifndef SAPPHIRELANE_RELAY_DELAY_ESTIMATOR_H
#define SAPPHIRELANE_RELAY_DELAY_ESTIMATOR_H

#include <cstddef>
#include <map>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Estimates how long messages of other daemons were under way or queued
/// here, beyond the least time.
///
/// Compares the sender's uptime in a message with the local clock. The smallest
/// difference of the last minutes belongs to the fastest message; a larger one
/// is delay. The window is short enough for clocks that drift apart.
class DelayEstimator
{
public:
  /// @brief Records a message.
  /// @param aUptime Uptime of its sender when it was sent.
  /// @return Delay of the message; 0 for the first one of a sender.
  Duration Record(NodeId aSender, Milliseconds aUptime, TimePoint aNow);

  /// @brief Deletes senders that have been silent for some time.
  void Tick(TimePoint aNow);

private:
  struct Sender
  {
    TimePoint window_start{};
    TimePoint last_seen{};
    TimePoint started{};          ///< Earliest start seen in this window.
    TimePoint previous_started{}; ///< The same of the window before.
  };

  std::map<NodeId, Sender> m_senders;
  TimePoint m_nextCleanup{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_DELAY_ESTIMATOR_H
