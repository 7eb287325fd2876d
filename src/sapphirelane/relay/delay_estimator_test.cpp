#include "sapphirelane/relay/delay_estimator.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// A sender whose messages arrive here after a time.
class DelayFixture
{
protected:
  Duration Receive(Duration aTransit)
  {
    const Milliseconds uptime = ToMilliseconds(m_now - m_senderStart);
    return m_estimator.Record(7, uptime, m_now + aTransit);
  }

  TimePoint m_senderStart{ std::chrono::hours(3) };
  TimePoint m_now = m_senderStart + std::chrono::hours(1);
  DelayEstimator m_estimator;
};

TEST_CASE_METHOD(DelayFixture,
                 "DelayEstimator, message late in a queue, returns its delay "
                 "beyond the fastest one")
{
  CHECK(Receive(Milliseconds(2)) == Duration(0));
  m_now += Milliseconds(500);
  CHECK(Receive(Milliseconds(3002)) == Milliseconds(3000));
  m_now += Milliseconds(500);
  CHECK(Receive(Milliseconds(1)) == Duration(0));
  CHECK(Receive(Milliseconds(4)) == Milliseconds(3));
}

TEST_CASE_METHOD(DelayFixture,
                 "DelayEstimator, clocks drift apart, follows within two "
                 "windows")
{
  Receive(Milliseconds(1));
  for (int second = 0; second < 600; ++second) {
    m_now += std::chrono::seconds(1);
    m_senderStart += std::chrono::microseconds(100); // 100 ppm
    CHECK(Receive(Milliseconds(1)) <= Milliseconds(14));
    m_estimator.Tick(m_now);
  }
}

} // namespace
} // namespace sapphirelane
