#ifndef SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H
#define SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H

#include <map>
#include <set>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/head.h"

namespace sapphirelane {

/// @brief Watches ring neighbours and gathers reports of suspicion.
///
/// The members form a ring by id. Each sends heartbeats to the next
/// kRingNeighbours, which makes the cost of a daemon independent of the
/// fleet's size. One silent neighbour alone proves nothing, as a link may be
/// cut one way: a member is taken for dead when enough others report it.
class RingMonitor
{
public:
  explicit RingMonitor(NodeId aSelf);

  /// @brief Takes over the members of a head.
  void Load(const Head& aHead, TimePoint aNow);

  /// @brief Members that hear this daemon's heartbeat.
  const std::vector<NodeId>& Listeners() const { return m_listeners; }

  /// @brief Notes a sign of life.
  void Hear(NodeId aMember, TimePoint aNow);

  /// @brief Neighbours that have been silent for too long.
  std::vector<NodeId> Silent(TimePoint aNow) const;

  /// @brief Notes that a member reports another one as silent.
  void Report(NodeId aReporter, NodeId aSuspect, TimePoint aNow);

  /// @brief Members that enough others report now.
  std::vector<NodeId> Dead(TimePoint aNow) const;

  /// @brief Members to send reports to: those that would act on them.
  std::vector<NodeId> Proposers(TimePoint aNow) const;

private:
  NodeId m_self;
  std::vector<NodeId> m_members;
  std::vector<NodeId> m_listeners;
  std::map<NodeId, TimePoint> m_heard; ///< Neighbours that are watched.
  std::map<NodeId, std::map<NodeId, TimePoint>> m_reports; ///< By suspect.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_RING_MONITOR_H
