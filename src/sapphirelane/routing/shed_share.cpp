#include "sapphirelane/routing/shed_share.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Half of what a daemon has counted is forgotten in this time: about two mean
/// latencies, so that the end of an overload is seen within a second or two,
/// well before the targets of 1 to 3 s.
constexpr Seconds kHalfLife{ 1.0 };

/// Attempts that count as not shed in addition to those counted, so that one
/// shed attempt at a service with little traffic is not taken for a share of 1.
constexpr double kPriorAttempts = 1;

} // namespace

double
ShedShare::DecayAt(TimePoint aNow) const
{
  const double age = std::max(0.0, ToSeconds(aNow - m_updatedAt));
  return std::exp2(-age / kHalfLife.count());
}

void
ShedShare::Record(double aShed, double aOthers, TimePoint aNow)
{
  const double decay = DecayAt(aNow);
  m_shed = m_shed * decay + aShed;
  m_total = m_total * decay + aShed + aOthers;
  m_updatedAt = std::max(m_updatedAt, aNow);
}

double
ShedShare::At(TimePoint aNow) const
{
  const double decay = DecayAt(aNow);
  return m_shed * decay / (m_total * decay + kPriorAttempts);
}

Duration
ShedShare::TimeUntil(double aShare, TimePoint aNow) const
{
  if (At(aNow) <= aShare) {
    return Duration::zero();
  }
  // Solves shed * x / (total * x + prior) = share for the decay x.
  const double decay = DecayAt(aNow);
  const double rest = m_shed - aShare * m_total;
  const double evidence = aShare * kPriorAttempts / rest / decay;
  return std::chrono::duration_cast<Duration>(
    Seconds(-std::log2(evidence) * kHalfLife.count()));
}

} // namespace sapphirelane
