#include <cstdlib>
#include <string>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

/// Time for all daemons to know that an endpoint leaves.
constexpr Milliseconds kLeaveTimeLimit{ 2000 };

/// Steps of the simulation, each followed by a check of the views.
constexpr Milliseconds kStep{ 5 };

/// A step, the time of one message and the rounding of ages to milliseconds.
constexpr Milliseconds kClaimAllowance{ 12 };

class ViewConsistencyFixture
{
protected:
  static std::string Id(int aNumber) { return "n" + std::to_string(aNumber); }

  /// @return False claims in a time; see FleetWorld::CountFalseClaims.
  static int FalseClaims(FleetWorld& aWorld, Duration aTime)
  {
    int claims = 0;
    const TimePoint end = aWorld.Now() + aTime;
    while (aWorld.Now() < end) {
      aWorld.Advance(kStep);
      claims += aWorld.CountFalseClaims(kClaimAllowance);
    }
    return claims;
  }

  static bool Uses(StoreFleet& aFleet, const std::string& aId)
  {
    const FleetConfig* config = aFleet.Config();
    auto found = config->endpoints.find(aId);
    return found != config->endpoints.end() &&
           found->second.state == LifeState::InService;
  }

  static int CountUsing(FleetWorld& aWorld, const std::string& aId)
  {
    return aWorld.CountWithout(
      [&aId](StoreFleet& aFleet) { return !Uses(aFleet, aId); });
  }
};

TEST_CASE_METHOD(ViewConsistencyFixture,
                 "ViewReplica, reader heard of a change while it was reading, "
                 "passes it on to daemons that did not")
{
  FleetWorld world(3, 1);
  world.Advance(std::chrono::seconds(5));
  const int reader = world.Reader();
  const int other = (reader + 1) % 3;
  const int third = (reader + 2) % 3;
  // The reader's next read takes effect late. Meanwhile the other daemon reads
  // the change, and its update is lost on the way to the third.
  world.Refuse(third);
  world.SetReadTime(reader, Milliseconds(700));
  world.SetEndpoint("e0", LifeState::Leaving);
  world.SetLinkCut(other, third, true);
  while (CountUsing(world, "e0") == 3) {
    world.Advance(kStep);
  }
  CHECK(FalseClaims(world, std::chrono::seconds(2)) == 0);
  CHECK(CountUsing(world, "e0") == 0);
}

TEST_CASE_METHOD(ViewConsistencyFixture,
                 "ViewReplica, part of an update is lost, does not call its "
                 "view fresh")
{
  constexpr int kEndpoints = 60;
  FleetWorld world(2, 1);
  for (int i = 0; i < kEndpoints; ++i) {
    world.SetEndpoint(Id(i), LifeState::InService);
  }
  world.Advance(std::chrono::seconds(5));
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FleetFaults faults;
    faults.loss = 0.5;
    faults.seed = seed;
    world.SetFaults(faults);
    for (int i = 0; i < kEndpoints; ++i) {
      world.SetEndpoint(
        Id(i), seed % 2 == 1 ? LifeState::Leaving : LifeState::InService);
    }
    CHECK(FalseClaims(world, std::chrono::seconds(2)) == 0);
  }
}

/// Endpoints that leave, return and are removed at random, a tenth of the
/// datagrams lost, another tenth late, and a slow store that refuses calls.
class RandomFleet
{
public:
  explicit RandomFleet(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_world(Draw(10, 40), Draw(1, 4))
  {
    for (int i = 0; i < kEndpoints; ++i) {
      m_world.SetEndpoint(Id(i), LifeState::InService);
      m_states[Id(i)] = LifeState::InService;
    }
    m_world.Advance(std::chrono::seconds(15));
    FleetFaults faults;
    faults.loss = 0.1;
    faults.delayed = 0.1;
    faults.max_delay = Milliseconds(400);
    faults.refused = 0.1;
    faults.max_call = Milliseconds(60);
    faults.seed = aSeed;
    m_world.SetFaults(faults);
  }

  /// Plays some seconds.
  /// @return False claims of all views, and leaves that were known too late.
  std::pair<int, int> Play(Duration aTime)
  {
    int claims = 0;
    int late = 0;
    const TimePoint end = m_world.Now() + aTime;
    while (m_world.Now() < end) {
      if (Draw(1, 100) == 1) {
        ChangeSome(Draw(1, 4) == 1 ? kEndpoints / 2 : 2);
      }
      WriteHeartbeat();
      m_world.Advance(kStep);
      claims += m_world.CountFalseClaims(kClaimAllowance);
      late += CountLate();
    }
    return { claims, late };
  }

private:
  static constexpr int kEndpoints = 80;

  static std::string Id(int aNumber) { return "n" + std::to_string(aNumber); }

  int Draw(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(m_random);
  }

  void ChangeSome(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = Id(Draw(0, kEndpoints - 1));
      auto& state = m_states[id];
      if (state == LifeState::InService) {
        state = LifeState::Leaving;
        m_leftAt[id] = m_world.Now();
      } else if (state && Draw(1, 2) == 1) {
        state = std::nullopt;
      } else {
        state = LifeState::InService;
        m_leftAt.erase(id);
      }
      state ? m_world.SetEndpoint(id, *state) : m_world.RemoveEndpoint(id);
    }
  }

  void WriteHeartbeat()
  {
    const std::string id = Id(Draw(0, kEndpoints - 1));
    if (m_states[id]) {
      m_world.SetEndpoint(id, *m_states[id]);
    }
  }

  int CountLate()
  {
    int late = 0;
    for (const auto& [id, since] : m_leftAt) {
      const Duration age = m_world.Now() - since;
      if (age >= kLeaveTimeLimit && age < kLeaveTimeLimit + kStep) {
        late += m_world.CountWithout([&id = id](StoreFleet& aFleet) {
          auto found = aFleet.Config()->endpoints.find(id);
          return found == aFleet.Config()->endpoints.end() ||
                 found->second.state == LifeState::Leaving;
        });
      }
    }
    return late;
  }

  std::mt19937_64 m_random;
  FleetWorld m_world;
  std::map<std::string, std::optional<LifeState>> m_states;
  std::map<std::string, TimePoint> m_leftAt;
};

/// FLEET_SEEDS fleets are played, 6 if it is not set.
TEST_CASE("ViewReplica, lost and late datagrams and a refusing store, claims "
          "no age whose changes it lacks and knows each leave in time")
{
  const char* seeds = std::getenv("FLEET_SEEDS");
  const std::uint64_t count = seeds == nullptr ? 6 : std::stoull(seeds);
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    INFO("seed " << seed);
    const auto [claims, late] =
      RandomFleet(seed).Play(std::chrono::seconds(12));
    CHECK(claims == 0);
    CHECK(late == 0);
  }
}

} // namespace
} // namespace sapphirelane
