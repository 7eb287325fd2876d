#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

constexpr std::chrono::seconds kWindow{ 10 };
constexpr double kRatio = 0.2;

struct FailingServiceOptions
{
  int daemons = 40;
  int centres = 3;
  double slack = 60;
  double load = 41;          ///< Requests a second.
  double failing = 0.85;     ///< Share of the attempts.
  Duration before = kWindow; ///< Time under load before attempts fail.
  FleetFaults faults;
  std::uint64_t seed = 1;
};

/// A service whose attempts fail, and the daemons of a fleet that retry them,
/// in virtual time.
class FailingService
{
public:
  explicit FailingService(const FailingServiceOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_world(aOptions.daemons,
              aOptions.centres,
              true,
              { kRatio, aOptions.slack, kWindow })
    , m_runs(static_cast<std::size_t>(aOptions.daemons))
    , m_live(static_cast<std::size_t>(aOptions.daemons), true)
  {
    m_world.Advance(std::chrono::seconds(8));
    m_world.SetFaults(aOptions.faults);
    Run(aOptions.before, 0);
  }

  /// Plays a time in which a share of the attempts fails.
  void Run(Duration aTime) { Run(aTime, m_options.failing); }

  /// Ends daemons and starts them again after a time.
  void RestartFrom(int aFirst, int aCount, Duration aDown)
  {
    for (int i = aFirst; i < aFirst + aCount; ++i) {
      m_world.Kill(i);
      m_live[static_cast<std::size_t>(i)] = false;
    }
    Run(aDown);
    for (int i = aFirst; i < aFirst + aCount; ++i) {
      m_world.Restart(i);
      m_live[static_cast<std::size_t>(i)] = true;
      ++m_runs[static_cast<std::size_t>(i)];
    }
  }

  /// Stops the work of daemons for a time; what runs there waits.
  void Freeze(int aCount, Duration aTime)
  {
    for (int i = 0; i < aCount; ++i) {
      m_world.SetFrozen(i, true);
      m_live[static_cast<std::size_t>(i)] = false;
    }
    Run(aTime);
    for (int i = 0; i < aCount; ++i) {
      m_world.SetFrozen(i, false);
      m_live[static_cast<std::size_t>(i)] = true;
    }
  }

  /// Cuts the first daemons off from the others, or joins them again.
  void SetCut(int aCount, bool aCut)
  {
    for (int i = 0; i < aCount; ++i) {
      for (int j = aCount; j < m_world.Size(); ++j) {
        m_world.SetLinkCut(i, j, aCut);
        m_world.SetLinkCut(j, i, aCut);
      }
    }
  }

  /// Ends the first daemons of each data centre in the order in which they add
  /// up its reports.
  void KillFirst(std::size_t aOfEachCentre)
  {
    std::map<int, std::map<std::uint32_t, int>> byCentre;
    for (int i = 0; i < m_world.Size(); ++i) {
      const std::uint32_t hash = ShortHash("host-" + std::to_string(i));
      byCentre[i % m_options.centres][hash] = i;
    }
    for (const auto& [centre, daemons] : byCentre) {
      std::size_t killed = 0;
      for (auto it = daemons.begin(); killed < aOfEachCentre; ++it, ++killed) {
        m_world.Kill(it->second);
        m_live[static_cast<std::size_t>(it->second)] = false;
      }
    }
  }

  TimePoint Now() const { return m_world.Now(); }

  /// Highest share of the allowed retries that was sent in a window. The
  /// requests are those of the window, of the one before it or of the one half
  /// a window before it.
  double WorstShare() const
  {
    double worst = 0;
    for (auto retry = m_retries.begin(); retry != m_retries.end(); ++retry) {
      const TimePoint begin = *retry;
      const auto end =
        std::lower_bound(retry, m_retries.end(), begin + kWindow);
      const double requests = std::max({ Requests(begin),
                                         Requests(begin - kWindow / 2),
                                         Requests(begin - kWindow) });
      worst = std::max(worst,
                       static_cast<double>(end - retry) /
                         (kRatio * requests + m_options.slack));
    }
    return worst;
  }

  /// Retries that were sent since a moment.
  int RetriesSince(TimePoint aSince) const
  {
    return static_cast<int>(
      m_retries.end() -
      std::lower_bound(m_retries.begin(), m_retries.end(), aSince));
  }

private:
  static constexpr Milliseconds kStep{ 5 };
  static constexpr int kMaxAttempts = 3;

  struct Attempt
  {
    int daemon = 0;
    std::uint64_t run = 0;
    int number = 1;
  };

  double Requests(TimePoint aBegin) const
  {
    const auto first =
      std::lower_bound(m_requests.begin(), m_requests.end(), aBegin);
    return static_cast<double>(
      std::lower_bound(first, m_requests.end(), aBegin + kWindow) - first);
  }

  void Run(Duration aTime, double aFailing)
  {
    const TimePoint end = m_world.Now() + aTime;
    std::poisson_distribution<int> arrivals(m_options.load * ToSeconds(kStep));
    while (m_world.Now() < end) {
      m_world.Advance(kStep);
      while (!m_running.empty() && m_running.begin()->first <= m_world.Now()) {
        const Attempt attempt = m_running.begin()->second;
        m_running.erase(m_running.begin());
        Finish(attempt, aFailing);
      }
      for (int i = arrivals(m_random); i > 0; --i) {
        std::uniform_int_distribution<int> pick(0, m_world.Size() - 1);
        const int daemon = pick(m_random);
        if (m_live[static_cast<std::size_t>(daemon)]) {
          m_requests.push_back(m_world.Now());
          Start({ daemon, m_runs[static_cast<std::size_t>(daemon)], 1 });
        }
      }
      for (int i = 0; i < m_world.Size(); ++i) {
        m_world.At(i).TakeEvents();
      }
    }
  }

  void Start(const Attempt& aAttempt)
  {
    WorkReport report;
    report.service = "s";
    report.endpoint = "e0";
    report.in_flight = 1;
    report.begins = aAttempt.number == 1;
    report.extra = aAttempt.number > 1;
    m_world.At(aAttempt.daemon).ShareWork(report, m_world.Now());
    std::uniform_int_distribution<int> time(20, 300);
    m_running.emplace(m_world.Now() + Milliseconds(time(m_random)), aAttempt);
  }

  void Finish(const Attempt& aAttempt, double aFailing)
  {
    const auto daemon = static_cast<std::size_t>(aAttempt.daemon);
    const bool ended = !m_live[daemon] || m_runs[daemon] != aAttempt.run;
    if (ended || !std::bernoulli_distribution(aFailing)(m_random) ||
        aAttempt.number >= kMaxAttempts) {
      return;
    }
    const RetryDecision decision =
      m_world.At(aAttempt.daemon).TakeExtra("s", {}, m_world.Now());
    if (decision.allowed) {
      m_retries.push_back(m_world.Now());
      Start({ aAttempt.daemon, aAttempt.run, aAttempt.number + 1 });
    }
  }

  FailingServiceOptions m_options;
  std::mt19937_64 m_random;
  FleetWorld m_world;
  std::vector<std::uint64_t> m_runs; ///< By daemon.
  std::vector<bool> m_live;          ///< By daemon.
  std::multimap<TimePoint, Attempt> m_running;
  std::vector<TimePoint> m_requests;
  std::vector<TimePoint> m_retries;
};

/// @return Share of the allowed retries; printed if FLEET_PRINT is set.
double
WorstShareOf(const FailingService& aService, const char* aName)
{
  const double share = aService.WorstShare();
  if (std::getenv("FLEET_PRINT") != nullptr) {
    std::cout << aName << ": " << share << " of the allowed retries\n";
  }
  return share;
}

FailingServiceOptions
OptionsOf(int aDaemons, double aSlack, double aLoad, int aCentres = 3)
{
  FailingServiceOptions options;
  options.daemons = aDaemons;
  options.centres = aCentres;
  options.slack = aSlack;
  options.load = aLoad;
  return options;
}

/// Guards against daemons that start with an empty window and spend what the
/// fleet has spent already.
TEST_CASE("RetryBudget, daemons restart in series while attempts fail, fleet "
          "keeps the budget",
          "[large][retries][restarts]")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FailingServiceOptions options = OptionsOf(40, 60, 41);
    options.seed = seed;
    FailingService service(options);
    service.Run(std::chrono::seconds(4));
    service.RestartFrom(0, 24, Milliseconds(1000));
    service.Run(std::chrono::seconds(3));
    service.RestartFrom(16, 24, Milliseconds(1000));
    service.Run(std::chrono::seconds(8));
    CHECK(WorstShareOf(service, "24 of 40 restart, twice") <= 1);
  }
}

TEST_CASE("RetryBudget, one daemon after the other restarts while attempts "
          "fail, fleet keeps the budget",
          "[large][retries][restarts]")
{
  FailingService service(OptionsOf(40, 60, 41));
  service.Run(std::chrono::seconds(4));
  for (int i = 0; i < 40; ++i) {
    service.RestartFrom(i, 1, Milliseconds(200));
    service.Run(Milliseconds(100));
  }
  service.Run(std::chrono::seconds(4));
  CHECK(WorstShareOf(service, "40 restart one by one") <= 1);
}

TEST_CASE("RetryBudget, all daemons restart at once while attempts fail, fleet "
          "keeps the budget",
          "[large][retries][restarts]")
{
  FailingService service(OptionsOf(40, 60, 41));
  service.Run(std::chrono::seconds(4));
  service.RestartFrom(0, 40, Milliseconds(500));
  service.Run(std::chrono::seconds(15));
  CHECK(WorstShareOf(service, "all 40 restart") <= 1);
}

/// Guards against a fleet that sends no retries for a window after all of its
/// daemons were killed, as nobody is left who knows what was spent.
TEST_CASE("RetryBudget, all daemons are killed at once, also twice within a "
          "window, some retries are sent and the budget is kept",
          "[large][retries][restarts]")
{
  for (const int kills : { 1, 2 }) {
    FailingService service(OptionsOf(40, 60, 41));
    service.Run(std::chrono::seconds(4));
    for (int i = 0; i < kills; ++i) {
      service.RestartFrom(0, 40, Milliseconds(500));
      const TimePoint start = service.Now();
      service.Run(std::chrono::seconds(4));
      CHECK(service.RetriesSince(start) > 0);
    }
    service.Run(std::chrono::seconds(12));
    CHECK(WorstShareOf(service, "all 40 killed") <= 1);
  }
}

/// Guards against a fleet of which each daemon may spend so small a part of
/// what is left that most of it stays unspent.
TEST_CASE("RetryBudget, all daemons are killed at once, also twice within a "
          "window, half of the budget's rate is usable",
          "[large][retries][whole]")
{
  for (const int kills : { 1, 2 }) {
    const FailingServiceOptions options = OptionsOf(40, 60, 41);
    FailingService service(options);
    service.Run(std::chrono::seconds(4));
    for (int i = 0; i < kills; ++i) {
      service.RestartFrom(0, 40, Milliseconds(500));
      const TimePoint start = service.Now();
      service.Run(std::chrono::seconds(4));
      const double rate =
        (kRatio * options.load * ToSeconds(kWindow) + options.slack) / 2 /
        ToSeconds(kWindow);
      const int retries = service.RetriesSince(start);
      if (std::getenv("FLEET_PRINT") != nullptr) {
        std::cout << "kill " << i + 1 << " of " << kills << ": " << retries
                  << " retries in 4 s, half of the rate is " << 4 * rate
                  << '\n';
      }
      CHECK(retries >= 4 * rate);
    }
  }
}

TEST_CASE("RetryBudget, all daemons of a large fleet are killed twice within a "
          "window, keep the budget",
          "[large][retries][cut]")
{
  FailingService service(OptionsOf(110, 172, 164));
  service.Run(std::chrono::seconds(4));
  service.RestartFrom(0, 110, Milliseconds(500));
  service.Run(std::chrono::seconds(4));
  service.RestartFrom(0, 110, Milliseconds(500));
  const TimePoint start = service.Now();
  service.Run(std::chrono::seconds(12));
  CHECK(service.RetriesSince(start) > 0);
  CHECK(WorstShareOf(service, "all 110 killed twice") <= 1);
}

TEST_CASE("RetryBudget, daemons freeze and wake while attempts fail, fleet "
          "keeps the budget",
          "[large][retries][restarts]")
{
  for (int daemons : { 40, 110 }) {
    FailingServiceOptions options =
      OptionsOf(daemons, daemons == 40 ? 60 : 172, daemons == 40 ? 41 : 164);
    FailingService service(options);
    service.Run(std::chrono::seconds(1));
    service.Freeze(daemons / 2, std::chrono::seconds(3));
    service.Run(std::chrono::seconds(12));
    CHECK(WorstShareOf(service, "half freeze") <= 1);
  }
}

/// Guards against the two sides of a cut that each spend the whole budget.
double
WorstShareOfCut(const FailingServiceOptions& aOptions)
{
  FailingService service(aOptions);
  service.SetCut(aOptions.daemons / 3, true);
  service.Run(std::chrono::seconds(6));
  service.SetCut(aOptions.daemons / 3, false);
  service.Run(std::chrono::seconds(12));
  return WorstShareOf(service, "cut in two");
}

TEST_CASE("RetryBudget, fleet is cut in two and joined while attempts fail, "
          "keeps the budget",
          "[large][retries][restarts]")
{
  CHECK(WorstShareOfCut(OptionsOf(40, 60, 41)) <= 1);
}

TEST_CASE("RetryBudget, large fleet is cut in two and joined while attempts "
          "fail, keeps the budget",
          "[large][retries][cut]")
{
  CHECK(WorstShareOfCut(OptionsOf(110, 172, 164)) <= 1);
}

/// Guards against what all daemons send while the retry of one is not known to
/// the others yet.
TEST_CASE("RetryBudget, all attempts fail from one moment on, fleets of three "
          "sizes keep the budget",
          "[large][retries][lag]")
{
  struct Size
  {
    int daemons;
    double slack;
    double load;
  };
  for (const Size& size :
       { Size{ 40, 60, 41 }, Size{ 110, 172, 164 }, Size{ 110, 172, 700 } }) {
    FailingServiceOptions options =
      OptionsOf(size.daemons, size.slack, size.load);
    options.failing = 1;
    FailingService service(options);
    service.Run(std::chrono::seconds(14));
    CHECK(WorstShareOf(service, "all fail") <= 1);
  }
}

TEST_CASE("RetryBudget, all attempts fail at 444 daemons, fleet keeps the "
          "budget",
          "[large][retries][fleet444]")
{
  FailingServiceOptions options = OptionsOf(444, 630, 1500, 5);
  options.failing = 1;
  options.before = std::chrono::seconds(2);
  FailingService service(options);
  service.Run(std::chrono::seconds(4));
  CHECK(WorstShareOf(service, "444 daemons, all fail") <= 1);
}

TEST_CASE("RetryBudget, a tenth of the messages is lost and others are late, "
          "fleet keeps the budget",
          "[large][retries][lag]")
{
  for (int daemons : { 40, 110 }) {
    FailingServiceOptions options =
      OptionsOf(daemons, daemons == 40 ? 60 : 172, daemons == 40 ? 41 : 164);
    options.failing = 1;
    options.faults.loss = 0.1;
    options.faults.delayed = 0.5;
    options.faults.max_delay = Milliseconds(100);
    FailingService service(options);
    service.Run(std::chrono::seconds(14));
    CHECK(WorstShareOf(service, "a tenth lost") <= 1);
  }
}

/// Guards against reports that are lost with the daemon that adds them up.
TEST_CASE(
  "RetryBudget, daemons that add up reports end, fleet keeps the budget",
  "[large][retries][lag]")
{
  for (std::size_t killed : { 1, 2 }) {
    FailingServiceOptions options = OptionsOf(110, 172, 400);
    options.failing = 1;
    FailingService service(options);
    service.Run(Milliseconds(300));
    service.KillFirst(killed);
    service.Run(std::chrono::seconds(12));
    CHECK(WorstShareOf(service, "daemons that add up end") <= 1);
  }
}

TEST_CASE("RetryBudget, daemons of a large fleet restart while attempts fail, "
          "fleet keeps the budget",
          "[large][retries][lag]")
{
  FailingServiceOptions options = OptionsOf(110, 172, 164);
  FailingService service(options);
  service.Run(std::chrono::seconds(1));
  service.RestartFrom(0, 66, Milliseconds(1000));
  service.Run(std::chrono::seconds(3));
  service.RestartFrom(44, 66, Milliseconds(1000));
  service.Run(std::chrono::seconds(10));
  CHECK(WorstShareOf(service, "66 of 110 restart, twice") <= 1);
}

} // namespace
} // namespace sapphirelane
