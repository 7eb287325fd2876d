#include "sapphirelane/routing/retry_schedule.h"

#include <catch2/catch.hpp>

#include "sapphirelane/routing/retry_urgency.h"
#include "sapphirelane/routing/shed_share.h"

namespace sapphirelane {
namespace {

using Action = RetryPlan::Action;

class RetryScheduleFixture
{
protected:
  /// A request that was shed at once, 2.5 s before its target and 6 s before
  /// its deadline, at a service with a mean latency of 410 ms.
  RetryScheduleFixture()
  {
    m_case.mean_latency = Milliseconds(410);
    m_case.start_for_target = m_now + Milliseconds(2500 - 410);
    m_case.start_for_deadline = m_now + Milliseconds(6000 - 127);
    m_case.attempts_left = 1;
    m_case.sheds = 1;
    m_case.shed_share = 0.55;
  }

  RetryPlan Decide() { return m_schedule.Decide(m_case, m_now, m_random); }

  /// Looks at every due time until the request is sent or given up.
  RetryPlan Follow()
  {
    RetryPlan plan = Decide();
    while (plan.action == Action::Wait) {
      REQUIRE(plan.at > m_now);
      m_now = plan.at;
      ++m_case.waits;
      m_case.due = true;
      plan = Decide();
    }
    return plan;
  }

  RetrySchedule m_schedule;
  Random m_random{ 7 };
  TimePoint m_now{ std::chrono::hours(1) };
  TimePoint m_start = m_now;
  RetryCase m_case;
};

/// Guards against a last attempt that is spent while half of all are shed.
TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, service sheds half, holds the last attempt "
                 "until the target needs it")
{
  CHECK(Follow().action == Action::Send);
  CHECK(m_now > m_start + Milliseconds(1200));
  CHECK(m_now <= m_case.start_for_target);
}

TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, target is past, holds the last attempt until "
                 "the deadline needs it")
{
  m_case.start_for_target = m_now - Milliseconds(1);
  CHECK(Follow().action == Action::Send);
  CHECK(m_now > m_start + Milliseconds(5000));
  CHECK(m_now < m_case.start_for_deadline);
}

TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, service sheds little, sends at once")
{
  m_case.shed_share = 0.1;
  CHECK(Decide().action == Action::Send);
  CHECK(m_now == m_start);
}

TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, further attempts are left, backs off first")
{
  m_case.attempts_left = 2;
  const RetryPlan plan = Follow();
  CHECK(plan.action == Action::Send);
  CHECK(m_now > m_start + Milliseconds(50));
  CHECK(m_now < m_start + Milliseconds(160));
}

/// Guards against requests that were shed together and return together.
TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, repeated waits, grow up to a limit and differ")
{
  m_case.attempts_left = 2;
  Duration previous{ 0 };
  for (m_case.waits = 0; m_case.waits < 4; ++m_case.waits) {
    Duration sum{ 0 };
    Duration least = Duration::max();
    Duration most{ 0 };
    for (int i = 0; i < 200; ++i) {
      const Duration wait =
        m_schedule.Postpone(m_case, m_now, m_random).at - m_now;
      sum += wait;
      least = std::min(least, wait);
      most = std::max(most, wait);
    }
    CHECK(sum / 200 > previous);
    CHECK(most > 2 * least);
    CHECK(most <= Milliseconds(750));
    previous = sum / 200;
  }
}

TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, no attempt can serve the request, gives up "
                 "with the time that the service needs")
{
  m_case.service_wait = Milliseconds(300);
  m_case.recovery = Milliseconds(1200);
  SECTION("no attempt is left")
  {
    m_case.attempts_left = 0;
  }
  SECTION("the deadline is too near")
  {
    m_now = m_case.start_for_deadline + Milliseconds(1);
  }
  SECTION("the service has room too late")
  {
    m_case.service_wait = m_case.recovery = Milliseconds(6000);
  }
  const RetryPlan plan = Decide();
  CHECK(plan.action == Action::GiveUp);
  CHECK(plan.retry_after == std::max(m_case.service_wait, m_case.recovery));
}

/// Guards against requests that wait forever while the budget refuses them.
TEST_CASE_METHOD(RetryScheduleFixture,
                 "RetrySchedule, budget refuses all the time, asks about the "
                 "target and gives up at the deadline")
{
  m_case.attempts_left = 2;
  bool askedNearTarget = false;
  RetryPlan plan = m_schedule.Postpone(m_case, m_now, m_random);
  while (plan.action == Action::Wait) {
    m_now = plan.at;
    askedNearTarget = askedNearTarget || m_now == m_case.start_for_target;
    ++m_case.waits;
    plan = m_schedule.Postpone(m_case, m_now, m_random);
  }
  CHECK(askedNearTarget);
  CHECK(plan.action == Action::GiveUp);
  CHECK(m_now == m_case.start_for_deadline);
}

TEST_CASE("ShedShare, spell ends, falls as other attempts are answered")
{
  TimePoint now{ std::chrono::hours(1) };
  ShedShare share;
  CHECK(share.At(now) == 0);
  for (int i = 0; i < 500; ++i, now += Milliseconds(10)) {
    share.Record(0.55, 0.45, now);
  }
  CHECK(share.At(now) == Approx(0.55).margin(0.02));
  const Duration recovery = share.TimeUntil(kCalmShedShare, now);
  CHECK(share.At(now + recovery) == Approx(kCalmShedShare).margin(0.001));
  int steps = 0;
  for (; share.At(now) > kCalmShedShare; now += Milliseconds(10), ++steps) {
    share.Record(0, 1, now);
  }
  CHECK(steps < 150);
}

TEST_CASE("ShedShare, one attempt of a quiet service, is no large share")
{
  const TimePoint now{ std::chrono::hours(1) };
  ShedShare share;
  share.Record(1, 0, now);
  CHECK(share.At(now) == Approx(0.5));
  CHECK(share.At(now + Milliseconds(2000)) < kCalmShedShare);
}

TEST_CASE("UrgencyReserve, one class asks, leaves nothing")
{
  const TimePoint now{ std::chrono::hours(1) };
  UrgencyReserve reserve;
  CHECK(reserve.OnAsk("s", { 3, true }, now) == 0);
  CHECK(reserve.OnAsk("other", { 1, true }, now) == 0);
  CHECK(reserve.OnAsk("s", { 3, true }, now) == 0);
}

TEST_CASE("UrgencyReserve, more urgent classes ask, leaves a growing part for "
          "a time")
{
  const TimePoint now{ std::chrono::hours(1) };
  UrgencyReserve reserve;
  reserve.OnAsk("s", { 1, true }, now);
  CHECK(reserve.OnAsk("s", { 1, true }, now) == 0);
  const double one = reserve.OnAsk("s", { 1, false }, now);
  const double two = reserve.OnAsk("s", { 2, true }, now);
  CHECK(one > 0.3);
  CHECK(two > one);
  CHECK(two < 0.6);
  CHECK(reserve.OnAsk("s", { 2, true }, now + Milliseconds(1500)) == 0);
}

} // namespace
} // namespace sapphirelane
