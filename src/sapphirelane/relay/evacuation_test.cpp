#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

/// The time after the store's answer in which no request may reach the data
/// centre any more, less that of a connection that is being made.
constexpr Milliseconds kLimit{ 4700 };

/// Interval of reads of the store, and what an answer and a message take.
constexpr Milliseconds kNextUpdate{ 1000 };

class EvacuationFixture
{
protected:
  /// @return Number of daemons with other evacuations.
  int CountWrong(const std::set<std::string>& aExpected)
  {
    return m_world.CountWithout([&](StoreFleet& aFleet) {
      return aFleet.Config() != nullptr &&
             aFleet.Config()->evacuated == aExpected;
    });
  }

  FleetWorld m_world{ 30, 3, true };
};

/// Guards against a daemon that learns of an evacuation only with the next
/// configuration.
TEST_CASE_METHOD(EvacuationFixture,
                 "StoreFleet, evacuation begins and ends while the "
                 "configuration is the same, all daemons know with the next "
                 "update")
{
  m_world.Advance(std::chrono::seconds(5));
  m_world.SetEvacuated("centre-1", true);
  m_world.Advance(kNextUpdate);
  CHECK(CountWrong({ "centre-1" }) == 0);
  m_world.SetEvacuated("nowhere", true);
  m_world.Advance(kNextUpdate);
  CHECK(CountWrong({ "centre-1", "nowhere" }) == 0);
  m_world.SetEvacuated("centre-1", false);
  m_world.Advance(kNextUpdate);
  CHECK(CountWrong({ "nowhere" }) == 0);
}

/// Guards against a daemon that serves before it knows of an evacuation, or
/// that brings an ended one back.
TEST_CASE_METHOD(EvacuationFixture,
                 "StoreFleet, daemons restart during evacuations, know them "
                 "with their first view")
{
  m_world.Advance(std::chrono::seconds(5));
  m_world.SetEvacuated("centre-1", true);
  m_world.SetEvacuated("centre-2", true);
  m_world.Advance(kNextUpdate);
  m_world.SetEvacuated("centre-2", false);
  m_world.Advance(kNextUpdate);
  for (int i = 0; i < 10; ++i) {
    m_world.Kill(i);
  }
  m_world.Advance(Milliseconds(300));
  m_world.Refuse(4); // It learns from the others only.
  for (int i = 0; i < 10; ++i) {
    m_world.Restart(i);
  }
  for (int step = 0; step < 100; ++step) {
    m_world.Advance(Milliseconds(20));
    for (int i = 0; i < 10; ++i) {
      const FleetConfig* config = m_world.At(i).Config();
      if (config != nullptr) {
        CHECK(config->evacuated == std::set<std::string>{ "centre-1" });
      }
    }
  }
  CHECK(CountWrong({ "centre-1" }) == 0);
}

/// Guards against a daemon that misses an evacuation while messages are lost,
/// the store is slow and refuses some daemons, and others are killed.
TEST_CASE("StoreFleet, evacuations under faults, every daemon knows in time")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    FleetWorld world(30, 3, true);
    const auto countWrong = [&](const std::set<std::string>& aExpected) {
      return world.CountWithout([&](StoreFleet& aFleet) {
        return aFleet.Config() != nullptr &&
               aFleet.Config()->evacuated == aExpected;
      });
    };
    world.Advance(std::chrono::seconds(5));
    FleetFaults faults;
    faults.loss = 0.1;
    faults.delayed = 0.2;
    faults.max_delay = Milliseconds(100);
    faults.refused = 0.2;
    faults.max_call = Milliseconds(300);
    faults.seed = seed;
    world.SetFaults(faults);
    for (int i = 0; i < 8; ++i) {
      world.Refuse(3 * i);
    }
    world.SetEvacuated("centre-0", true);
    world.Advance(Milliseconds(400));
    world.Kill(world.Reader());
    world.Kill(7);
    world.SetEvacuated("centre-1", true);
    world.SetEvacuated("centre-0", false); // Ended at once.
    world.Advance(Milliseconds(700));
    world.Restart(7);
    world.Advance(kLimit - Milliseconds(700));
    CHECK(countWrong({ "centre-1" }) == 0);
    for (const char* centre : { "centre-0", "centre-1", "centre-2" }) {
      world.SetEvacuated(centre, true);
    }
    world.Advance(kLimit);
    CHECK(countWrong({ "centre-0", "centre-1", "centre-2" }) == 0);
  }
}

/// Guards against a daemon that the store does not answer for longer than the
/// limit: it has to learn from the others.
TEST_CASE_METHOD(EvacuationFixture,
                 "StoreFleet, store refuses a third of the daemons, these know "
                 "of an evacuation as soon as the others")
{
  m_world.Advance(std::chrono::seconds(5));
  for (int i = 0; i < 30; i += 3) {
    m_world.Refuse(i);
  }
  m_world.SetEvacuated("centre-2", true);
  m_world.Advance(2 * kNextUpdate);
  CHECK(CountWrong({ "centre-2" }) == 0);
}

/// Guards against updates that no datagram can carry.
TEST_CASE_METHOD(EvacuationFixture,
                 "StoreFleet, hundreds of evacuations, all daemons know them")
{
  m_world.Advance(std::chrono::seconds(5));
  std::set<std::string> all;
  for (int i = 0; i < 300; ++i) {
    all.insert("site-" + std::to_string(i));
    m_world.SetEvacuated("site-" + std::to_string(i), true);
  }
  m_world.SetEvacuated(std::string(5000, 'x'), true);
  m_world.Advance(std::chrono::seconds(5));
  CHECK(CountWrong(all) == 0);
}

/// Guards against an evacuation that only one daemon has read when the store
/// fails: no read follows whose update could repeat a lost one.
TEST_CASE("StoreFleet, store fails once a daemon has read an evacuation, every "
          "daemon knows in time")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    FleetWorld world(30, 3, true);
    world.Advance(std::chrono::seconds(5));
    FleetFaults faults;
    faults.loss = 0.3;
    faults.seed = seed;
    world.SetFaults(faults);
    const auto lacks = [&world] {
      return world.CountWithout([](StoreFleet& aFleet) {
        return aFleet.Config()->evacuated.count("centre-1") == 1;
      });
    };
    world.SetEvacuated("centre-1", true);
    while (lacks() == 30) {
      world.Advance(Milliseconds(5));
    }
    world.SetStoreOutage(true);
    world.Advance(kLimit - kNextUpdate);
    CHECK(lacks() == 0);
  }
}

/// Guards against a time that grows with the fleet, where updates go through
/// relays.
TEST_CASE("StoreFleet, large fleet loses a tenth of the messages, every daemon "
          "knows of an evacuation in time")
{
  FleetWorld world(137, 3, true);
  world.Advance(std::chrono::seconds(5));
  FleetFaults faults;
  faults.loss = 0.1;
  world.SetFaults(faults);
  world.SetEvacuated("centre-1", true);
  Duration taken{ 0 };
  const auto lacks = [&world] {
    return world.CountWithout([](StoreFleet& aFleet) {
      return aFleet.Config()->evacuated.count("centre-1") == 1;
    });
  };
  while (lacks() > 0 && taken < std::chrono::seconds(10)) {
    world.Advance(Milliseconds(20));
    taken += Milliseconds(20);
  }
  INFO("known after " << ToMilliseconds(taken).count() << " ms");
  CHECK(taken <= 2 * kNextUpdate);
}

} // namespace
} // namespace sapphirelane
