#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/proxy/service_state.h"
#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {
namespace {

struct FleetLoadOptions
{
  int daemons = 12;
  int endpoints = 46;
  std::uint32_t slots = 2;
  double load = 0.6;                    ///< Share of the endpoints' slots.
  Duration latency = Milliseconds(600); ///< Mean service time.
  Duration target = Milliseconds(1200);
  /// Of requests that may not be retried; 0 if it is the same.
  Duration unsafe_latency{ 0 };
  Duration unsafe_target{ 0 };
  double spread = 0.8;  ///< Of the service time, in logarithms.
  double failing = 0.3; ///< Share of time that an endpoint fails.
  double period = 9;    ///< Of an endpoint's failures, in seconds.
  double safe = 0.3;    ///< Share of requests that may be retried.
  std::uint64_t seed = 1;
};

/// Simulates, in virtual time, the daemons of a fleet that start at the same
/// moment and send requests of one service. Endpoints serve requests in the
/// order of arrival, and at times fail them quickly. Daemons hear of each
/// other's requests at once.
class FleetLoadSimulation
{
public:
  explicit FleetLoadSimulation(const FleetLoadOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
  {
    m_config.services["s"] = { "s", 50, 0 };
    for (int i = 0; i < aOptions.endpoints; ++i) {
      Endpoint endpoint;
      endpoint.id = Id(i);
      endpoint.service = "s";
      endpoint.address = "127.0.0.1:9000";
      endpoint.slots = aOptions.slots;
      endpoint.connections = 1000;
      m_config.endpoints[endpoint.id] = endpoint;
      m_servers[endpoint.id].phase = Draw() * m_options.period;
    }
    ServiceStateOptions options;
    options.ahead = 4;
    options.connection_life = std::chrono::seconds(6);
    for (int i = 0; i < aOptions.daemons; ++i) {
      m_daemons.push_back(std::make_unique<ServiceState>(
        MakeExpectedCost({}), MakeSpellEjector({}), options));
      m_daemons.back()->Load(m_config,
                             "s",
                             static_cast<std::size_t>(i),
                             static_cast<std::size_t>(aOptions.daemons),
                             m_now);
    }
  }

  void Run(Duration aTime)
  {
    const double rate = m_options.load * m_options.endpoints * m_options.slots /
                        ToSeconds(m_options.latency);
    const TimePoint end = m_now + aTime;
    double nextSeconds = 0;
    while (m_now < end) {
      m_now += kTick;
      nextSeconds -= ToSeconds(kTick);
      while (nextSeconds <= 0) {
        nextSeconds += -std::log(1 - Draw()) / rate;
        Send(static_cast<std::size_t>(Draw() * m_options.daemons),
             Draw() < m_options.safe,
             1);
      }
      FinishDue();
      CheckStalls();
    }
  }

  /// @return Smallest share of the healthy endpoints that got requests in any
  /// 2 s of the run in which more than a tenth of the requests failed.
  double SmallestShareInUse() const
  {
    double smallest = 1;
    for (TimePoint start = kStart; start + kWindow <= m_now;
         start += Milliseconds(100)) {
      if (!LacksService(start)) {
        continue;
      }
      int healthy = 0;
      int inUse = 0;
      for (const auto& [id, server] : m_servers) {
        if (!IsHealthy(server, start)) {
          continue;
        }
        const auto first = std::lower_bound(
          server.arrivals.begin(), server.arrivals.end(), start);
        const bool used =
          first != server.arrivals.end() && *first < start + kWindow;
        ++healthy;
        inUse += used ? 1 : 0;
      }
      if (healthy > 0) {
        smallest = std::min(smallest, static_cast<double>(inUse) / healthy);
      }
    }
    return smallest;
  }

  /// Whether more than a tenth of the requests that ended in a window were not
  /// answered.
  bool LacksService(TimePoint aStart) const
  {
    int ended = 0;
    int unserved = 0;
    for (const auto& [time, served] : m_outcomes) {
      const bool inWindow = time >= aStart && time < aStart + kWindow;
      ended += inWindow ? 1 : 0;
      unserved += inWindow && !served ? 1 : 0;
    }
    return unserved * 10 > ended;
  }

  /// @return Share of the requests that were answered.
  double ServedShare() const
  {
    return static_cast<double>(m_served) / (m_served + m_unserved);
  }

  /// @return Share of the attempts that counted as stalled.
  double StalledShare() const
  {
    return static_cast<double>(m_stalled) / static_cast<double>(m_lastWork);
  }

private:
  static constexpr Milliseconds kTick{ 5 };
  static constexpr std::chrono::seconds kWindow{ 2 };
  static constexpr std::size_t kServerQueue = 8;
  static constexpr TimePoint kStart{ std::chrono::hours(1) };

  struct Work
  {
    std::size_t daemon = 0;
    std::string endpoint;
    bool safe = false;
    Duration target{ 0 };
    int attempt = 1;
    TimePoint started{};
    double queued_turns = 0;
    bool stalled = false;
  };

  struct Server
  {
    double phase = 0;
    std::deque<std::uint64_t> queue; ///< Waiting work.
    std::uint32_t busy = 0;
    std::map<std::size_t, std::uint32_t> in_flight; ///< By daemon.
    std::vector<TimePoint> arrivals;
  };

  struct Completion
  {
    std::uint64_t work = 0;
    WorkResult result = WorkResult::Answered;
    bool used_slot = false;
  };

  static std::string Id(int aIndex)
  {
    return "e" + std::to_string(100 + aIndex);
  }

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  bool Fails(const Server& aServer, TimePoint aTime) const
  {
    const double seconds = ToSeconds(aTime - kStart) + aServer.phase;
    return std::fmod(seconds, m_options.period) <
           m_options.failing * m_options.period;
  }

  /// Whether an endpoint fails nothing in a window and the 2 s before it.
  bool IsHealthy(const Server& aServer, TimePoint aStart) const
  {
    for (TimePoint time = aStart - kWindow; time <= aStart + kWindow;
         time += Milliseconds(50)) {
      if (time >= kStart && Fails(aServer, time)) {
        return false;
      }
    }
    return true;
  }

  void Send(std::size_t aDaemon, bool aSafe, int aAttempt)
  {
    PlaceRequest request;
    request.repeatable = aSafe;
    const bool hasOwnTarget = !aSafe && m_options.unsafe_target > Duration(0);
    request.target = hasOwnTarget ? m_options.unsafe_target : m_options.target;
    request.left = std::max<Duration>(Milliseconds(3000), 2 * request.target);
    ServiceState& state = *m_daemons[aDaemon];
    state.SetExploration(request, m_shortfall.Share(m_now), m_now);
    const auto placed = state.Place(request, m_now, m_random);
    if (!placed) {
      RecordOutcome(false);
      return;
    }
    state.Begin(placed->endpoint, m_now);
    Work work{
      aDaemon, placed->endpoint, aSafe, request.target, aAttempt, m_now
    };
    work.queued_turns = placed->queued_turns;
    const std::uint64_t id = ++m_lastWork;
    m_work[id] = work;
    Server& server = m_servers[placed->endpoint];
    ++server.in_flight[aDaemon];
    server.arrivals.push_back(m_now);
    Report(aDaemon, placed->endpoint, {});
    if (Fails(server, m_now) && Draw() < 0.9) {
      Schedule(Milliseconds(5), { id, WorkResult::Failed, false });
    } else if (server.busy < m_options.slots) {
      Serve(server, id);
    } else if (server.queue.size() < kServerQueue) {
      server.queue.push_back(id);
    } else {
      Schedule(Milliseconds(5), { id, WorkResult::Shed, false });
    }
  }

  void Serve(Server& aServer, std::uint64_t aWork)
  {
    const double spread = m_options.spread;
    ++aServer.busy;
    std::normal_distribution<double> normal(-spread * spread / 2, spread);
    const bool hasOwnLatency =
      !m_work.at(aWork).safe && m_options.unsafe_latency > Duration(0);
    const Duration mean =
      hasOwnLatency ? m_options.unsafe_latency : m_options.latency;
    const double seconds = ToSeconds(mean) * std::exp(normal(m_random));
    Schedule(std::chrono::duration_cast<Duration>(Seconds(seconds)),
             { aWork, WorkResult::Answered, true });
  }

  void Schedule(Duration aTime, Completion aCompletion)
  {
    m_completions.emplace(m_now + aTime, aCompletion);
  }

  void FinishDue()
  {
    while (!m_completions.empty() && m_completions.begin()->first <= m_now) {
      const Completion completion = m_completions.begin()->second;
      m_completions.erase(m_completions.begin());
      Finish(completion);
    }
  }

  void Finish(const Completion& aCompletion)
  {
    const Work work = m_work.at(aCompletion.work);
    m_work.erase(aCompletion.work);
    Server& server = m_servers[work.endpoint];
    if (aCompletion.used_slot) {
      --server.busy;
      if (!server.queue.empty()) {
        const std::uint64_t next = server.queue.front();
        server.queue.pop_front();
        Serve(server, next);
      }
    }
    ServiceState& state = *m_daemons[work.daemon];
    const bool good = aCompletion.result == WorkResult::Answered;
    --server.in_flight[work.daemon];
    state.End(work.endpoint, good, m_now);
    EndpointEvidence evidence;
    const Duration elapsed = m_now - work.started;
    ReportEnd(state, work, aCompletion.result, elapsed, evidence);
    Report(work.daemon, work.endpoint, evidence);
    if (!good && work.safe && work.attempt == 1) {
      Send(work.daemon, true, 2);
    } else {
      RecordOutcome(good);
    }
  }

  void RecordOutcome(bool aServed)
  {
    m_shortfall.Note(1, aServed ? 0 : 1, m_now);
    m_served += aServed ? 1 : 0;
    m_unserved += aServed ? 0 : 1;
    m_outcomes.emplace_back(m_now, aServed);
  }

  /// Records the end of an attempt as RequestDispatcher does.
  void ReportEnd(ServiceState& aState,
                 const Work& aWork,
                 WorkResult aResult,
                 Duration aElapsed,
                 EndpointEvidence& aEvidence) const
  {
    if (aWork.stalled) {
      return;
    }
    aState.Observe(aWork.endpoint, { aResult, aElapsed }, m_now);
    aEvidence.answered = aResult == WorkResult::Answered ? 1 : 0;
    aEvidence.bad = aResult == WorkResult::Failed ? 1 : 0;
    aEvidence.shed = aResult == WorkResult::Shed ? 1 : 0;
    aEvidence.answer_time = aEvidence.answered > 0 ? aElapsed : Duration(0);
  }

  void CheckStalls()
  {
    for (auto& [id, work] : m_work) {
      const Duration waited = m_now - work.started;
      ServiceState& state = *m_daemons[work.daemon];
      if (work.stalled ||
          waited < state.StallAfter(work.queued_turns, work.target, m_now)) {
        continue;
      }
      work.stalled = true;
      ++m_stalled;
      state.Observe(work.endpoint, { WorkResult::Stalled, waited }, m_now);
      EndpointEvidence evidence;
      evidence.bad = 1;
      Report(work.daemon, work.endpoint, evidence);
    }
  }

  /// Tells the other daemons of a daemon's work at an endpoint.
  void Report(std::size_t aDaemon,
              const std::string& aEndpoint,
              EndpointEvidence aEvidence)
  {
    const Server& server = m_servers[aEndpoint];
    std::uint32_t total = 0;
    for (const auto& entry : server.in_flight) {
      total += entry.second;
    }
    aEvidence.endpoint = aEndpoint;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (i == aDaemon) {
        continue;
      }
      auto own = server.in_flight.find(i);
      aEvidence.in_flight =
        total - (own == server.in_flight.end() ? 0 : own->second);
      m_daemons[i]->ObserveFleet({ "s", { aEvidence } }, m_now);
    }
  }

  FleetLoadOptions m_options;
  Random m_random;
  FleetConfig m_config;
  TimePoint m_now = kStart;
  std::vector<std::unique_ptr<ServiceState>> m_daemons;
  std::map<std::string, Server> m_servers;
  std::map<std::uint64_t, Work> m_work;
  std::multimap<TimePoint, Completion> m_completions;
  std::uint64_t m_lastWork = 0;
  ShortfallMeter m_shortfall;
  std::vector<std::pair<TimePoint, bool>> m_outcomes;
  int m_served = 0;
  int m_unserved = 0;
  int m_stalled = 0;
};

/// Share of the healthy endpoints that must get requests in any 2 s.
constexpr double kMinShareInUse = 0.7;

/// Guards against taking the wait in an endpoint's queue for a failure of the
/// endpoint: all daemons then avoided the healthy ones that they had filled.
TEST_CASE("ServiceState, fleet starts under load, healthy endpoints get "
          "requests in any 2 s")
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const double load : { 0.8, 1.1, 1.4 }) {
      FleetLoadOptions options;
      options.slots = 1;
      options.load = load;
      options.seed = seed;
      FleetLoadSimulation fleet(options);
      fleet.Run(std::chrono::seconds(20));
      INFO("seed " << seed << " load " << load << " served "
                   << fleet.ServedShare());
      CHECK(fleet.SmallestShareInUse() >= kMinShareInUse);
    }
  }
}

TEST_CASE("ServiceState, healthy endpoints have full queues, hardly any "
          "request counts as stalled")
{
  FleetLoadOptions options;
  options.slots = 1;
  options.load = 1.4;
  options.failing = 0;
  FleetLoadSimulation fleet(options);
  fleet.Run(std::chrono::seconds(20));
  CHECK(fleet.StalledShare() <= 0.01);
}

/// Guards against leaving the search for idle endpoints to requests that may be
/// repeated, which are too few to reach all of them while a tenth fails.
TEST_CASE("ServiceState, few requests may be repeated, healthy endpoints get "
          "requests in any 2 s")
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    FleetLoadOptions options;
    options.endpoints = 120;
    options.daemons = 30;
    options.load = 0.3;
    options.safe = 0.2;
    options.seed = seed;
    FleetLoadSimulation fleet(options);
    fleet.Run(std::chrono::seconds(20));
    INFO("seed " << seed << " served " << fleet.ServedShare());
    CHECK(fleet.SmallestShareInUse() >= kMinShareInUse);
  }
}

/// Guards against taking a request that is slow, but within its target, for a
/// failure of its endpoint: all daemons then left the endpoint idle.
TEST_CASE("ServiceState, requests take seconds and half of the endpoints fail, "
          "healthy endpoints get requests in any 2 s")
{
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    FleetLoadOptions options;
    options.endpoints = 60;
    options.daemons = 30;
    options.slots = 6;
    options.load = 0.33;
    options.latency = Milliseconds(2000);
    options.target = Milliseconds(5000);
    options.unsafe_latency = Milliseconds(600);
    options.unsafe_target = Milliseconds(2500);
    options.spread = 0.5;
    options.failing = 0.5;
    options.period = 12;
    options.safe = 0.66;
    options.seed = seed;
    FleetLoadSimulation fleet(options);
    fleet.Run(std::chrono::seconds(20));
    INFO("seed " << seed << " served " << fleet.ServedShare() << " stalled "
                 << fleet.StalledShare());
    CHECK(fleet.SmallestShareInUse() >= kMinShareInUse);
  }
}

} // namespace
} // namespace sapphirelane
