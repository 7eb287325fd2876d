#include "sapphirelane/routing/endpoint_limits.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class EndpointLimitsFixture
{
protected:
  bool Name(std::optional<double> aLimit, std::uint64_t aLifetime = 1)
  {
    return m_limits.Record("e", { aLifetime, aLimit, m_now }, m_now);
  }

  /// Sends whenever that is allowed, for a time.
  /// @return Number of requests sent.
  int SendAll(Duration aTime)
  {
    int sent = 0;
    for (const TimePoint end = m_now + aTime; m_now < end;
         m_now += Milliseconds(10)) {
      while (m_limits.MaySend("e", m_now)) {
        m_limits.RecordSent("e", 1, m_now);
        ++sent;
      }
    }
    return sent;
  }

  EndpointLimits m_limits{ 1 };
  TimePoint m_now{ std::chrono::hours(1) };
};

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, endpoint names none, allows all")
{
  CHECK(m_limits.MaySend("e", m_now));
  CHECK(m_limits.WaitFor("e", m_now) == Duration::zero());
  CHECK_FALSE(Name(std::nullopt));
  CHECK(m_limits.Empty());
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, requests wait all the time, allows the limit")
{
  CHECK(Name(2));
  const int sent = SendAll(std::chrono::seconds(10));
  CHECK(sent <= 20);
  CHECK(sent >= 16);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, other hosts use the whole limit, allows "
                 "nothing, and makes up for more than that later")
{
  Name(1);
  for (int second = 0; second < 10; ++second) {
    m_limits.RecordSent("e", 2, m_now);
    CHECK(SendAll(std::chrono::seconds(1)) == 0);
  }
  CHECK(SendAll(std::chrono::seconds(3)) == 0);
  // Not for longer than the time for which the endpoint was overrun.
  CHECK(SendAll(std::chrono::seconds(5)) > 0);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, no requests for long, allows one and those "
                 "of a second at once")
{
  Name(3);
  m_now += std::chrono::seconds(15);
  CHECK(SendAll(Milliseconds(10)) <= 4);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, part of the hosts is not heard of, allows "
                 "its share")
{
  m_limits.SetShare(0.25);
  Name(4);
  const int sent = SendAll(std::chrono::seconds(12));
  CHECK(sent <= 12);
  CHECK(sent >= 8);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, limit changes, holds from then on")
{
  Name(1);
  SendAll(std::chrono::seconds(4));
  CHECK_FALSE(Name(4));
  const int sent = SendAll(std::chrono::seconds(5));
  CHECK(sent <= 21);
  CHECK(sent >= 14);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, limit of zero, allows nothing until it is "
                 "forgotten")
{
  Name(0);
  CHECK(SendAll(std::chrono::seconds(19)) == 0);
  m_limits.RemoveExpired(m_now);
  CHECK_FALSE(m_limits.MaySend("e", m_now));
  m_now += std::chrono::seconds(2);
  m_limits.RemoveExpired(m_now);
  CHECK(m_limits.MaySend("e", m_now));
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, endpoint names none any more, allows all and "
                 "ignores late reports")
{
  Name(1);
  const TimePoint before = m_now;
  m_now += std::chrono::seconds(1);
  CHECK(Name(std::nullopt));
  CHECK_FALSE(m_limits.Record("e", { 1, 1.0, before }, m_now));
  CHECK(m_limits.MaySend("e", m_now));
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, process ends, its limit does not hold for "
                 "the next one")
{
  Name(1, 7);
  m_limits.Reset("e");
  CHECK(m_limits.MaySend("e", m_now));
  Name(1, 8);
  m_now += Milliseconds(5);
  CHECK_FALSE(Name(std::nullopt, 7)); // Late, of the earlier one.
  CHECK(m_limits.LimitOf("e") == 1);
}

TEST_CASE_METHOD(EndpointLimitsFixture,
                 "EndpointLimits, limit holds or changes, is told again in "
                 "intervals")
{
  Name(1);
  m_limits.RecordTold("e", m_now);
  m_now += Milliseconds(1500);
  CHECK_FALSE(m_limits.IsRenewalDue("e", m_now));
  Name(2);
  CHECK(m_limits.IsRenewalDue("e", m_now));
  m_limits.RecordTold("e", m_now);
  m_now += Milliseconds(500);
  Name(3);
  CHECK_FALSE(m_limits.IsRenewalDue("e", m_now));
  m_now += Milliseconds(5000);
  CHECK(m_limits.IsRenewalDue("e", m_now));
}

/// Load pattern: many hosts have requests waiting, and hear of each other's
/// some milliseconds late.
TEST_CASE("EndpointLimits, many hosts have requests waiting, send little more "
          "than the limit together")
{
  constexpr int kSteps = 2000; // Of 10 ms, the time of a report.
  for (const std::size_t hosts : { 2, 16, 48 }) {
    std::vector<EndpointLimits> all;
    TimePoint now{ std::chrono::hours(1) };
    for (std::size_t i = 0; i < hosts; ++i) {
      all.emplace_back(i + 1);
      all.back().Record("e", { 1, 2.0, now }, now);
    }
    std::vector<int> sent;
    for (int step = 0; step < kSteps; ++step) {
      now += Milliseconds(10);
      std::vector<std::size_t> senders;
      for (std::size_t i = 0; i < hosts; ++i) {
        if (all[i].MaySend("e", now)) {
          senders.push_back(i);
        }
      }
      for (std::size_t request = 0; request < senders.size(); ++request) {
        for (std::size_t i = 0; i < hosts; ++i) {
          all[i].RecordSent("e", 1, now);
        }
      }
      sent.push_back(static_cast<int>(senders.size()));
      // A limit is renewed with each answer.
      for (auto& host : all) {
        host.Record("e", { 1, 2.0, now }, now);
      }
    }
    INFO(hosts << " hosts");
    constexpr std::size_t kWindow = 400;
    int most = 0;
    int total = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      total += sent[i];
      int inWindow = 0;
      for (std::size_t j = i; j < std::min(i + kWindow, sent.size()); ++j) {
        inWindow += sent[j];
      }
      most = std::max(most, inWindow);
    }
    // One and a half times 2 a second in 4 s, and 5.
    CHECK(most <= 17);
    CHECK(total >= 32);
  }
}

} // namespace
} // namespace sapphirelane
