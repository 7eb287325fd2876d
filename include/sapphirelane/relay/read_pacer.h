#ifndef SAPPHIRELANE_RELAY_READ_PACER_H
#define SAPPHIRELANE_RELAY_READ_PACER_H

#include <cstddef>
#include <cstdint>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Options of ReadPacer.
///
/// A change of the store is known on all daemons after at most max_interval
/// plus one store call plus one message. The sum must stay below 2 s, the time
/// within which an endpoint that leaves must get no more requests.
struct ReadPacerOptions
{
  Duration period = Milliseconds(400); ///< Read interval at rank 0.
  Duration step = Milliseconds(80);    ///< Added for each further rank.
  Duration longest = Milliseconds(1000);
  /// Upper limit of what a slow store adds to the interval. It is added so that
  /// slow reads alone do not make daemons of higher rank read as well.
  Duration most_store_time = Milliseconds(500);
  Duration first_retry = Milliseconds(300); ///< Backoff after a failed read.
  Duration longest_retry = Milliseconds(1500);
};

/// @brief Decides when a daemon reads the store itself, staggered by rank.
///
/// Store calls are billed and rate-limited, while every daemon needs every
/// change. So a daemon that has read the store forwards the result, and a
/// daemon reads only when its own view is older than the interval of its rank.
/// The live daemon of rank 0 normally reads for all. If it fails, is
/// partitioned or is refused by the store, the next rank takes over one step
/// later, without an election. A daemon that receives nothing reads for itself.
class ReadPacer
{
public:
  explicit ReadPacer(ReadPacerOptions aOptions);

  /// @brief Returns true if this daemon should read the store now.
  /// @param aAge Age of the view.
  /// @param aRank Rank of this daemon among the live ones, from 0.
  /// @param aStoreTime Duration of the latest known read.
  bool IsDue(Duration aAge,
             std::size_t aRank,
             Duration aStoreTime,
             TimePoint aNow) const;

  /// @brief Records that a read has started.
  void Begin(TimePoint aNow);

  /// @brief Records the result of a read. After a failure the next read is
  /// delayed by exponential backoff, and longer at higher ranks, as those
  /// daemons can expect an update from the lower ones.
  void End(bool aSucceeded, std::size_t aRank, TimePoint aNow, Random& aRandom);

private:
  ReadPacerOptions m_options;
  bool m_reading = false;
  std::uint32_t m_failures = 0;
  TimePoint m_retryAt{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_READ_PACER_H
