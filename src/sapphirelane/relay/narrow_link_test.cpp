#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

/// Time for all daemons to know that an endpoint leaves.
constexpr Milliseconds kLeaveTimeLimit{ 2000 };

constexpr double kBytesPerSecondOf10Mbit = 1.25e6;

/// A fleet of daemons on links of 10 Mbit/s with two endpoints each. Groups of
/// endpoints are replaced while the configuration, of some 50 kB, changes.
class NarrowLinkFleet
{
public:
  /// @param aChangesRoutes Each configuration changes all routes.
  NarrowLinkFleet(std::uint64_t aSeed,
                  int aDaemons,
                  int aCentres,
                  bool aChangesRoutes)
    : m_random(aSeed)
    , m_world(aDaemons, aCentres, true)
    , m_endpoints(aDaemons * 2)
    , m_changesRoutes(aChangesRoutes)
  {
    m_world.AddRoutes(kRoutes);
    for (int i = 0; i < m_endpoints; ++i) {
      m_world.SetEndpoint(Id(i), LifeState::InService);
    }
    m_world.Advance(std::chrono::seconds(10));
    m_world.SetLinkRate(kBytesPerSecondOf10Mbit);
    m_world.Advance(std::chrono::seconds(5));
  }

  /// @return Leaves that a daemon did not know in time.
  int Play(Duration aTime)
  {
    int late = 0;
    const TimePoint end = m_world.Now() + aTime;
    TimePoint nextGroup = m_world.Now();
    TimePoint nextConfig = m_world.Now();
    while (m_world.Now() < end) {
      if (m_world.Now() >= nextGroup) {
        nextGroup += Milliseconds(Draw(100, 1500));
        BeginLeaves(Draw(4, m_endpoints / 12));
      }
      if (m_world.Now() >= nextConfig) {
        nextConfig += Milliseconds(Draw(100, 3000));
        if (m_changesRoutes) {
          m_world.ChangeRoutes();
        }
        m_world.SetConfig(++m_config);
      }
      WriteHeartbeats();
      m_world.Advance(kStep);
      late += CheckLeaves();
    }
    return late;
  }

  /// Highest age of a view at a check.
  Duration OldestView() const { return m_oldest; }

private:
  static constexpr int kRoutes = 600;
  static constexpr Milliseconds kStep{ 5 };
  static constexpr Milliseconds kHeartbeat{ 1500 };

  struct Leave
  {
    std::string endpoint;
    TimePoint at{};
  };

  static std::string Id(int aNumber) { return "n" + std::to_string(aNumber); }

  int Draw(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(m_random);
  }

  void BeginLeaves(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = Id(Draw(0, m_endpoints - 1));
      if (m_leaving.insert(id).second) {
        m_world.SetEndpoint(id, LifeState::Leaving);
        m_leaves.push_back({ id, m_world.Now() });
      }
    }
  }

  /// Each endpoint writes its entry once in an interval.
  void WriteHeartbeats()
  {
    m_heartbeatsDue += m_endpoints * ToSeconds(kStep) / ToSeconds(kHeartbeat);
    for (; m_heartbeatsDue >= 1; m_heartbeatsDue -= 1) {
      const std::string id = Id(m_nextHeartbeat++ % m_endpoints);
      m_world.SetEndpoint(id,
                          m_leaving.count(id) == 1 ? LifeState::Leaving
                                                   : LifeState::InService);
    }
  }

  int CheckLeaves()
  {
    int late = 0;
    while (!m_leaves.empty() &&
           m_world.Now() - m_leaves.front().at >= kLeaveTimeLimit) {
      const std::string id = m_leaves.front().endpoint;
      m_leaves.erase(m_leaves.begin());
      late += m_world.CountWithout([&](StoreFleet& aFleet) {
        m_oldest = std::max(m_oldest, aFleet.View(m_world.Now())->age);
        return aFleet.Config()->endpoints.at(id).state == LifeState::Leaving;
      });
      // The next process under the same id.
      m_leaving.erase(id);
      m_world.SetEndpoint(id, LifeState::InService);
    }
    return late;
  }

  std::mt19937_64 m_random;
  FleetWorld m_world;
  int m_endpoints;
  bool m_changesRoutes;
  std::uint64_t m_config = 1;
  std::set<std::string> m_leaving;
  std::vector<Leave> m_leaves;
  double m_heartbeatsDue = 0;
  int m_nextHeartbeat = 0;
  Duration m_oldest{ 0 };
};

int
Setting(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

/// Plays FLEET_SEEDS fleets of FLEET_SIZE daemons, 2 of 99 by default.
void
PlayNarrowLinks(bool aChangesRoutes)
{
  const int seeds = Setting("FLEET_SEEDS", 2);
  const int size = Setting("FLEET_SIZE", 99);
  for (int seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    constexpr int kLargeSize = 150;
    NarrowLinkFleet fleet(static_cast<std::uint64_t>(seed),
                          size,
                          size > kLargeSize ? 5 : 3,
                          aChangesRoutes);
    CHECK(fleet.Play(std::chrono::seconds(15)) == 0);
    if (std::getenv("FLEET_PRINT") != nullptr) {
      std::cout << "oldest view " << ToSeconds(fleet.OldestView()) << " s\n";
    }
  }
}

/// Guards against one daemon that sends its whole view to its data centre at
/// once, so that its reads of the store and its updates wait behind the bytes.
TEST_CASE("StoreFleet, configuration changes while endpoints are replaced on "
          "narrow links, all daemons know each leave in time",
          "[large]")
{
  PlayNarrowLinks(false);
}

TEST_CASE("StoreFleet, whole configuration changes while endpoints are "
          "replaced on narrow links, all daemons know each leave in time",
          "[large]")
{
  PlayNarrowLinks(true);
}

} // namespace
} // namespace sapphirelane
