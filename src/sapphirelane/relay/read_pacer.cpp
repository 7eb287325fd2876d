#include "sapphirelane/relay/read_pacer.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Growth of the wait after each read that failed.
constexpr double kRetryGrowth = 1.6;

/// Random part of a wait, so that daemons do not call at the same moment.
constexpr double kJitter = 0.3;

} // namespace

ReadPacer::ReadPacer(ReadPacerOptions aOptions)
  : m_options(aOptions)
{
}

bool
ReadPacer::IsDue(Duration aAge, std::size_t aOrder, TimePoint aNow) const
{
  if (m_reading || aNow < m_notBefore) {
    return false;
  }
  constexpr std::size_t kMostSteps = 1000;
  const Duration turn =
    m_options.period + m_options.step * std::min(aOrder, kMostSteps);
  return aAge >= std::min(turn, m_options.longest);
}

void
ReadPacer::Begin(TimePoint /*aNow*/)
{
  m_reading = true;
}

void
ReadPacer::End(bool aRead, TimePoint aNow, Random& aRandom)
{
  m_reading = false;
  if (aRead) {
    m_failures = 0;
    m_notBefore = TimePoint{};
    return;
  }
  const double grown =
    ToSeconds(m_options.first_retry) * std::pow(kRetryGrowth, m_failures);
  const double bounded = std::min(grown, ToSeconds(m_options.longest_retry));
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1);
  m_notBefore = aNow + std::chrono::duration_cast<Duration>(
                         Seconds(bounded * jitter(aRandom)));
  ++m_failures;
}

} // namespace sapphirelane
