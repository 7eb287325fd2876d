#include "sapphirelane/relay/read_pacer.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Growth of the wait after each read that failed.
constexpr double kRetryGrowth = 1.6;

/// Place in order at which a wait is twice that of the first, and the most
/// times as long that a wait gets.
constexpr double kOrderOfTwice = 4;
constexpr double kMostLater = 2.5;

/// Random part of a wait, so that daemons do not call at the same moment.
constexpr double kJitter = 0.3;

} // namespace

ReadPacer::ReadPacer(ReadPacerOptions aOptions)
  : m_options(aOptions)
{
}

bool
ReadPacer::IsDue(Duration aAge,
                 std::size_t aOrder,
                 Duration aStoreTime,
                 TimePoint aNow) const
{
  if (m_reading || aNow < m_notBefore) {
    return false;
  }
  constexpr std::size_t kMostSteps = 1000;
  const Duration turn =
    m_options.period + m_options.step * std::min(aOrder, kMostSteps);
  // The view is at least as old as its read took, and the next read takes as
  // long again.
  const Duration slow = std::min(2 * aStoreTime, m_options.most_store_time);
  return aAge >= std::min(turn, m_options.longest) + slow;
}

void
ReadPacer::Begin(TimePoint /*aNow*/)
{
  m_reading = true;
}

void
ReadPacer::End(bool aRead, std::size_t aOrder, TimePoint aNow, Random& aRandom)
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
  const double later =
    std::min(kMostLater, 1 + static_cast<double>(aOrder) / kOrderOfTwice);
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1);
  m_notBefore = aNow + std::chrono::duration_cast<Duration>(
                         Seconds(bounded * later * jitter(aRandom)));
  ++m_failures;
}

} // namespace sapphirelane
