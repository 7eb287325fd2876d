#ifndef SAPPHIRELANE_ROUTING_SHED_SHARE_H
#define SAPPHIRELANE_ROUTING_SHED_SHARE_H

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Share of a service's recent attempts that its endpoints have shed.
///
/// Counts the attempts of all daemons that this one hears of, with exponential
/// decay. Without new attempts the share falls, so that stale evidence does not
/// hold requests back.
class ShedShare
{
public:
  /// @brief Records results of attempts.
  void Record(double aShed, double aOthers, TimePoint aNow);

  /// @brief The share, from 0 to below 1.
  double At(TimePoint aNow) const;

  /// @brief Time until the share has fallen to a value if no further attempt is
  /// shed and none is made.
  Duration TimeUntil(double aShare, TimePoint aNow) const;

private:
  double DecayAt(TimePoint aNow) const;

  double m_shed = 0;
  double m_total = 0;
  TimePoint m_updatedAt{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_SHED_SHARE_H
