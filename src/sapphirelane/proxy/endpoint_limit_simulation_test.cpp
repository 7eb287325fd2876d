#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/proxy/dispatcher.h"
#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

struct LimitedFleetOptions
{
  int daemons = 32;
  int centres = 3;
  int endpoints = 6;
  std::vector<double> limits = { 0.5, 0.5, 1, 1.6 }; ///< Of the first ones.
  double load = 13;                                  ///< Requests a second.
  double cold_per_second = 0; ///< Of the service's endpoints.
  double cold_slack = 8;
  double loss = 0; ///< Share of datagrams that are lost.
  std::uint64_t seed = 1;
};

/// The dispatchers of a fleet and endpoints that name a limit for a time, in
/// virtual time. The limit is one for all requests of the fleet.
class LimitedFleet
{
public:
  explicit LimitedFleet(const LimitedFleetOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_world(aOptions.daemons, aOptions.centres, true)
  {
    Service service{ "s", 50, 330 };
    service.cold_per_second = aOptions.cold_per_second;
    service.cold_start = kColdTime;
    m_world.SetService(service);
    AddRoutes();
    for (int i = 0; i < kWorldEndpoints; ++i) {
      m_world.RemoveEndpoint("e" + std::to_string(i));
    }
    for (int i = 0; i < aOptions.endpoints; ++i) {
      m_world.SetEndpoint(Id(i),
                          LifeState::InService,
                          "centre-" + std::to_string(i % aOptions.centres));
      const auto index = static_cast<std::size_t>(i);
      if (index < aOptions.limits.size()) {
        m_servers[Id(i)].limit = aOptions.limits[index];
      }
    }
    for (int i = 0; i < aOptions.daemons; ++i) {
      m_daemons.push_back(std::make_unique<Daemon>(*this, i));
    }
    Run(std::chrono::seconds(10), 0);
  }

  /// Plays a time under load.
  void Run(Duration aTime) { Run(aTime, m_options.load); }

  void BeginLimits() { m_limitsSince = m_world.Now(); }
  void EndLimits() { m_limitsSince.reset(); }

  /// Replaces a daemon by a new run, which knows nothing.
  void Restart(int aDaemon)
  {
    m_world.Kill(aDaemon);
    m_world.Restart(aDaemon);
    auto& daemon = m_daemons[static_cast<std::size_t>(aDaemon)];
    m_ended.push_back(std::move(daemon));
    daemon = std::make_unique<Daemon>(*this, aDaemon);
  }

  /// Lists the endpoints of a data centre that returns.
  void Return(int aEndpoints)
  {
    for (int i = 0; i < aEndpoints; ++i) {
      m_returned.push_back("r" + std::to_string(i));
      m_world.SetEndpoint(
        m_returned.back(), LifeState::InService, "centre-0", kColdTime);
    }
  }

  /// Requests of a returned endpoint in any second at most.
  int MostInOneSecond()
  {
    std::ptrdiff_t most = 0;
    for (const std::string& id : m_returned) {
      const std::vector<TimePoint>& arrivals = m_servers[id].arrivals;
      for (TimePoint at : arrivals) {
        most = std::max(
          most,
          std::count_if(
            arrivals.begin(), arrivals.end(), [at](TimePoint aItem) {
              return aItem >= at && aItem < at + std::chrono::seconds(1);
            }));
      }
    }
    return static_cast<int>(most);
  }

  /// Requests a second of the returned endpoints on average.
  double ReturnedRate(Duration aTime)
  {
    double count = 0;
    for (const std::string& id : m_returned) {
      count += static_cast<double>(m_servers[id].arrivals.size());
    }
    return count / ToSeconds(aTime) / static_cast<double>(m_returned.size());
  }

  FleetWorld& World() { return m_world; }

  /// Windows of 4 s from 3 s after a limit was first named, in which an
  /// endpoint got more than one and a half times what it allows, and 5
  /// requests.
  int BrokenWindows() const
  {
    constexpr std::chrono::seconds kSettleTime{ 3 };
    constexpr std::chrono::seconds kWindow{ 4 };
    constexpr double kTolerance = 1.5;
    constexpr double kSlack = 5;
    int broken = 0;
    for (const auto& [id, server] : m_servers) {
      if (server.limit == 0 || !server.first_named) {
        continue;
      }
      const double allowed =
        kTolerance * server.limit * ToSeconds(kWindow) + kSlack;
      for (TimePoint at : server.arrivals) {
        const bool judged =
          at >= *server.first_named + kSettleTime && at + kWindow <= m_judgedTo;
        const auto count = std::count_if(
          server.arrivals.begin(), server.arrivals.end(), [&](TimePoint aItem) {
            return aItem >= at && aItem < at + kWindow;
          });
        broken += judged && static_cast<double>(count) > allowed ? 1 : 0;
      }
    }
    return broken;
  }

  /// Requests that the endpoints with limits got since a moment, in one second.
  double LimitedRate(TimePoint aSince) const
  {
    double count = 0;
    for (const auto& entry : m_servers) {
      const Server& server = entry.second;
      count += server.limit == 0
                 ? 0
                 : static_cast<double>(std::count_if(
                     server.arrivals.begin(),
                     server.arrivals.end(),
                     [&](TimePoint aItem) { return aItem >= aSince; }));
    }
    return count / ToSeconds(m_world.Now() - aSince);
  }

  /// Arrivals up to now are judged.
  void JudgeToNow() { m_judgedTo = m_world.Now(); }

  double ServedShare() const { return m_served / m_ended_requests; }
  int WaitedInVain() const { return m_waitedInVain; }

private:
  static constexpr int kWorldEndpoints = 6; ///< FleetWorld begins with.
  static constexpr Milliseconds kStep{ 5 };
  static constexpr Milliseconds kColdTime{ 15000 };
  static constexpr Milliseconds kServiceTime{ 290 };
  static constexpr std::size_t kServerQueue = 4;

  struct Server
  {
    double limit = 0; ///< Requests a second; 0 for none.
    std::optional<TimePoint> first_named;
    std::vector<TimePoint> arrivals;
    TimePoint free_at{};
  };

  struct Daemon : public UpstreamIo
  {
    Daemon(LimitedFleet& aFleet, int aNumber)
      : fleet(aFleet)
      , metrics(MakeMetrics())
    {
      DispatcherOptions options;
      options.policies.balancer = "expected-cost";
      options.policies.ejector = "spells";
      options.policies.retry = "fixed-attempts";
      options.policies.ahead = 4;
      options.cold_starts.slack = aFleet.m_options.cold_slack;
      options.seed = static_cast<std::uint64_t>(aNumber) + 1;
      dispatcher =
        MakeDispatcher(options, aFleet.m_world.At(aNumber), *this, *metrics);
    }

    void Start(AttemptOrder aOrder) override { fleet.Arrive(*this, aOrder); }
    void Accept(std::uint64_t aAttempt) override
    {
      Schedule(Duration::zero(), EndOf(aAttempt, true, ""));
    }
    void Cancel(std::uint64_t aAttempt) override
    {
      if (running.count(aAttempt) == 1) {
        Schedule(Duration::zero(), EndOf(aAttempt, false, "cancelled"));
      }
    }

    void Schedule(Duration aTime, AttemptEvent aEvent)
    {
      events.emplace(fleet.m_world.Now() + aTime, std::move(aEvent));
    }

    static AttemptEvent EndOf(std::uint64_t aAttempt,
                              bool aWhole,
                              const std::string& aError)
    {
      AttemptEvent event;
      event.id = aAttempt;
      event.whole = aWhole;
      event.error = aError;
      event.kept = aWhole;
      return event;
    }

    void Tick(TimePoint aNow)
    {
      while (!events.empty() && events.begin()->first <= aNow) {
        const AttemptEvent event = events.begin()->second;
        events.erase(events.begin());
        if (event.kind == AttemptEvent::Kind::Head ||
            running.erase(event.id) == 1) {
          dispatcher->OnAttempt(event, aNow);
        }
      }
      dispatcher->OnTick(aNow);
    }

    LimitedFleet& fleet;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Dispatcher> dispatcher;
    std::multimap<TimePoint, AttemptEvent> events;
    std::set<std::uint64_t> running;
  };

  class NullPort : public CallerPort
  {
  public:
    void Suspend() override {}
    void Resume() override {}
    bool IsClosed() const override { return false; }
  };

  struct Sent
  {
    ExchangePtr exchange;
    TimePoint at{};
  };

  static std::string Id(int aNumber) { return "n" + std::to_string(aNumber); }

  void AddRoutes()
  {
    for (const RouteMode mode : { RouteMode::Safe, RouteMode::Plain }) {
      Route route;
      route.id = mode == RouteMode::Safe ? "safe" : "plain";
      route.path = "/" + route.id + "/";
      route.service = "s";
      route.mode = mode;
      route.open = true;
      route.timeout = Milliseconds(1500);
      route.target = Milliseconds(800);
      route.attempts = 2;
      m_world.AddRoute(route);
    }
    m_world.SetConfig(2);
  }

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void Run(Duration aTime, double aLoad)
  {
    FleetFaults faults;
    faults.loss = m_options.loss;
    faults.seed = m_options.seed;
    if (aLoad > 0) {
      m_world.SetFaults(faults);
    }
    const TimePoint end = m_world.Now() + aTime;
    double nextSeconds = 0;
    while (m_world.Now() < end) {
      m_world.Advance(kStep);
      nextSeconds -= ToSeconds(kStep);
      while (aLoad > 0 && nextSeconds <= 0) {
        nextSeconds += -std::log(1 - Draw()) / aLoad;
        Send();
      }
      for (auto& daemon : m_daemons) {
        daemon->Tick(m_world.Now());
      }
      TakeAnswers();
    }
  }

  void Send()
  {
    RequestHead head;
    head.id = ++m_lastRequest;
    head.method = "GET";
    head.target = Draw() < 0.5 ? "/safe/1" : "/plain/1";
    head.arrived = m_world.Now();
    auto exchange = std::make_shared<Exchange>(head, 65536);
    exchange->SetPort(std::make_unique<NullPort>());
    const auto daemon = static_cast<std::size_t>(Draw() * m_options.daemons);
    m_sent.push_back({ exchange, m_world.Now() });
    m_daemons[daemon]->dispatcher->OnRequest(exchange, m_world.Now());
  }

  void TakeAnswers()
  {
    for (auto it = m_sent.begin(); it != m_sent.end();) {
      const auto head = it->exchange->CallerTakeHead();
      if (!head) {
        ++it;
        continue;
      }
      const bool served = head->status == 200;
      m_served += served ? 1 : 0;
      m_ended_requests += 1;
      // Refused only when hardly any time was left to come back.
      const bool late = m_world.Now() - it->at > Milliseconds(1400);
      m_waitedInVain += !served && late ? 1 : 0;
      it = m_sent.erase(it);
    }
  }

  /// An endpoint gets a request: serves one after the other, or says that it
  /// did not run it.
  void Arrive(Daemon& aDaemon, const AttemptOrder& aOrder)
  {
    Server& server = m_servers[aOrder.endpoint];
    const TimePoint now = m_world.Now();
    server.arrivals.push_back(now);
    aDaemon.running.insert(aOrder.id);
    AttemptEvent event;
    event.id = aOrder.id;
    event.kind = AttemptEvent::Kind::Head;
    event.head.status = 200;
    Duration time = kServiceTime;
    const Duration queued = std::max(Duration::zero(), server.free_at - now);
    if (queued > kServerQueue * kServiceTime) {
      event.head.status = 503;
      event.head.headers.emplace_back("X-Sapphirelane-Shed", "not-run");
      time = Milliseconds(5);
    } else {
      time += queued;
      server.free_at = now + time;
    }
    if (m_limitsSince && server.limit > 0) {
      event.head.headers.emplace_back("X-Sapphirelane-Limit",
                                      std::to_string(server.limit));
      if (!server.first_named) {
        server.first_named = now + time;
      }
    }
    aDaemon.Schedule(time, event);
  }

  LimitedFleetOptions m_options;
  std::mt19937_64 m_random;
  FleetWorld m_world;
  std::map<std::string, Server> m_servers;
  std::vector<std::string> m_returned;
  std::optional<TimePoint> m_limitsSince;
  TimePoint m_judgedTo{};
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<std::unique_ptr<Daemon>> m_ended; ///< Of runs that have ended.
  std::vector<Sent> m_sent;
  std::uint64_t m_lastRequest = 0;
  double m_served = 0;
  double m_ended_requests = 0;
  int m_waitedInVain = 0;
};

/// Plays a fleet before, while and after its endpoints name limits.
void
PlayLimits(const LimitedFleetOptions& aOptions)
{
  INFO("daemons " << aOptions.daemons << " seed " << aOptions.seed);
  LimitedFleet fleet(aOptions);
  fleet.Run(std::chrono::seconds(4));
  const TimePoint begin = fleet.World().Now();
  fleet.BeginLimits();
  fleet.Run(std::chrono::seconds(16));
  fleet.JudgeToNow();
  const double limitedRate = fleet.LimitedRate(begin);
  CHECK(fleet.BrokenWindows() == 0);
  double allowed = 0;
  for (double limit : aOptions.limits) {
    allowed += limit;
  }
  // Nothing gained by leaving them idle.
  CHECK(limitedRate >= allowed * 0.5);
  fleet.EndLimits();
  fleet.Run(std::chrono::seconds(6));
  const TimePoint ended = fleet.World().Now();
  fleet.Run(std::chrono::seconds(6));
  CHECK(fleet.LimitedRate(ended) >= limitedRate * 1.2);
}

TEST_CASE("Dispatcher, endpoints name limits that the whole fleet shares, get "
          "no more, and their share again once they name none",
          "[limits][large]")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LimitedFleetOptions options;
    options.seed = seed;
    PlayLimits(options);
  }
}

TEST_CASE("Dispatcher, a tenth of the messages is lost, endpoints get no more "
          "than the limits that they name",
          "[limits][large]")
{
  LimitedFleetOptions options;
  options.loss = 0.1;
  PlayLimits(options);
}

TEST_CASE("Dispatcher, large fleet, endpoints get no more than the limits that "
          "they name",
          "[limits][large]")
{
  LimitedFleetOptions options;
  options.daemons = 99;
  options.endpoints = 44;
  options.limits.assign(15, 0.5);
  options.limits.insert(options.limits.end(), 15, 1);
  options.load = 98;
  PlayLimits(options);
}

TEST_CASE("Dispatcher, daemons restart while endpoints name limits, endpoints "
          "get no more",
          "[limits][large]")
{
  LimitedFleetOptions options;
  LimitedFleet fleet(options);
  fleet.Run(std::chrono::seconds(2));
  fleet.BeginLimits();
  fleet.Run(std::chrono::seconds(5));
  for (int daemon = 0; daemon < options.daemons; daemon += 4) {
    fleet.Restart(daemon);
    fleet.Run(Milliseconds(1500));
  }
  fleet.JudgeToNow();
  CHECK(fleet.BrokenWindows() == 0);
}

/// Plays a fleet to which the cold endpoints of a data centre return under
/// load.
/// @return Requests of one of them in any second at most.
int
PlayReturn(double aColdPerSecond, double aLoss, bool aRestarts)
{
  LimitedFleetOptions options;
  options.limits.clear();
  options.load = 400;
  options.loss = aLoss;
  options.cold_per_second = aColdPerSecond;
  options.cold_slack = 4;
  LimitedFleet fleet(options);
  fleet.Run(std::chrono::seconds(4));
  fleet.Return(6);
  for (int second = 0; second < 12; ++second) {
    if (aRestarts) {
      fleet.Restart(second * 5 % options.daemons);
    }
    fleet.Run(std::chrono::seconds(1));
  }
  const int most = fleet.MostInOneSecond();
  const double rate = fleet.ReturnedRate(std::chrono::seconds(12));
  CAPTURE(aColdPerSecond, aLoss, aRestarts, most, rate);
  CHECK(rate >= aColdPerSecond / 4);
  return most;
}

/// Guards against a herd of daemons at endpoints that have just returned. The
/// bound is 1 x 1.5 + 4, rounded down; without one, the daemons send more.
TEST_CASE("Dispatcher, data centre returns, cold endpoints get no more than "
          "their bound",
          "[cold][large]")
{
  CHECK(PlayReturn(0, 0, false) > 5);
  CHECK(PlayReturn(1, 0, false) <= 5);
  CHECK(PlayReturn(1, 0.1, false) <= 5);
  CHECK(PlayReturn(1, 0.1, true) <= 5);
}

/// Guards against cold endpoints that hardly get a request in a large fleet, as
/// their few owners spread their requests over all endpoints.
TEST_CASE("Dispatcher, data centre returns while requests are not served, cold "
          "endpoints get a part of what they take",
          "[cold][large]")
{
  LimitedFleetOptions options;
  options.daemons = 97;
  options.limits.clear();
  options.endpoints = 24;
  options.load = 200;
  options.cold_per_second = 3.5;
  LimitedFleet fleet(options);
  fleet.Run(std::chrono::seconds(4));
  fleet.Return(8);
  fleet.Run(std::chrono::seconds(12));
  const int most = fleet.MostInOneSecond();
  const double rate = fleet.ReturnedRate(std::chrono::seconds(12));
  CAPTURE(most, rate, fleet.ServedShare());
  CHECK(most <= 13);
  CHECK(rate >= 1);
}

} // namespace
} // namespace sapphirelane
