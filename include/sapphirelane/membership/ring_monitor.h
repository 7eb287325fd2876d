#ifndef SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H
#define SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H

#include <map>
#include <set>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/head.h"

namespace sapphirelane {

/// @brief Failure detector: monitors ring neighbours and counts suspicions.
///
/// The members form a ring ordered by id. Each sends heartbeats to the next
/// kRingNeighbourCount members, so its cost does not depend on the size of the
/// fleet. The silence of a neighbour alone proves nothing, as a link may be
/// cut in one direction: a member counts as dead only when enough other
/// members report it as silent.
class RingMonitor
{
public:
  explicit RingMonitor(NodeId aSelf);

  /// @brief Replaces the members with those of a head.
  void Load(const Head& aHead, TimePoint aNow);

  /// @brief Members to which this daemon sends heartbeats.
  const std::vector<NodeId>& Listeners() const { return m_heartbeatTargets; }

  /// @brief Records that a message from a member has arrived.
  void Hear(NodeId aMember, TimePoint aNow);

  /// @brief Monitored neighbours without a message for kSuspicionTimeout.
  std::vector<NodeId> Silent(TimePoint aNow) const;

  /// @brief Records that one member reports another one as silent.
  void Report(NodeId aReporter, NodeId aSuspect, TimePoint aNow);

  /// @brief Members that enough others report as silent at present.
  std::vector<NodeId> Dead(TimePoint aNow) const;

  /// @brief Members that propose map changes, and so receive the reports: the
  /// first few by id that this daemon does not suspect.
  std::vector<NodeId> Proposers(TimePoint aNow) const;

private:
  NodeId m_self;
  std::vector<NodeId> m_members;
  std::vector<NodeId> m_heartbeatTargets;
  std::map<NodeId, TimePoint> m_lastContact; ///< By monitored neighbour.
  std::map<NodeId, std::map<NodeId, TimePoint>> m_reports; ///< By suspect.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H
