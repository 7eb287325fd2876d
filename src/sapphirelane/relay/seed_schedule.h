#ifndef SAPPHIRELANE_RELAY_SEED_SCHEDULE_H
#define SAPPHIRELANE_RELAY_SEED_SCHEDULE_H

#include <cstddef>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Decides when a daemon sends its heartbeat to a seed.
///
/// Load pattern: hundreds of daemons start within a moment and know nothing but
/// the same few seeds, whose hosts may have a tenth of a core. A daemon that
/// hears nobody tries one seed after the other. One that hears others sends to
/// a seed only now and then, so that what all seeds receive does not grow with
/// the fleet, and parts of a fleet that do not know each other still meet.
class SeedSchedule
{
public:
  explicit SeedSchedule(std::vector<std::string> aSeeds);

  /// @brief Whether PickSeed has to be called.
  bool IsDue(TimePoint aNow) const
  {
    return !m_seeds.empty() && aNow >= m_next;
  }

  /// @brief Picks the seed to send a heartbeat to now.
  /// @param aLive Live daemons that are known, this one included.
  /// @return Empty if there is none at this time.
  std::string PickSeed(std::size_t aLive, TimePoint aNow, Random& aRandom);

private:
  std::vector<std::string> m_seeds;
  std::size_t m_picks = 0;
  TimePoint m_next{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_SEED_SCHEDULE_H
