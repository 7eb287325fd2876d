#include "sapphirelane/relay/seed_schedule.h"

#include <set>

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// @return Heartbeats to seeds that some daemons send in 10 s.
int
CountPicks(int aDaemons, std::size_t aLive)
{
  int picks = 0;
  for (int daemon = 0; daemon < aDaemons; ++daemon) {
    SeedSchedule schedule({ "a", "b", "c" });
    Random random(static_cast<std::uint64_t>(daemon) + 1);
    TimePoint now{ std::chrono::hours(1) };
    for (const TimePoint end = now + std::chrono::seconds(10); now < end;
         now += Milliseconds(5)) {
      if (schedule.IsDue(now)) {
        picks += schedule.PickSeed(aLive, now, random).empty() ? 0 : 1;
      }
    }
  }
  return picks;
}

/// Guards against heartbeats of all daemons to the seeds.
TEST_CASE("SeedSchedule, 770 daemons that hear each other, send no more to the "
          "seeds than 30 do")
{
  CHECK(CountPicks(30, 30) < 200);
  CHECK(CountPicks(770, 770) < 200);
  CHECK(CountPicks(770, 770) > 100);
}

TEST_CASE("SeedSchedule, daemon that hears nobody, tries all seeds before it "
          "uses the store")
{
  SeedSchedule schedule({ "a", "b", "c" });
  Random random(1);
  TimePoint now{ std::chrono::hours(1) };
  std::set<std::string> tried;
  for (const TimePoint end = now + Milliseconds(700); now < end;
       now += Milliseconds(5)) {
    if (schedule.IsDue(now)) {
      tried.insert(schedule.PickSeed(1, now, random));
    }
  }
  CHECK(tried == std::set<std::string>{ "a", "b", "c" });
}

} // namespace
} // namespace sapphirelane
