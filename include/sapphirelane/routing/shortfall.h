#ifndef SAPPHIRELANE_ROUTING_SHORTFALL_H
#define SAPPHIRELANE_ROUTING_SHORTFALL_H

#include <cstdint>
#include <deque>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Counts which share of a service's requests is not served, lately.
///
/// While that share is high, work that goes to a few proven endpoints only may
/// be the reason, and the others have to get some too.
class ShortfallMeter
{
public:
  /// @param aWindow Time over which requests are counted.
  explicit ShortfallMeter(Duration aWindow = Milliseconds(2000));

  /// @brief Notes requests that have ended.
  void Note(std::uint32_t aEnded, std::uint32_t aUnserved, TimePoint aNow);

  /// @return Share of requests without a success; 0 if there were few.
  double Share(TimePoint aNow);

private:
  struct Slice
  {
    TimePoint begun{};
    double ended = 0;
    double unserved = 0;
  };

  void DropOld(TimePoint aNow);

  Duration m_window;
  std::deque<Slice> m_slices;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_SHORTFALL_H
