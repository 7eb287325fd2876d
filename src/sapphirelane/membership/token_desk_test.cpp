#include <catch2/catch.hpp>

#include <random>

#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/membership/schedule_world.h"

namespace sapphirelane {
namespace {

/// Tokens of the account "divided" (60 a second, burst 60) in a quiet world.
class TokenDeskFixture
{
protected:
  TokenDeskFixture()
  {
    StartSecrets();
    SetLogSink([](const std::string&) {});
  }

  ~TokenDeskFixture() { SetLogSink(nullptr); }

  static ScheduleOptions Quiet(std::uint64_t aSeed)
  {
    ScheduleOptions options;
    options.seed = aSeed;
    options.daemons = 6;
    options.loss = 0;
    options.doubling = 0;
    options.slow = 0;
    options.lost_answer = 0;
    options.faults = false;
    return options;
  }

  /// Asks at random moments and daemons, at aRate a second.
  /// @return Requests made.
  std::size_t Drive(ScheduleWorld& aWorld, double aRate, Duration aTime)
  {
    std::exponential_distribution<double> gap(aRate);
    std::size_t sent = 0;
    Seconds left = aTime;
    for (;;) {
      const Seconds wait(gap(m_random));
      if (wait > left) {
        aWorld.Advance(std::chrono::duration_cast<Duration>(left));
        return sent;
      }
      left -= wait;
      aWorld.Advance(std::chrono::duration_cast<Duration>(wait));
      const std::size_t daemon = m_random() % aWorld.Count();
      if (aWorld.IsAlive(daemon)) {
        aWorld.RequestToken(daemon, "divided");
        ++sent;
      }
    }
  }

  Random m_random{ 11 };
};

TEST_CASE_METHOD(TokenDeskFixture,
                 "Tokens, a holder of an account crashes, refuses at most 1% "
                 "within the minute")
{
  // Each daemon in turn, as any of them may hold a part.
  for (std::size_t lost = 0; lost < 6; ++lost) {
    ScheduleWorld world(Quiet(3));
    Drive(world, 57, std::chrono::seconds(5));
    world.Advance(std::chrono::seconds(1));
    const std::size_t before = world.ServedOf("divided");
    world.Crash(lost);
    // The daemon that is lost takes no requests: the others get them all.
    const std::size_t sent =
      Drive(world, 57.0 * 6 / 5, std::chrono::seconds(60));
    world.Advance(std::chrono::seconds(2));
    const std::size_t served = world.ServedOf("divided") - before;
    INFO("daemon " << lost << ": " << served << " of " << sent);
    CHECK(static_cast<double>(served) >= 0.99 * static_cast<double>(sent));
  }
}

TEST_CASE_METHOD(TokenDeskFixture,
                 "Tokens, five times the rate, serves the rate and no more")
{
  ScheduleWorld world(Quiet(4));
  Drive(world, 300, std::chrono::seconds(30));
  world.CheckRates();
  CHECK(world.Faults().empty());
  // Burst is 60; the buckets leave out what a late token may use.
  CHECK(world.ServedOf("divided") >= 1800);
}

TEST_CASE_METHOD(TokenDeskFixture,
                 "Tokens, another number of parts while in use, keeps rate and "
                 "burst")
{
  ScheduleWorld world(Quiet(5));
  for (int change = 0; change < 12; ++change) {
    Drive(world, 200, std::chrono::seconds(2));
    // From more parts to fewer the buckets of the former ones are spent.
    world.Redivide(static_cast<std::size_t>(change) % world.Count());
  }
  Drive(world, 200, std::chrono::seconds(4));
  world.CheckRates();
  CHECK(world.Faults().empty());
  CHECK(world.ServedOf("divided") > 300);
}

} // namespace
} // namespace sapphirelane
