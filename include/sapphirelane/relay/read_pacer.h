#ifndef SAPPHIRELANE_RELAY_READ_PACER_H
#define SAPPHIRELANE_RELAY_READ_PACER_H

#include <cstddef>
#include <cstdint>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Options of the pacer.
///
/// The longest time from a change to its knowledge is the sum of longest, one
/// call of the store and one message; it has to stay under the time within
/// which an endpoint that leaves gets no work (2 s).
struct ReadPacerOptions
{
  Duration period = Milliseconds(400); ///< Of the first daemon.
  Duration step = Milliseconds(80);    ///< More for each further one.
  Duration longest = Milliseconds(1000);
  /// Most that a slow store adds, so that its slowness alone makes no other
  /// daemon read.
  Duration most_store_time = Milliseconds(500);
  Duration first_retry = Milliseconds(300); ///< After a read that failed.
  Duration longest_retry = Milliseconds(1500);
};

/// @brief Decides when a daemon reads the store itself.
///
/// Answers a store whose calls are paid and limited while every daemon needs
/// every change: whoever has read tells the others, and a daemon reads only
/// when its own view has grown older than its turn allows. The first in order
/// reads for all; if it dies, is cut off or refused, the next in order does so
/// a step later, with no election; a daemon that hears nobody reads for itself.
class ReadPacer
{
public:
  explicit ReadPacer(ReadPacerOptions aOptions);

  /// @param aAge Age of the view.
  /// @param aOrder This daemon's place among those that live; 0 is the first.
  /// @param aStoreTime How long the store takes for a read now.
  bool IsDue(Duration aAge,
             std::size_t aOrder,
             Duration aStoreTime,
             TimePoint aNow) const;

  /// @brief Notes that a read has begun.
  void Begin(TimePoint aNow);

  /// @brief Notes how it ended. After a failure, daemons that come later in
  /// order wait longer for the next read, as the first ones will tell them.
  void End(bool aRead, std::size_t aOrder, TimePoint aNow, Random& aRandom);

private:
  ReadPacerOptions m_options;
  bool m_reading = false;
  std::uint32_t m_failures = 0;
  TimePoint m_notBefore{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_READ_PACER_H
