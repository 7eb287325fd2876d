#include "sapphirelane/admission/start_limits.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

constexpr TimePoint kArrived{ std::chrono::hours(1) };

TEST_CASE("LatestStarts, known latency, leaves time for a usual answer before "
          "the target and for a fast one before the deadline")
{
  const RequestTimes times{ kArrived,
                            Milliseconds(800),
                            kArrived + Milliseconds(2000) };
  const StartLimits limits = LatestStarts(times, Milliseconds(200));
  CHECK(limits.for_target == kArrived + Milliseconds(600));
  CHECK(limits.for_deadline == kArrived + Milliseconds(1938));
}

TEST_CASE("LatestStarts, no target and no known latency, allows any start "
          "before the deadline")
{
  const RequestTimes times{ kArrived,
                            Duration(0),
                            kArrived + Milliseconds(2000) };
  const StartLimits limits = LatestStarts(times, Duration(0));
  CHECK(limits.for_target == TimePoint::max());
  CHECK(limits.for_deadline == times.deadline);
}

} // namespace
} // namespace sapphirelane
