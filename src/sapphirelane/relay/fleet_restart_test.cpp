#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

constexpr double kBytesPerSecondOf10Mbit = 1.25e6;

/// Time for which a host with a whole core handles one datagram.
constexpr Duration kHandlingTime = std::chrono::microseconds(150);

/// Shares of a core that hosts have, in turn.
constexpr double kCoreShares[] = { 0.07, 0.1, 0.2, 0.5 };

/// Requests that each ready daemon begins in a second.
constexpr double kRequestsPerSecond = 6;

/// The largest fleet in front of the small store.
constexpr int kLargeStoreDaemons = 301;

/// A fleet of small hosts whose daemons are all killed and started again, with
/// 1.5 endpoints for each in five data centres.
class RestartedFleet
{
public:
  explicit RestartedFleet(int aDaemons, std::uint64_t aSeed = 1)
    : m_world(aDaemons, kCentres, true)
    , m_random(aSeed)
    , m_readyAfter(static_cast<std::size_t>(aDaemons), Duration::max())
  {
    FleetFaults faults;
    faults.seed = aSeed;
    m_world.SetFaults(faults);
    m_world.AddRoutes(kRoutes);
    for (int i = 0; i < aDaemons * 3 / 2; ++i) {
      m_world.SetEndpoint("n" + std::to_string(i),
                          LifeState::InService,
                          "centre-" + std::to_string(i % kCentres));
    }
    StoreLimits limits;
    const bool large = aDaemons >= kLargeStoreDaemons;
    limits.reads_per_second = large ? 6000 : 2000;
    limits.writes_per_second = large ? 1200 : 400;
    m_world.SetStoreLimits(limits);
    m_world.SetLinkRate(kBytesPerSecondOf10Mbit);
    for (int i = 0; i < aDaemons; ++i) {
      const double share = kCoreShares[i % 4];
      m_world.SetHandlingTime(
        i, std::chrono::duration_cast<Duration>(kHandlingTime / share));
    }
    m_world.ListHosts(kListedHosts);
  }

  /// Kills all daemons and starts them, with an empty memory.
  void Restart()
  {
    std::vector<int> all(m_readyAfter.size());
    std::iota(all.begin(), all.end(), 0);
    Restart(all);
  }

  void Restart(const std::vector<int>& aDaemons)
  {
    m_restartedAt = m_world.Now();
    for (int daemon : aDaemons) {
      m_readyAfter[static_cast<std::size_t>(daemon)] = Duration::max();
    }
    m_world.RestartAll(aDaemons);
  }

  /// Runs the fleet under load.
  void Run(Duration aTime)
  {
    const TimePoint end = m_world.Now() + aTime;
    while (m_world.Now() < end) {
      m_world.Advance(kStep);
      for (int daemon = 0; daemon < m_world.Size(); ++daemon) {
        Step(daemon);
      }
    }
  }

  /// @return Number of daemons that cannot serve.
  int CountUnready() const
  {
    return static_cast<int>(
      std::count(m_readyAfter.begin(), m_readyAfter.end(), Duration::max()));
  }

  /// Runs until all daemons can serve, or up to a time.
  /// @return Time from the kill until then.
  Duration RunUntilReady(Duration aMost)
  {
    while (CountUnready() > 0 && m_world.Now() - m_restartedAt < aMost) {
      Run(kStep);
    }
    const Duration slowest =
      *std::max_element(m_readyAfter.begin(), m_readyAfter.end());
    if (std::getenv("FLEET_PRINT") != nullptr) {
      Print();
    }
    return slowest;
  }

  Duration LongestBacklog() const
  {
    Duration longest{ 0 };
    for (int i = 0; i < m_world.Size(); ++i) {
      longest = std::max(longest, m_world.Backlog(i));
    }
    return longest;
  }

  std::string Backlogs() const
  {
    std::vector<Duration> all;
    for (int i = 0; i < m_world.Size(); ++i) {
      all.push_back(m_world.Backlog(i));
    }
    std::sort(all.begin(), all.end());
    return std::to_string(ToMilliseconds(all[all.size() / 2]).count()) + "/" +
           std::to_string(ToMilliseconds(all[all.size() * 9 / 10]).count()) +
           "/" + std::to_string(ToMilliseconds(all.back()).count());
  }

  void Print()
  {
    auto sorted = m_readyAfter;
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&](double aShare) {
      const auto index =
        static_cast<std::size_t>(aShare * double(sorted.size() - 1));
      return sorted[index] == Duration::max() ? -1 : ToSeconds(sorted[index]);
    };
    const double seconds = ToSeconds(m_world.Now() - m_restartedAt);
    std::cout << m_world.Size() << " daemons: ready after " << at(0) << " "
              << at(0.5) << " " << at(0.9) << " " << at(1) << " s (unready "
              << CountUnready() << "), run " << seconds << " s, store calls "
              << m_world.Calls() << ", limited " << m_world.LimitedCalls()
              << ", transfers " << m_world.BulkCalls() << ", overruns "
              << m_world.Overruns() << ", backlog " << Backlogs() << "\n";
    for (const auto& [kind, count] : m_world.TakeSent()) {
      std::cout << "  kind " << kind << ": "
                << static_cast<double>(count.messages) / m_world.Size()
                << " messages, "
                << static_cast<double>(count.bytes) / m_world.Size()
                << " bytes a daemon\n";
    }
  }

  FleetWorld& World() { return m_world; }

private:
  static constexpr int kCentres = 5;
  static constexpr int kRoutes = 300;
  static constexpr int kListedHosts = 8;
  static constexpr Milliseconds kStep{ 5 };

  void Step(int aDaemon)
  {
    if (m_world.IsKilled(aDaemon)) {
      return;
    }
    StoreFleet& fleet = m_world.At(aDaemon);
    const FleetConfig* config = fleet.Config();
    if (config == nullptr || config->endpoints.empty()) {
      return;
    }
    Duration& ready = m_readyAfter[static_cast<std::size_t>(aDaemon)];
    ready = std::min(ready, m_world.Now() - m_restartedAt);
    fleet.TakeEvents();
    std::bernoulli_distribution begins(kRequestsPerSecond * ToSeconds(kStep));
    if (!begins(m_random)) {
      return;
    }
    std::uniform_int_distribution<int> pick(0, m_world.Size() * 3 / 2 - 1);
    WorkReport report;
    report.service = "s";
    report.endpoint = "n" + std::to_string(pick(m_random));
    report.in_flight = 1;
    report.begins = true;
    fleet.AskToken("a", {}, m_world.Now());
    fleet.ShareWork(report, m_world.Now());
  }

  FleetWorld m_world;
  std::mt19937_64 m_random;
  TimePoint m_restartedAt{};
  std::vector<Duration> m_readyAfter;
};

/// Most of the time after which a fleet serves again.
constexpr std::chrono::seconds kMaxRestart{ 3 };

/// Longest backlog of a daemon at that time.
constexpr Milliseconds kMaxBacklog{ 500 };

/// @return Time after which all daemons of a fleet that restarts can serve.
Duration
RestartTime(int aDaemons)
{
  RestartedFleet fleet(aDaemons);
  fleet.Restart();
  return fleet.RunUntilReady(std::chrono::seconds(6));
}

/// Guards against messages of all daemons to the seeds, which grew with the
/// fleet: the hosts of the seeds were busy for seconds.
TEST_CASE("StoreFleet, 101 and 444 daemons restart together, serve within 3 s, "
          "and the time grows less than the square root of the fleet",
          "[large][restart]")
{
  const Duration small = RestartTime(101);
  const Duration large = RestartTime(444);
  CHECK(large <= kMaxRestart);
  CHECK(ToSeconds(large) < ToSeconds(small) * std::sqrt(444. / 101.));
}

TEST_CASE("StoreFleet, 301 daemons start together under load, no daemon has a "
          "long backlog after 3 s",
          "[large][restart-backlog]")
{
  RestartedFleet fleet(301);
  fleet.Restart();
  fleet.Run(kMaxRestart);
  CHECK(fleet.CountUnready() == 0);
  CHECK(fleet.LongestBacklog() <= kMaxBacklog);
}

TEST_CASE("StoreFleet, 770 daemons start together, serve within 3 s",
          "[large][restart]")
{
  CHECK(RestartTime(770) <= kMaxRestart);
}

TEST_CASE("StoreFleet, daemons start together, a tenth of the datagrams is "
          "lost, serve within 3 s",
          "[large][restart]")
{
  RestartedFleet fleet(101);
  FleetFaults faults;
  faults.loss = 0.1;
  fleet.World().SetFaults(faults);
  fleet.Restart();
  CHECK(fleet.RunUntilReady(std::chrono::seconds(6)) <= kMaxRestart);
}

TEST_CASE("StoreFleet, daemons start together without seeds, serve within 3 s "
          "and find each other by the store",
          "[large][restart]")
{
  RestartedFleet fleet(101);
  std::vector<int> others(98);
  std::iota(others.begin(), others.end(), 3);
  fleet.Restart(others);
  for (int seed = 0; seed < 3; ++seed) {
    fleet.World().Kill(seed);
  }
  fleet.Run(kMaxRestart);
  CHECK(fleet.CountUnready() == 3);
  fleet.Run(std::chrono::seconds(5));
  CHECK(fleet.World().CountWithout([&](StoreFleet& aFleet) {
    return aFleet.Status(fleet.World().Now()).live == 98;
  }) == 0);
}

TEST_CASE("StoreFleet, daemons start together while the store refuses all for "
          "4 s, serve 3 s after it answers",
          "[large][restart]")
{
  RestartedFleet fleet(101);
  fleet.World().SetStoreOutage(true);
  fleet.Restart();
  fleet.Run(std::chrono::seconds(4));
  CHECK(fleet.CountUnready() == 101);
  fleet.World().SetStoreOutage(false);
  fleet.Run(kMaxRestart);
  CHECK(fleet.CountUnready() == 0);
}

TEST_CASE("StoreFleet, half of the daemons start again, serve within 3 s",
          "[large][restart]")
{
  RestartedFleet fleet(101);
  fleet.Run(std::chrono::seconds(6));
  std::vector<int> half(50);
  std::iota(half.begin(), half.end(), 0);
  fleet.Restart(half);
  CHECK(fleet.RunUntilReady(std::chrono::seconds(6)) <= kMaxRestart);
}

/// Prints figures of a fleet of FLEET_SIZE daemons that restarts.
TEST_CASE("StoreFleet, figures of a restart", "[.][restart-figures]")
{
  const char* size = std::getenv("FLEET_SIZE");
  RestartedFleet fleet(size == nullptr ? 101 : std::atoi(size));
  fleet.Restart();
  fleet.RunUntilReady(std::chrono::seconds(12));
  const char* more = std::getenv("FLEET_MORE");
  for (int i = 0; more != nullptr && i < std::atoi(more); ++i) {
    fleet.Run(Milliseconds(500));
    fleet.Print();
  }
}

} // namespace
} // namespace sapphirelane
