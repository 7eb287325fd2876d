#include "sapphirelane/routing/crash_suspects.h"

#include <algorithm>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class CrashSuspectsFixture
{
protected:
  /// Records that a process has ended under the request.
  /// @param aEnded Since the start of the test.
  bool Crashes(std::uint64_t aProcess,
               Milliseconds aStarted,
               Milliseconds aEnded,
               std::uint64_t aRequest = 1)
  {
    return m_suspects.RecordCrash(
      { aRequest, aProcess, m_start + aStarted, m_start + aEnded },
      m_start + aEnded);
  }

  bool IsHeldBack(Milliseconds aAt, std::uint64_t aRequest = 1) const
  {
    return m_suspects.HeldBackFor(aRequest, m_start + aAt) > Duration::zero();
  }

  const TimePoint m_start{ std::chrono::hours(1) };
  CrashSuspects m_suspects;
};

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, one crash, lets the request be sent again")
{
  CHECK(Crashes(1, Milliseconds(0), Milliseconds(40)));
  CHECK(m_suspects.CountCrashes(1) == 1);
  CHECK_FALSE(IsHeldBack(Milliseconds(40)));
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, crashes one after the other, hold the request "
                 "back for longer each time")
{
  Crashes(1, Milliseconds(0), Milliseconds(40));
  Crashes(2, Milliseconds(50), Milliseconds(90));
  CHECK(IsHeldBack(Milliseconds(100)));
  CHECK(IsHeldBack(Milliseconds(5000)));
  CHECK_FALSE(IsHeldBack(Milliseconds(5100))); // A trial.
  Crashes(3, Milliseconds(5100), Milliseconds(5140));
  CHECK(IsHeldBack(Milliseconds(25000)));
  CHECK_FALSE(IsHeldBack(Milliseconds(25200)));
  CHECK_FALSE(IsHeldBack(Milliseconds(5200), 2));
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, many processes end at once, holds nothing "
                 "back")
{
  for (std::uint64_t process = 0; process < 12; ++process) {
    const auto spread = Milliseconds(process / 2);
    Crashes(process, Milliseconds(0), Milliseconds(200) + spread);
  }
  CHECK(m_suspects.CountCrashes(1) == 1);
  CHECK_FALSE(IsHeldBack(Milliseconds(210)));
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, request is served, is cleared of earlier "
                 "crashes only")
{
  Crashes(1, Milliseconds(0), Milliseconds(40));
  Crashes(2, Milliseconds(50), Milliseconds(90));
  CHECK(m_suspects.RecordServed(1, m_start + Milliseconds(100)));
  CHECK_FALSE(IsHeldBack(Milliseconds(110)));
  CHECK_FALSE(m_suspects.RecordServed(1, m_start + Milliseconds(120)));
  CHECK_FALSE(m_suspects.RecordServed(2, m_start + Milliseconds(120)));
  Crashes(3, Milliseconds(130), Milliseconds(140));
  CHECK(m_suspects.CountCrashes(1) == 1);
  Crashes(4, Milliseconds(150), Milliseconds(160));
  CHECK(IsHeldBack(Milliseconds(170)));
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, crashes in any order and doubled, come to the "
                 "same")
{
  std::vector<Crash> crashes;
  for (std::uint64_t i = 0; i < 6; ++i) {
    const auto started = m_start + Milliseconds(100 * i);
    crashes.push_back({ 1, i, started, started + Milliseconds(60 + 17 * i) });
  }
  const TimePoint now = m_start + Milliseconds(1000);
  for (const Crash& crash : crashes) {
    m_suspects.RecordCrash(crash, now);
  }
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    std::shuffle(crashes.begin(), crashes.end(), random);
    CrashSuspects other;
    for (const Crash& crash : crashes) {
      CHECK(other.RecordCrash(crash, now));
      CHECK_FALSE(other.RecordCrash(crash, now));
    }
    CHECK(other.CountCrashes(1) == m_suspects.CountCrashes(1));
    CHECK(other.HeldBackFor(1, now) == m_suspects.HeldBackFor(1, now));
  }
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, crash from long ago, is ignored")
{
  const TimePoint ended = m_start + Milliseconds(40);
  CHECK_FALSE(m_suspects.RecordCrash(
    { 1, 1, m_start, ended }, ended + CrashSuspectsOptions().memory * 2));
  CHECK(m_suspects.Size() == 0);
}

TEST_CASE_METHOD(CrashSuspectsFixture,
                 "CrashSuspects, flood of distinct requests, keeps the newest "
                 "within a bound")
{
  for (std::uint64_t request = 1; request <= 100000; ++request) {
    const Milliseconds at(request);
    Crashes(2 * request, at, at + Milliseconds(20), request);
    Crashes(
      2 * request + 1, at + Milliseconds(30), at + Milliseconds(40), request);
  }
  CHECK(m_suspects.Size() <= CrashSuspectsOptions().max_suspects);
  CHECK(IsHeldBack(Milliseconds(100041), 100000));
}

/// Options of DeadlyRequestFleet.
struct DeadlyRequestOptions
{
  std::uint64_t seed = 1;
  int hosts = 32;
  int endpoints = 20;
  bool decides = true;    ///< Hosts use CrashSuspects.
  double lost = 0;        ///< Share of messages between hosts.
  bool restarts = false;  ///< One host after the other forgets everything.
  bool deadly = true;     ///< The deadly request is sent.
  bool popular = false;   ///< A third of the other requests are the same.
  bool mass_kill = false; ///< Half of the endpoints end at once, each 4 s.
  bool roll = false;      ///< One endpoint after the other ends, each 0.3 s.
  int cut_off = 0;        ///< Hosts that hear nothing of the others.
};

/// Replays a deadly request whose caller returns to other hosts, beside other
/// requests, in steps of 10 ms.
///
/// A request takes 200 ms, a deadly one ends its endpoint after 40 ms, and an
/// endpoint that has ended is back after 3 s. Each attempt goes to the endpoint
/// with the least work, which hosts know of each other.
class DeadlyRequestFleet
{
public:
  explicit DeadlyRequestFleet(const DeadlyRequestOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_endpoints(static_cast<std::size_t>(aOptions.endpoints))
    , m_hosts(static_cast<std::size_t>(aOptions.hosts))
  {
  }

  void Run(Milliseconds aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      Deliver();
      SendRequests();
      KillEndpoints();
      EndRuns();
      RestartHost();
    }
  }

  int ends = 0;         ///< Of endpoints.
  int served = 0;       ///< Other requests.
  int held_back = 0;    ///< Other requests.
  int deadly_sends = 0; ///< Attempts of the deadly request.

private:
  static constexpr Milliseconds kStep{ 10 };
  static constexpr std::uint64_t kDeadly = 1;
  static constexpr std::uint64_t kPopular = 2;

  struct Work
  {
    std::uint64_t request = 0;
    int host = 0;
    int attempt = 1;
    TimePoint started{};
  };

  struct Endpoint
  {
    std::uint64_t lifetime = 1;
    TimePoint up_at{};
    std::vector<Work> runs;
  };

  struct Message
  {
    TimePoint arrives{};
    int host = 0;
    Crash crash;
    bool served = false; ///< The request was answered, not part of a crash.
  };

  std::size_t Draw(std::size_t aCount) { return m_random() % aCount; }

  void SendRequests()
  {
    if (m_options.deadly && m_now >= m_nextDeadly) {
      // The caller returns after 0.3 s to 2 s, to another host.
      m_nextDeadly = m_now + Milliseconds(300 + Draw(1700));
      Send({ kDeadly, static_cast<int>(Draw(m_hosts.size())), 1, m_now });
    }
    // About one other request for each 10 endpoints and step.
    const std::size_t others = (m_endpoints.size() + Draw(10)) / 10;
    for (std::size_t i = 0; i < others; ++i) {
      const int host = static_cast<int>(Draw(m_hosts.size()));
      const bool popular = m_options.popular && Draw(3) == 0;
      Send({ popular ? kPopular : ++m_lastRequest, host, 1, m_now });
    }
  }

  void Send(Work aRun)
  {
    CrashSuspects& suspects = m_hosts[static_cast<std::size_t>(aRun.host)];
    const bool isHeldBack =
      m_options.decides &&
      suspects.HeldBackFor(aRun.request, m_now) > Duration::zero();
    if (isHeldBack) {
      held_back += aRun.request == kDeadly ? 0 : 1;
      return;
    }
    Endpoint* best = nullptr;
    for (Endpoint& endpoint : m_endpoints) {
      if (endpoint.up_at <= m_now &&
          (best == nullptr || endpoint.runs.size() < best->runs.size())) {
        best = &endpoint;
      }
    }
    if (best != nullptr) {
      aRun.started = m_now;
      best->runs.push_back(aRun);
      deadly_sends += aRun.request == kDeadly ? 1 : 0;
    }
  }

  /// Ends endpoints for reasons of their own.
  void KillEndpoints()
  {
    if (m_now < m_nextKill || !(m_options.mass_kill || m_options.roll)) {
      return;
    }
    m_nextKill =
      m_now + (m_options.mass_kill ? Milliseconds(4000) : Milliseconds(300));
    std::vector<Work> again;
    const std::size_t count = m_options.mass_kill ? m_endpoints.size() / 2 : 1;
    for (std::size_t i = 0; i < count; ++i) {
      Crashed(m_endpoints[m_killed++ % m_endpoints.size()], again);
    }
    SendAgain(again);
  }

  void SendAgain(std::vector<Work>& aAgain)
  {
    for (Work& run : aAgain) {
      ++run.attempt;
      Send(run);
    }
  }

  void EndRuns()
  {
    std::vector<Work> again;
    for (Endpoint& endpoint : m_endpoints) {
      const bool crashes = std::any_of(
        endpoint.runs.begin(), endpoint.runs.end(), [&](const Work& aRun) {
          return aRun.request == kDeadly &&
                 m_now - aRun.started >= Milliseconds(40);
        });
      if (crashes) {
        Crashed(endpoint, again);
        continue;
      }
      auto done = std::stable_partition(
        endpoint.runs.begin(), endpoint.runs.end(), [&](const Work& aRun) {
          return m_now - aRun.started < Milliseconds(200);
        });
      for (auto it = done; it != endpoint.runs.end(); ++it) {
        ++served;
        CrashSuspects& suspects = m_hosts[static_cast<std::size_t>(it->host)];
        if (suspects.RecordServed(it->request, m_now)) {
          Tell(it->host, { it->request, 0, m_now, m_now }, true);
        }
      }
      endpoint.runs.erase(done, endpoint.runs.end());
    }
    SendAgain(again);
  }

  void Crashed(Endpoint& aEndpoint, std::vector<Work>& aAgain)
  {
    ++ends;
    const auto index = static_cast<std::uint64_t>(&aEndpoint - &m_endpoints[0]);
    for (const Work& run : aEndpoint.runs) {
      const Crash crash{
        run.request, (aEndpoint.lifetime << 16U) + index, run.started, m_now
      };
      m_hosts[static_cast<std::size_t>(run.host)].RecordCrash(crash, m_now);
      Tell(run.host, crash, false);
      if (run.attempt < 2) {
        aAgain.push_back(run);
      }
    }
    aEndpoint.runs.clear();
    ++aEndpoint.lifetime;
    aEndpoint.up_at = m_now + Milliseconds(3000);
  }

  void Tell(int aFrom, const Crash& aCrash, bool aServed)
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (int host = 0; host < m_options.hosts; ++host) {
      const bool cutOff = host < m_options.cut_off || aFrom < m_options.cut_off;
      if (host != aFrom && !cutOff && draw(m_random) >= m_options.lost) {
        m_messages.push_back({ m_now + kStep, host, aCrash, aServed });
      }
    }
  }

  void Deliver()
  {
    while (!m_messages.empty() && m_messages.front().arrives <= m_now) {
      const Message& message = m_messages.front();
      CrashSuspects& suspects = m_hosts[static_cast<std::size_t>(message.host)];
      if (message.served) {
        suspects.RecordServed(message.crash.request, m_now);
      } else {
        suspects.RecordCrash(message.crash, m_now);
      }
      m_messages.pop_front();
    }
  }

  void RestartHost()
  {
    if (m_options.restarts && m_now >= m_nextRestart) {
      m_nextRestart = m_now + Milliseconds(500);
      m_hosts[m_restarted++ % m_hosts.size()] = CrashSuspects();
    }
  }

  DeadlyRequestOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{ std::chrono::hours(1) };
  TimePoint m_nextDeadly{ std::chrono::hours(1) };
  TimePoint m_nextRestart{ std::chrono::hours(1) };
  std::size_t m_restarted = 0;
  std::uint64_t m_lastRequest = kPopular;
  TimePoint m_nextKill{ std::chrono::hours(1) + std::chrono::seconds(1) };
  std::size_t m_killed = 0;
  std::vector<Endpoint> m_endpoints;
  std::vector<CrashSuspects> m_hosts;
  std::deque<Message> m_messages;
};

/// Time for which the deadly request returns.
constexpr Milliseconds kDeadlyTime{ 20000 };

/// Guards against a returning request that takes down a service.
TEST_CASE("CrashSuspects, deadly request returns to other hosts, ends few "
          "endpoints and holds hardly any other request back")
{
  for (const int hosts : { 10, 32, 444 }) {
    int servedWithout = 0;
    int servedWith = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DeadlyRequestOptions options;
      options.seed = seed;
      options.hosts = hosts;
      options.decides = false;
      DeadlyRequestFleet without(options);
      without.Run(kDeadlyTime);
      options.decides = true;
      DeadlyRequestFleet with(options);
      with.Run(kDeadlyTime);
      servedWithout += without.served;
      servedWith += with.served;
      CAPTURE(seed, hosts, without.ends, with.ends, with.held_back);
      CHECK(without.ends >= 20);
      CHECK(with.ends <= 4); // Two at first, and one after each hold.
      CHECK(with.deadly_sends <= 4);
      CHECK(with.held_back * 100 <= with.served);
    }
    CHECK(servedWith > servedWithout);
  }
}

TEST_CASE("CrashSuspects, deadly request while a tenth of the messages is lost "
          "and hosts restart, ends few endpoints")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    DeadlyRequestOptions options;
    options.seed = seed;
    options.lost = 0.1;
    options.restarts = true;
    options.decides = false;
    DeadlyRequestFleet without(options);
    without.Run(kDeadlyTime);
    options.decides = true;
    DeadlyRequestFleet with(options);
    with.Run(kDeadlyTime);
    CAPTURE(seed, without.ends, with.ends);
    // A host that has forgotten all may end two more.
    CHECK(with.ends * 2 <= without.ends);
  }
}

TEST_CASE("CrashSuspects, endpoints are killed at once or one after the other, "
          "hardly any request is held back")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool massKill : { true, false }) {
      DeadlyRequestOptions options;
      options.seed = seed;
      options.deadly = false;
      options.popular = true;
      options.mass_kill = massKill;
      options.roll = !massKill;
      DeadlyRequestFleet fleet(options);
      fleet.Run(kDeadlyTime);
      CAPTURE(seed, massKill, fleet.ends, fleet.served, fleet.held_back);
      CHECK(fleet.ends >= 20);
      CHECK(fleet.held_back * 100 <= fleet.served);
    }
  }
}

TEST_CASE("CrashSuspects, deadly request beside a popular one and killed "
          "endpoints, holds hardly any other request back")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    DeadlyRequestOptions options;
    options.seed = seed;
    options.popular = true;
    options.roll = true;
    DeadlyRequestFleet fleet(options);
    fleet.Run(kDeadlyTime);
    CAPTURE(seed, fleet.deadly_sends, fleet.served, fleet.held_back);
    CHECK(fleet.deadly_sends <= 4);
    CHECK(fleet.held_back * 100 <= fleet.served);
  }
}

TEST_CASE("CrashSuspects, hosts are cut off from each other, each learns for "
          "itself")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    DeadlyRequestOptions options;
    options.seed = seed;
    options.hosts = 8;
    options.cut_off = 2;
    DeadlyRequestFleet fleet(options);
    fleet.Run(kDeadlyTime);
    CAPTURE(seed, fleet.ends);
    CHECK(fleet.ends <= 3 * 4); // Two hosts by themselves, and the others.
  }
}

} // namespace
} // namespace sapphirelane
