#include "sapphirelane/relay/read_pacer.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Growth of the backoff with each failed read in a row.
constexpr double kBackoffFactor = 1.6;

/// Rank at which the backoff is twice that of rank 0, and the upper limit of
/// the factor by which a rank lengthens it.
constexpr double kRankOfDoubleBackoff = 4;
constexpr double kMaxRankFactor = 2.5;

/// Random share of the backoff, so that daemons do not retry in lockstep.
constexpr double kBackoffJitter = 0.3;

} // namespace

ReadPacer::ReadPacer(ReadPacerOptions aOptions)
  : m_options(aOptions)
{
}

bool
ReadPacer::IsDue(Duration aAge,
                 std::size_t aRank,
                 Duration aStoreTime,
                 TimePoint aNow) const
{
  if (m_reading || aNow < m_retryAt) {
    return false;
  }
  constexpr std::size_t kMaxRank = 1000;
  const Duration interval =
    m_options.period + m_options.step * std::min(aRank, kMaxRank);
  // A view is at least as old as the duration of its read, and the next read
  // takes as long again, hence twice.
  const Duration storeDelay =
    std::min(2 * aStoreTime, m_options.most_store_time);
  return aAge >= std::min(interval, m_options.longest) + storeDelay;
}

void
ReadPacer::Begin(TimePoint /*aNow*/)
{
  m_reading = true;
}

void
ReadPacer::End(bool aSucceeded,
               std::size_t aRank,
               TimePoint aNow,
               Random& aRandom)
{
  m_reading = false;
  if (aSucceeded) {
    m_failures = 0;
    m_retryAt = TimePoint{};
    return;
  }
  const double backoffSeconds =
    ToSeconds(m_options.first_retry) * std::pow(kBackoffFactor, m_failures);
  const double boundedSeconds =
    std::min(backoffSeconds, ToSeconds(m_options.longest_retry));
  const double rankFactor = std::min(
    kMaxRankFactor, 1 + static_cast<double>(aRank) / kRankOfDoubleBackoff);
  std::uniform_real_distribution<double> jitter(1 - kBackoffJitter, 1);
  m_retryAt = aNow + std::chrono::duration_cast<Duration>(
                       Seconds(boundedSeconds * rankFactor * jitter(aRandom)));
  ++m_failures;
}

} // namespace sapphirelane
