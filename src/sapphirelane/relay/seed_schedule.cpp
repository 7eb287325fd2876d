#include "sapphirelane/relay/seed_schedule.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// First interval of heartbeats to seeds while nobody is heard, which doubles.
/// All of three seeds are tried before Discovery turns to the store.
constexpr Milliseconds kLonelyInterval{ 200 };
constexpr std::size_t kMaxDoublings = 2;

/// Interval at which a daemon that hears others may send to a seed, and the
/// heartbeats that all daemons together send in it.
constexpr Milliseconds kInterval{ 500 };
constexpr double kContacts = 8;

} // namespace

SeedSchedule::SeedSchedule(std::vector<std::string> aSeeds)
  : m_seeds(std::move(aSeeds))
{
}

std::string
SeedSchedule::PickSeed(std::size_t aLive, TimePoint aNow, Random& aRandom)
{
  if (m_picks % m_seeds.size() == 0) {
    std::shuffle(m_seeds.begin(), m_seeds.end(), aRandom);
  }
  const bool lonely = aLive <= 1;
  const std::size_t doublings = std::min(kMaxDoublings, m_picks);
  m_next = aNow + (lonely ? kLonelyInterval * (1 << doublings) : kInterval);
  std::bernoulli_distribution chosen(
    lonely ? 1 : std::min(1.0, kContacts / static_cast<double>(aLive)));
  return chosen(aRandom) ? m_seeds[m_picks++ % m_seeds.size()] : std::string();
}

} // namespace sapphirelane
