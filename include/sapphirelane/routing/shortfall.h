#ifndef SAPPHIRELANE_ROUTING_SHORTFALL_H
#define SAPPHIRELANE_ROUTING_SHORTFALL_H

#include <cstdint>
#include <deque>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Share of a service's recent requests that got no successful response,
/// over a sliding window.
///
/// A high share may mean that requests go to too few endpoints, those known to
/// be healthy; the other endpoints then have to receive requests as well.
class ShortfallMeter
{
public:
  /// @param aWindow Length of the sliding window.
  explicit ShortfallMeter(Duration aWindow = Milliseconds(2000));

  /// @brief Records finished requests.
  /// @param aFinished Number of finished requests.
  /// @param aUnserved Those of them without a successful response.
  void Note(std::uint32_t aFinished, std::uint32_t aUnserved, TimePoint aNow);

  /// @return Unserved share of the requests in the window; 0 while they are too
  /// few for an estimate.
  double Share(TimePoint aNow);

private:
  struct Bucket
  {
    TimePoint start{};
    double finished = 0;
    double unserved = 0;
  };

  void DropExpiredBuckets(TimePoint aNow);

  Duration m_window;
  std::deque<Bucket> m_buckets;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_SHORTFALL_H
