#include "sapphirelane/admission/stop_schedule.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class StopScheduleFixture
{
protected:
  const TimePoint m_now{ std::chrono::hours(1) };
  StopSchedule m_schedule;
};

TEST_CASE_METHOD(StopScheduleFixture,
                 "StopSchedule, no stop has begun, sets no limit")
{
  CHECK_FALSE(m_schedule.HasBegun());
  CHECK(m_schedule.LatestStart(Milliseconds(500)) == TimePoint::max());
}

TEST_CASE_METHOD(StopScheduleFixture,
                 "StopSchedule, stop has begun, leaves time for slow responses")
{
  const TimePoint end = m_now + Milliseconds(5000);
  m_schedule.Begin(end);
  CHECK(m_schedule.HasBegun());
  const TimePoint latest = m_schedule.LatestStart(Milliseconds(1000));
  CHECK(latest <= end - Milliseconds(2000));
  CHECK(latest >= end - Milliseconds(3000));
  CHECK(m_schedule.LatestStart(Milliseconds(2000)) < latest);
}

TEST_CASE_METHOD(StopScheduleFixture,
                 "StopSchedule, latency is unknown or tiny, leaves time to "
                 "write the refusal")
{
  const TimePoint end = m_now + Milliseconds(5000);
  m_schedule.Begin(end);
  CHECK(m_schedule.LatestStart(Duration(0)) <= end - Milliseconds(100));
  CHECK(m_schedule.LatestStart(Milliseconds(1)) <= end - Milliseconds(100));
  CHECK(m_schedule.LatestStart(Duration(0)) > m_now);
}

} // namespace
} // namespace sapphirelane
