#ifndef SAPPHIRELANE_ROUTING_RETRY_URGENCY_H
#define SAPPHIRELANE_ROUTING_RETRY_URGENCY_H

#include <cstdint>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief How much a request benefits from a retry.
struct RetryUrgency
{
  std::uint32_t priority = 0; ///< Of the account or the route; 0 is highest.
  bool meets_target = true;   ///< A retry can still meet the latency target.

  bool operator<(const RetryUrgency& aOther) const
  {
    return priority != aOther.priority ? priority < aOther.priority
                                       : meets_target && !aOther.meets_target;
  }
};

/// @brief Computes the part of a service's retry budget that a request leaves
/// to more urgent ones.
///
/// Load pattern: more requests of a service are shed than its retry budget
/// covers. The part grows with the number of more urgent classes that have
/// asked for a retry lately, and is 0 if there is none, so that a service whose
/// requests are all alike can spend its whole budget.
class UrgencyReserve
{
public:
  /// @brief Records that a request asks for a retry.
  /// @return Share of the budget that it leaves, from 0 to below 1.
  double OnAsk(const std::string& aService,
               const RetryUrgency& aUrgency,
               TimePoint aNow);

private:
  /// When each class of requests last asked, by service.
  std::map<std::string, std::map<RetryUrgency, TimePoint>> m_lastAsks;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RETRY_URGENCY_H
