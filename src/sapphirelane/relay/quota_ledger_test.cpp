#include "sapphirelane/relay/quota_ledger.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <rapidcheck/catch.h>

#include "sapphirelane/routing/random.h"

namespace sapphirelane {
namespace {

/// Daemons that receive each other's reports of admitted requests after a
/// delay, in virtual time.
class FleetOfLimiters
{
public:
  FleetOfLimiters(std::size_t aDaemons, double aRate, double aBurst)
    : m_daemons(aDaemons)
  {
    m_config.accounts["a"] = { "a", aRate, aBurst, std::nullopt };
    Restart();
  }

  /// Kills and restarts all daemons. No reports are exchanged for a while.
  void Restart(Duration aPartitioned = Duration::zero())
  {
    m_partitionedUntil = m_now + aPartitioned;
    m_reports.clear();
    m_limiters.clear();
    for (std::size_t i = 0; i < m_daemons; ++i) {
      m_limiters.emplace_back(QuotaOptions{});
      m_limiters.back().Load(m_config, m_now);
    }
  }

  /// Sets the delay of reports between daemons.
  void SetLag(Duration aLag) { m_lag = aLag; }

  /// Sends a request to one daemon after a pause.
  /// @return True if it was admitted.
  bool Offer(std::size_t aDaemon, Duration aGap)
  {
    m_now += aGap;
    while (!m_reports.empty() && m_reports.front().second <= m_now) {
      Deliver(m_reports.front().first);
      m_reports.pop_front();
    }
    if (m_limiters[aDaemon].Take("a", m_now)) {
      return false;
    }
    if (m_now >= m_partitionedUntil) {
      m_reports.emplace_back(aDaemon, m_now + m_lag);
    }
    m_admittedAt.push_back(m_now);
    return true;
  }

  /// Partitions each of the first aCount daemons from all others.
  void Isolate(std::size_t aCount)
  {
    m_isolated = aCount;
    const std::size_t all = m_limiters.size();
    for (std::size_t i = 0; i < all; ++i) {
      m_limiters[i].SetHeard(i < aCount ? 1 : all - aCount, all);
    }
  }

  /// @return The highest number of requests admitted in any window.
  std::size_t MaxAdmitted(Duration aWindow) const
  {
    std::size_t highest = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < m_admittedAt.size(); ++i) {
      while (m_admittedAt[i] - m_admittedAt[first] > aWindow) {
        ++first;
      }
      highest = std::max(highest, i - first + 1);
    }
    return highest;
  }

private:
  void Deliver(std::size_t aFrom)
  {
    for (std::size_t i = m_isolated; i < m_limiters.size(); ++i) {
      if (i != aFrom && aFrom >= m_isolated) {
        m_limiters[i].NoteOthers("a", 1, m_now);
      }
    }
  }

  std::size_t m_daemons;
  FleetConfig m_config;
  TimePoint m_now{ std::chrono::hours(1) };
  Duration m_lag = Milliseconds(20);
  TimePoint m_partitionedUntil{};
  std::size_t m_isolated = 0;
  std::vector<QuotaLedger> m_limiters;
  std::deque<std::pair<std::size_t, TimePoint>> m_reports;
  std::vector<TimePoint> m_admittedAt;
};

/// Requests that an account may have admitted in a window of 5 s.
double
MaxRequestsInWindow(double aRate, double aBurst)
{
  return (aRate * 5 + aBurst) * 1.1 + 20;
}

TEST_CASE(
  "AccountRateLimiter, one account far above its rate, keeps within the "
  "bound over all daemons")
{
  rc::prop("no window has more requests than the bound", [] {
    const double rate = *rc::gen::inRange(4, 60);
    const double burst = *rc::gen::inRange(4, 60);
    const auto daemons = *rc::gen::inRange<std::size_t>(2, 60);
    const int factor = *rc::gen::inRange(2, 9);
    FleetOfLimiters fleet(daemons, rate, burst);
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::exponential_distribution<double> gap(rate * factor);
    for (int i = 0; i < 2000; ++i) {
      fleet.Offer(random() % daemons,
                  std::chrono::duration_cast<Duration>(Seconds(gap(random))));
    }
    const auto admitted =
      static_cast<double>(fleet.MaxAdmitted(std::chrono::seconds(5)));
    RC_ASSERT(admitted <= MaxRequestsInWindow(rate, burst));
  });
}

/// Guards against a second whole burst after a restart of the fleet: an account
/// sends several times its rate while all daemons are killed, and the new ones
/// do not know of the burst that it has just used.
TEST_CASE("AccountRateLimiter, all daemons restart while an account is far "
          "above its rate, keeps within the bound")
{
  rc::prop("no window has more requests than the bound", [] {
    const double rate = *rc::gen::inRange(100, 180);
    const double burst = rate;
    const auto daemons = *rc::gen::inRange<std::size_t>(8, 110);
    FleetOfLimiters fleet(daemons, rate, burst);
    fleet.SetLag(Milliseconds(100));
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::exponential_distribution<double> gap(rate * 4);
    const int before = static_cast<int>(rate * 4 * 10);
    for (int i = 0; i < 2 * before; ++i) {
      if (i == before) {
        fleet.Restart(Milliseconds(100));
      }
      fleet.Offer(random() % daemons,
                  std::chrono::duration_cast<Duration>(Seconds(gap(random))));
    }
    const auto admitted =
      static_cast<double>(fleet.MaxAdmitted(std::chrono::seconds(5)));
    RC_ASSERT(admitted <= MaxRequestsInWindow(rate, burst));
  });
}

TEST_CASE(
  "AccountRateLimiter, some daemons are partitioned, keeps within the bound")
{
  rc::prop("no window has more requests than the bound", [] {
    const double rate = *rc::gen::inRange(4, 60);
    const double burst = *rc::gen::inRange(4, 60);
    const auto daemons = *rc::gen::inRange<std::size_t>(8, 60);
    const auto cut = *rc::gen::inRange<std::size_t>(1, daemons * 2 / 5);
    FleetOfLimiters fleet(daemons, rate, burst);
    fleet.Isolate(cut);
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::exponential_distribution<double> gap(rate * 6);
    for (int i = 0; i < 2000; ++i) {
      fleet.Offer(random() % daemons,
                  std::chrono::duration_cast<Duration>(Seconds(gap(random))));
    }
    const auto admitted =
      static_cast<double>(fleet.MaxAdmitted(std::chrono::seconds(5)));
    RC_ASSERT(admitted <= MaxRequestsInWindow(rate, burst));
  });
}

TEST_CASE("AccountRateLimiter, account within its rate, admits every request")
{
  rc::prop("every request is admitted", [] {
    const double rate = *rc::gen::inRange(4, 60);
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 60);
    FleetOfLimiters fleet(daemons, rate, rate);
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    const Seconds gap(1 / (rate * 0.95));
    for (int i = 0; i < 500; ++i) {
      RC_ASSERT(fleet.Offer(random() % daemons,
                            std::chrono::duration_cast<Duration>(gap)));
    }
  });
}

TEST_CASE("AccountRateLimiter, account without a limit, admits every request")
{
  QuotaLedger limiter({});
  FleetConfig config;
  config.accounts["free"] = { "free", 0, 0, std::nullopt };
  const TimePoint now{ std::chrono::hours(1) };
  limiter.Load(config, now);
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(limiter.Take("free", now));
  }
}

TEST_CASE("AccountRateLimiter, empty bucket, returns the wait for a token")
{
  QuotaLedger limiter({});
  FleetConfig config;
  config.accounts["a"] = { "a", 4, 1, std::nullopt };
  TimePoint now{ std::chrono::hours(1) };
  limiter.Load(config, now);
  CHECK_FALSE(limiter.Take("a", now));
  const auto wait = limiter.Take("a", now);
  REQUIRE(wait);
  CHECK(*wait == Milliseconds(250));
  CHECK_FALSE(limiter.Take("a", now + *wait));
}

} // namespace
} // namespace sapphirelane
