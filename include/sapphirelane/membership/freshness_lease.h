#ifndef SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H
#define SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H

#include <algorithm>
#include <optional>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

/// @brief Answers whether a daemon may still act on the head that it holds.
///
/// The lease is evidence that no newer head was written before a moment: the
/// moment at which a question was sent whose answer said so. It is compared
/// with the present time at each use, so a pause or a one-way partition lets
/// it lapse. It stays valid when a newer head is taken over.
class FreshnessLease
{
public:
  /// @brief Takes in evidence for the head that is held.
  void AddEvidence(TimePoint aAsOf)
  {
    m_asOf = m_asOf ? std::max(*m_asOf, aAsOf) : aAsOf;
  }

  bool IsFresh(TimePoint aNow) const { return Age(aNow) < kFreshFor; }

  /// @brief The moment at which the lease lapses without further evidence.
  TimePoint Until() const
  {
    return m_asOf ? *m_asOf + kFreshFor : TimePoint::min();
  }

  /// @brief Age of the newest evidence; very large if there is none.
  Duration Age(TimePoint aNow) const
  {
    return m_asOf ? aNow - *m_asOf : Duration::max();
  }

private:
  std::optional<TimePoint> m_asOf;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_FRESHNESS_LEASE_H
