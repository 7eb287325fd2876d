#include "sapphirelane/routing/endpoint_notices.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// Notices of the endpoint "e", which the view shows with a lifetime.
class EndpointNoticesFixture
{
protected:
  /// Lets the view show a new lifetime.
  void Restart(std::uint64_t aLifetime)
  {
    m_lifetime = aLifetime;
    m_notices.OnListed("e", true, m_now);
  }

  bool SayLeaving() { return m_notices.RecordLeaving("e", m_lifetime, m_now); }
  bool IsLeaving() const { return m_notices.IsLeaving("e", m_lifetime, m_now); }
  bool Rests() const { return m_notices.RestsUntil("e", m_now).has_value(); }

  EndpointNotices m_notices;
  std::uint64_t m_lifetime = 1000;
  TimePoint m_now{ std::chrono::hours(1) };
};

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, endpoint says that it leaves, is leaving "
                 "until the view shows a new lifetime")
{
  CHECK_FALSE(IsLeaving());
  CHECK(SayLeaving());
  CHECK_FALSE(SayLeaving()); // Not new.
  m_now += std::chrono::hours(1);
  m_notices.OnListed("e", false, m_now);
  CHECK(IsLeaving());
  Restart(2000);
  CHECK_FALSE(IsLeaving());
}

/// The view lags behind: the first answers of a new process arrive while the
/// view shows the old one, so the notice may be of either.
TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, restart seen right after the notice, is "
                 "leaving until the view must have shown a leave")
{
  SayLeaving();
  m_now += Milliseconds(300);
  Restart(2000);
  CHECK(IsLeaving());
  m_now += Milliseconds(1800);
  CHECK_FALSE(IsLeaving());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, entry is gone for a while and returns with "
                 "the same lifetime, is still leaving")
{
  SayLeaving();
  m_now += std::chrono::seconds(20);
  m_notices.RemoveExpired(m_now);
  m_notices.OnListed("e", false, m_now);
  CHECK(IsLeaving());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, report of an earlier process arrives late, "
                 "does not replace that of the present one")
{
  m_notices.RecordLeaving("e", 2000, m_now);
  CHECK_FALSE(m_notices.RecordLeaving("e", 1000, m_now));
  m_lifetime = 2000;
  m_now += std::chrono::seconds(10);
  CHECK(IsLeaving());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, endpoint without a lifetime, is tried again "
                 "after a time")
{
  m_lifetime = 0;
  SayLeaving();
  m_now += std::chrono::seconds(29);
  CHECK(IsLeaving());
  m_now += std::chrono::seconds(2);
  CHECK_FALSE(IsLeaving());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, endpoint asks for a time without requests, "
                 "rests for the longest of them")
{
  m_notices.RecordRetryAfter("e", Milliseconds(2000), m_now);
  m_now += Milliseconds(500);
  m_notices.RecordRetryAfter("e", Milliseconds(100), m_now);
  m_now += Milliseconds(1400);
  CHECK(Rests());
  m_now += Milliseconds(100);
  CHECK_FALSE(Rests());
  CHECK_FALSE(IsLeaving());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, resting endpoint restarts, takes requests "
                 "at once")
{
  m_notices.RecordRetryAfter("e", std::chrono::minutes(5), m_now);
  m_now += std::chrono::seconds(3);
  Restart(2000);
  CHECK_FALSE(Rests());
}

TEST_CASE_METHOD(EndpointNoticesFixture,
                 "EndpointNotices, endpoints that the view no longer lists, "
                 "are forgotten")
{
  for (int i = 0; i < 1000; ++i) {
    m_notices.RecordLeaving("e" + std::to_string(i), 1, m_now);
    m_notices.RecordRetryAfter("e" + std::to_string(i), Milliseconds(1), m_now);
  }
  m_now += std::chrono::seconds(121);
  m_notices.OnListed("e7", false, m_now);
  m_notices.RemoveExpired(m_now);
  CHECK(m_notices.Size() == 1);
}

} // namespace
} // namespace sapphirelane
