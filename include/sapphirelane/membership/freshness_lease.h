#ifndef SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H
#define SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H

#include <algorithm>
#include <optional>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

/// @brief Lease under which a daemon may act on the head that it holds.
///
/// The lease rests on evidence that no newer head was written before a given
/// moment: the moment at which a query was sent whose answer confirmed it. The
/// lease is compared with the current time at each use, so it expires during a
/// pause of the process or a one-way partition. It stays valid when a newer
/// head is adopted.
class FreshnessLease
{
public:
  /// @brief Renews the lease.
  /// @param aAsOf Moment before which no head newer than the one held was
  /// written. An older moment than the known one changes nothing.
  void AddEvidence(TimePoint aAsOf)
  {
    m_asOf = m_asOf ? std::max(*m_asOf, aAsOf) : aAsOf;
  }

  bool IsFresh(TimePoint aNow) const { return Age(aNow) < kFreshFor; }

  /// @brief Moment at which the lease expires unless it is renewed; the minimum
  /// if there never was one.
  TimePoint Until() const
  {
    return m_asOf ? *m_asOf + kFreshFor : TimePoint::min();
  }

  /// @brief Time since the newest evidence; Duration::max() if there is none.
  Duration Age(TimePoint aNow) const
  {
    return m_asOf ? aNow - *m_asOf : Duration::max();
  }

private:
  std::optional<TimePoint> m_asOf;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H
