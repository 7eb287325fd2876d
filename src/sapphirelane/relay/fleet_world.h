#ifndef SAPPHIRELANE_RELAY_FLEET_WORLD_H
#define SAPPHIRELANE_RELAY_FLEET_WORLD_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/store_fleet.h"
#include "sapphirelane/wire/codec.h"

namespace sapphirelane {

/// Random faults of the network and the store; none by default.
struct FleetFaults
{
  double loss = 0;         ///< Share of datagrams that are lost.
  double delayed = 0;      ///< Share of datagrams that are delayed.
  Duration max_delay{ 0 }; ///< Of delayed datagrams.
  double refused = 0;      ///< Share of store calls that fail.
  Duration max_call{ 0 };  ///< Added to the duration of a store call.
  std::uint64_t seed = 1;
};

/// Bounds of the store for all daemons together. A call beyond them ends
/// without an answer for the caller (429). None by default.
struct StoreLimits
{
  int reads_per_second = 0;        ///< 0 for no bound.
  int writes_per_second = 0;       ///< 0 for no bound.
  std::size_t rows_per_read = 500; ///< A larger table takes several reads.
};

/// Datagrams of one kind that were sent.
struct MessageCount
{
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Simulates the daemons of a store fleet, the store and the network between
/// them, in virtual time. Daemons can be killed, partitioned from all others or
/// refused by the store.
class FleetWorld
{
public:
  /// @param aSeeded Daemons know the addresses of the first three.
  /// @param aRetries Retry budget of each service.
  FleetWorld(int aDaemons,
             int aCentres,
             bool aSeeded = false,
             const ExtraBudgetOptions& aRetries = {})
    : m_seeded(aSeeded)
    , m_retries(aRetries)
  {
    SetLogSink([](const std::string&) {});
    m_config.version = 1;
    m_config.services["s"] = { "s", 50, 330 };
    m_config.accounts["a"] = { "a", 100, 100, std::nullopt };
    for (int i = 0; i < 6; ++i) {
      SetEndpoint("e" + std::to_string(i), LifeState::InService);
    }
    for (int i = 0; i < aDaemons; ++i) {
      m_indexByAddress[Address(i)] = i;
      m_daemons.push_back(std::make_unique<Daemon>(*this, i));
      StartDaemon(*m_daemons.back(), aCentres);
    }
    m_centres = aCentres;
  }

  ~FleetWorld() { SetLogSink(nullptr); }

  void SetEndpoint(const std::string& aId,
                   LifeState aState,
                   const std::string& aCentre = "centre-0",
                   Milliseconds aCold = Milliseconds(0))
  {
    Endpoint endpoint;
    endpoint.id = aId;
    endpoint.service = "s";
    endpoint.state = aState;
    endpoint.address = "10.0.0.1:80";
    endpoint.data_centre = aCentre;
    endpoint.cold = aCold;
    SetEntry({ aId, ++m_version, endpoint });
  }

  /// Removes an endpoint's entry; reads return a tombstone.
  void RemoveEndpoint(const std::string& aId)
  {
    SetEntry({ aId, ++m_version, std::nullopt });
  }

  void SetFaults(const FleetFaults& aFaults)
  {
    m_faults = aFaults;
    m_random.seed(aFaults.seed);
  }

  /// Drops the datagrams from one daemon to another.
  void SetLinkCut(int aFrom, int aTo, bool aCut)
  {
    if (aCut) {
      m_cutLinks.insert({ aFrom, aTo });
    } else {
      m_cutLinks.erase({ aFrom, aTo });
    }
  }

  /// Makes the endpoint reads of one daemon take a time; the store is read at
  /// the end of it.
  void SetReadTime(int aDaemon, Duration aTime)
  {
    m_readTimes[aDaemon] = aTime;
  }

  /// Counts endpoints of whose state a daemon's view claims an age at which the
  /// store held another one already.
  /// @param aAllowance Time that a message takes, which no daemon can measure.
  int CountFalseClaims(Duration aAllowance)
  {
    int count = 0;
    for (auto& daemon : m_daemons) {
      const FleetConfig* config = daemon->fleet->Config();
      if (daemon->killed || config == nullptr) {
        continue;
      }
      const TimePoint asOf =
        m_now - daemon->fleet->View(m_now)->age - aAllowance;
      for (const auto& [id, history] : m_history) {
        auto found = config->endpoints.find(id);
        const auto held = found == config->endpoints.end()
                            ? std::nullopt
                            : std::optional(found->second.state);
        count += MayHold(history, held, asOf) ? 0 : 1;
      }
    }
    return count;
  }

  /// Copies the store, for RollBack.
  void CopyStore()
  {
    m_copy = { m_endpoints, m_evacuations, m_hosts,
               m_config,    m_version,     m_configVersion };
  }

  /// Brings the store back from its copy, in a new era.
  void RollBack()
  {
    ++m_era;
    m_endpoints = m_copy.endpoints;
    m_evacuations = m_copy.evacuations;
    m_hosts = m_copy.hosts;
    m_config = m_copy.config;
    m_version = m_copy.version;
    m_configVersion = m_copy.config_version;
  }

  std::size_t ListedHosts() const { return m_hosts.size(); }

  /// Writes or removes the operator's row that evacuates a data centre. The
  /// configuration itself does not change.
  void SetEvacuated(const std::string& aCentre, bool aEvacuated)
  {
    m_evacuations[aCentre] = { aCentre, ++m_version, aEvacuated };
  }

  /// Takes effect with the next SetConfig.
  void SetService(const Service& aService)
  {
    m_config.services[aService.id] = aService;
  }

  void SetConfig(std::uint64_t aVersion)
  {
    m_config.version = aVersion;
    m_configVersion = ++m_version;
  }

  void Advance(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(5);
      while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
        const auto action = m_scheduled.begin()->second;
        m_scheduled.erase(m_scheduled.begin());
        action();
      }
      for (auto& daemon : m_daemons) {
        if (!daemon->killed && !daemon->frozen) {
          daemon->fleet->Tick(m_now);
        }
      }
    }
  }

  /// Replaces a daemon by a new run on the same host, which knows nothing.
  void Restart(int aDaemon)
  {
    Daemon& daemon = *m_daemons[Index(aDaemon)];
    ++daemon.run;
    daemon.killed = false;
    daemon.calls.clear();
    daemon.busy_until = TimePoint{};
    StartDaemon(daemon, m_centres);
  }

  void Kill(int aDaemon) { m_daemons[Index(aDaemon)]->killed = true; }
  void Partition(int aDaemon) { m_daemons[Index(aDaemon)]->partitioned = true; }
  void Heal(int aDaemon) { m_daemons[Index(aDaemon)]->partitioned = false; }
  void Refuse(int aDaemon) { m_daemons[Index(aDaemon)]->refused = true; }

  /// Cuts a daemon off from the store: its calls end after their time limit.
  void SetStoreCut(int aDaemon, bool aCut)
  {
    m_daemons[Index(aDaemon)]->store_cut = aCut;
  }

  /// Sets the share of datagrams from and to a daemon that are lost.
  void SetLoss(int aDaemon, double aShare)
  {
    m_daemons[Index(aDaemon)]->loss = aShare;
  }

  /// Sets the rate at which each daemon's link carries bytes, each way; what
  /// does not fit waits. Links are unlimited by default.
  void SetLinkRate(double aBytesPerSecond) { m_linkRate = aBytesPerSecond; }

  void SetStoreLimits(const StoreLimits& aLimits) { m_storeLimits = aLimits; }

  /// Sets the time that a daemon takes to handle one datagram. What arrives
  /// meanwhile waits, and is lost if too much waits. Zero by default.
  void SetHandlingTime(int aDaemon, Duration aTime)
  {
    m_daemons[Index(aDaemon)]->handling_time = aTime;
  }

  /// Kills daemons at once and starts each again within 0.3 s.
  void RestartAll(const std::vector<int>& aDaemons)
  {
    for (int daemon : aDaemons) {
      Kill(daemon);
    }
    constexpr Milliseconds kLatestStart{ 300 };
    for (int daemon : aDaemons) {
      Schedule(DrawTime(kLatestStart), [this, daemon] { Restart(daemon); });
    }
  }

  /// Writes the first daemons to the list of hosts in the store.
  void ListHosts(int aDaemons)
  {
    for (int i = 0; i < aDaemons; ++i) {
      const std::string host = "host-" + std::to_string(i);
      m_hosts[host] = { host,
                        "centre-" + std::to_string(i % m_centres),
                        Address(i) };
    }
  }

  /// Adds routes to the configuration, which make it larger.
  void AddRoutes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Route route;
      route.id = "route-" + std::to_string(i);
      route.service = "s";
      m_config.routes[route.id] = route;
    }
  }

  void AddRoute(const Route& aRoute) { m_config.routes[aRoute.id] = aRoute; }

  /// Changes every route, so that no difference is shorter than the whole.
  void ChangeRoutes()
  {
    for (auto& entry : m_config.routes) {
      ++entry.second.attempts;
    }
  }

  /// Stops the work of a daemon for a while. What reaches it waits.
  void SetFrozen(int aDaemon, bool aFrozen)
  {
    Daemon& daemon = *m_daemons[Index(aDaemon)];
    daemon.frozen = aFrozen;
    for (auto& action : std::exchange(daemon.waiting, {})) {
      Schedule(Milliseconds(1), std::move(action));
    }
  }
  void SetStoreOutage(bool aOutage) { m_storeOutage = aOutage; }

  /// Drops the store's answer to the next configuration read of each daemon.
  void DropNextConfigReads()
  {
    for (int i = 0; i < Size(); ++i) {
      m_dropConfigRead.insert(i);
    }
  }

  /// @return Number of running daemons for which a predicate does not hold.
  int CountWithout(const std::function<bool(StoreFleet&)>& aHolds)
  {
    int failing = 0;
    for (auto& daemon : m_daemons) {
      failing += !daemon->killed && !aHolds(*daemon->fleet) ? 1 : 0;
    }
    return failing;
  }

  StoreFleet& At(int aDaemon) { return *m_daemons[Index(aDaemon)]->fleet; }
  bool IsKilled(int aDaemon) const { return m_daemons[Index(aDaemon)]->killed; }
  int Calls() const { return m_calls; }

  /// Calls that the store refused because of its limits.
  int LimitedCalls() const { return m_limitedCalls; }

  /// Time that a daemon needs to handle what has reached it.
  Duration Backlog(int aDaemon) const
  {
    return std::max(Duration::zero(),
                    m_daemons[Index(aDaemon)]->busy_until - m_now);
  }

  /// Datagrams that were lost as their receiver was busy.
  int Overruns() const { return m_overruns; }

  /// Calls that write or read the list of hosts.
  int HostCalls() const { return m_hostCalls; }

  /// Datagrams sent since the last call, by the index of their kind in
  /// PeerMessage.
  std::map<std::size_t, MessageCount> TakeSent()
  {
    return std::exchange(m_sent, {});
  }
  int BulkCalls() const { return m_bulkCalls; }
  TimePoint Now() const { return m_now; }
  int Size() const { return static_cast<int>(m_daemons.size()); }

  /// The daemon that was the last to read endpoints from the store.
  int Reader() const { return m_lastReader; }

private:
  struct Daemon : public StoreFleetEnv
  {
    Daemon(FleetWorld& aWorld, int aNumber)
      : world(aWorld)
      , number(aNumber)
    {
    }

    void Send(const std::vector<std::string>& aAddresses,
              const PeerMessage& aMessage) override
    {
      const std::string bytes = EncodeMessage(aMessage);
      MessageCount& count = world.m_sent[aMessage.index()];
      count.messages += aAddresses.size();
      count.bytes += aAddresses.size() * bytes.size();
      Work(static_cast<double>(aAddresses.size()) * kSendShare);
      for (const std::string& address : aAddresses) {
        world.Deliver(number, address, bytes);
      }
    }
    void CallSource(SourceCall aCall) override
    {
      world.RunSourceCall(number, aCall);
    }
    void CallPeer(BulkCall aCall) override { world.RunBulkCall(number, aCall); }

    /// Takes the processor time of some datagrams.
    void Work(double aDatagrams)
    {
      busy_until =
        std::max(busy_until, world.m_now) +
        std::chrono::duration_cast<Duration>(handling_time * aDatagrams);
    }

    FleetWorld& world;
    int number;
    std::uint64_t run = 0;
    std::unique_ptr<StoreFleet> fleet;
    bool killed = false;
    bool partitioned = false;
    bool refused = false;
    bool store_cut = false;
    double loss = 0;
    bool frozen = false;
    std::vector<std::function<void()>> waiting; ///< Until it is thawed.
    std::deque<SourceCall> calls; ///< To the store; the first one runs.
    TimePoint out_free_at{};      ///< Until then its link sends what waits.
    TimePoint in_free_at{};       ///< Until then its link receives what waits.
    Duration handling_time{ 0 };  ///< See SetHandlingTime.
    TimePoint busy_until{};       ///< Until then its processor is busy.
  };

  /// Time limits of a call to the store and of a connection to a daemon, as
  /// deployed.
  static constexpr Milliseconds kStoreCallTimeout{ 600 };
  static constexpr Milliseconds kConnectTimeout{ 300 };
  static constexpr Milliseconds kTransferTimeout{ 1000 };

  /// Sizes of a call to the store without its rows, of an endpoint's entry and
  /// of a configured item.
  static constexpr std::size_t kCallBytes = 300;
  static constexpr std::size_t kEntryBytes = 250;
  static constexpr std::size_t kItemBytes = 150;

  /// Processor time of sending a datagram, and of a connection, in datagrams
  /// that are handled.
  static constexpr double kSendShare = 0.1;
  static constexpr double kConnectionShare = 5;

  /// Datagrams that wait at a busy daemon; further ones are lost.
  static constexpr int kMaxWaiting = 1000;

  static void StartDaemon(Daemon& aDaemon, int aCentres)
  {
    constexpr NodeId kMaxDaemons = 1000000;
    const auto number = static_cast<NodeId>(aDaemon.number);
    StoreFleetOptions options;
    options.self = { number + 1 + aDaemon.run * kMaxDaemons,
                     "host-" + std::to_string(aDaemon.number),
                     "centre-" + std::to_string(aDaemon.number % aCentres),
                     Address(aDaemon.number) };
    options.started_ms = 1 + aDaemon.run;
    options.seed = options.self.id;
    options.extras = aDaemon.world.m_retries;
    options.new_fleet = aDaemon.run == 0;
    if (aDaemon.run > 0 || aDaemon.world.m_seeded) {
      options.seeds = { Address(0), Address(1), Address(2) };
    }
    aDaemon.fleet = MakeStoreFleet(options, aDaemon);
  }

  using State = std::optional<LifeState>; ///< Empty if there is no entry.
  using StateHistory = std::vector<std::pair<TimePoint, State>>;

  void SetEntry(EndpointChange aChange)
  {
    const State state =
      aChange.endpoint ? State(aChange.endpoint->state) : std::nullopt;
    StateHistory& history = m_history[aChange.id];
    if (history.empty() || history.back().second != state) {
      history.emplace_back(m_now, state);
    }
    m_endpoints[aChange.id] = std::move(aChange);
  }

  /// Whether the store held a state at a moment or later.
  static bool MayHold(const StateHistory& aHistory,
                      State aState,
                      TimePoint aMoment)
  {
    State atMoment;
    for (const auto& [since, state] : aHistory) {
      if (since > aMoment && state == aState) {
        return true;
      }
      atMoment = since <= aMoment ? state : atMoment;
    }
    return atMoment == aState;
  }

  bool Draw(double aShare)
  {
    return std::bernoulli_distribution(aShare)(m_random);
  }

  bool IsLostAt(int aDaemon)
  {
    const double loss = m_daemons[Index(aDaemon)]->loss;
    return loss > 0 && Draw(loss);
  }

  Duration DrawTime(Duration aMost)
  {
    std::uniform_int_distribution<std::int64_t> draw(0, aMost.count());
    return Duration(draw(m_random));
  }

  static std::string Address(int aDaemon)
  {
    return "10.0.1." + std::to_string(aDaemon) + ":7000";
  }

  static std::size_t Index(int aDaemon)
  {
    return static_cast<std::size_t>(aDaemon);
  }

  int IndexOfAddress(const std::string& aAddress) const
  {
    auto found = m_indexByAddress.find(aAddress);
    return found == m_indexByAddress.end() ? -1 : found->second;
  }

  bool Reaches(int aFrom, int aTo) const
  {
    return aTo >= 0 && !m_daemons[Index(aFrom)]->partitioned &&
           !m_daemons[Index(aTo)]->partitioned &&
           !m_daemons[Index(aTo)]->killed;
  }

  void Schedule(Duration aTime, std::function<void()> aAction)
  {
    m_scheduled.emplace(m_now + aTime, std::move(aAction));
  }

  /// Lets a daemon handle something after a time, unless its run has ended.
  void ScheduleAt(int aDaemon,
                  Duration aTime,
                  std::function<void(StoreFleet&)> aAction)
  {
    const std::uint64_t run = m_daemons[Index(aDaemon)]->run;
    Schedule(aTime, [this, aDaemon, run, action = std::move(aAction)] {
      HandleAt(aDaemon, run, action);
    });
  }

  void HandleAt(int aDaemon,
                std::uint64_t aRun,
                const std::function<void(StoreFleet&)>& aAction)
  {
    Daemon& daemon = *m_daemons[Index(aDaemon)];
    if (daemon.killed || daemon.run != aRun) {
      return;
    }
    if (daemon.frozen) {
      daemon.waiting.emplace_back(
        [this, aDaemon, aRun, aAction] { HandleAt(aDaemon, aRun, aAction); });
      return;
    }
    aAction(*daemon.fleet);
  }

  /// Time until bytes have passed one direction of a link.
  Duration PassLink(TimePoint& aFreeAt, TimePoint aArrival, std::size_t aBytes)
  {
    if (m_linkRate > 0) {
      const Seconds time(static_cast<double>(aBytes) / m_linkRate);
      aFreeAt = std::max(aFreeAt, aArrival) +
                std::chrono::duration_cast<Duration>(time);
      aArrival = aFreeAt;
    }
    return aArrival - m_now;
  }

  /// Time until bytes have passed from one daemon's link to another's.
  Duration PassLinks(int aFrom, int aTo, std::size_t aBytes)
  {
    const Duration sent =
      PassLink(m_daemons[Index(aFrom)]->out_free_at, m_now, aBytes);
    return PassLink(m_daemons[Index(aTo)]->in_free_at, m_now + sent, aBytes);
  }

  void Deliver(int aFrom, const std::string& aAddress, std::string aBytes)
  {
    const int to = IndexOfAddress(aAddress);
    if (!Reaches(aFrom, to) || m_cutLinks.count({ aFrom, to }) == 1 ||
        Draw(m_faults.loss) || IsLostAt(aFrom) || IsLostAt(to)) {
      return;
    }
    Duration delay = Milliseconds(1) + PassLinks(aFrom, to, aBytes.size());
    if (Draw(m_faults.delayed)) {
      delay += DrawTime(m_faults.max_delay);
    }
    ScheduleAt(
      to, delay, [this, aFrom, to, bytes = std::move(aBytes)](auto& aFleet) {
        if (Reaches(aFrom, to)) {
          Receive(aFrom, to, bytes, aFleet);
        }
      });
  }

  /// Lets a daemon handle a datagram when its processor is free.
  void Receive(int aFrom,
               int aTo,
               const std::string& aBytes,
               StoreFleet& aFleet)
  {
    Daemon& daemon = *m_daemons[Index(aTo)];
    if (daemon.handling_time == Duration::zero()) {
      aFleet.OnMessage(Address(aFrom), DecodeMessage(aBytes), m_now);
      return;
    }
    if (daemon.busy_until - m_now > kMaxWaiting * daemon.handling_time) {
      ++m_overruns;
      return;
    }
    daemon.Work(1);
    ScheduleAt(aTo,
               daemon.busy_until - m_now,
               [this, aFrom, bytes = aBytes](auto& aReceiver) {
                 aReceiver.OnMessage(
                   Address(aFrom), DecodeMessage(bytes), m_now);
               });
  }

  void RunBulkCall(int aFrom, const BulkCall& aCall)
  {
    ++m_bulkCalls;
    const int to = IndexOfAddress(aCall.address);
    const bool answers = Reaches(aFrom, to) && !m_daemons[Index(to)]->frozen;
    BulkReply reply;
    Duration time = kConnectTimeout;
    if (answers) {
      Daemon& server = *m_daemons[Index(to)];
      reply = server.fleet->ServeBulk(aCall.request, m_now);
      server.Work(kConnectionShare);
      m_daemons[Index(aFrom)]->Work(kConnectionShare);
      time = Milliseconds(5) + PassLinks(to, aFrom, EncodeBulk(*reply).size()) +
             std::max(Backlog(to), Backlog(aFrom));
    }
    if (time > kTransferTimeout) {
      time = kTransferTimeout;
      reply.reset();
    }
    ScheduleAt(aFrom, time, [this, id = aCall.id, reply](auto& aFleet) {
      aFleet.OnBulkReply(id, reply, m_now);
    });
  }

  /// Queues a call to the store; a daemon makes one after the other.
  void RunSourceCall(int aFrom, const SourceCall& aCall)
  {
    ++m_calls;
    const bool ofHosts = aCall.kind != SourceCall::Kind::ReadConfig &&
                         aCall.kind != SourceCall::Kind::ReadEndpoints;
    m_hostCalls += ofHosts ? 1 : 0;
    auto& calls = m_daemons[Index(aFrom)]->calls;
    calls.push_back(aCall);
    if (calls.size() == 1) {
      StartSourceCall(aFrom);
    }
  }

  void StartSourceCall(int aFrom)
  {
    Daemon& daemon = *m_daemons[Index(aFrom)];
    const SourceCall call = daemon.calls.front();
    SourceResult result;
    result.kind = call.kind;
    result.after = call.after;
    result.asked = m_now;
    const bool dropped = call.kind == SourceCall::Kind::ReadConfig &&
                         m_dropConfigRead.erase(aFrom) == 1;
    result.answered = !m_storeOutage && !daemon.refused && !daemon.store_cut &&
                      !dropped && !Draw(m_faults.refused);
    // The store takes effect at any moment of a call.
    Duration before = DrawTime(m_faults.max_call);
    Duration after = Milliseconds(4) + DrawTime(m_faults.max_call);
    if (dropped || daemon.store_cut) {
      after = kStoreCallTimeout;
    }
    auto readTime = m_readTimes.find(aFrom);
    if (call.kind == SourceCall::Kind::ReadEndpoints &&
        readTime != m_readTimes.end()) {
      before = readTime->second;
    }
    before += PassLink(daemon.out_free_at, m_now, kCallBytes);
    const std::uint64_t run = daemon.run;
    auto finish = [this, aFrom, run, call, result, after]() mutable {
      if (m_daemons[Index(aFrom)]->run != run) {
        return;
      }
      Duration left = after;
      result.answered = result.answered && TakeStoreCalls(call);
      if (result.answered) {
        const std::size_t bytes = CallStore(aFrom, call, result);
        left =
          PassLink(m_daemons[Index(aFrom)]->in_free_at, m_now + after, bytes);
      }
      EndSourceCall(aFrom, left, std::move(result));
    };
    if (before == Duration::zero()) {
      finish();
    } else {
      Schedule(before, finish);
    }
  }

  /// Ends a call after a time, or without an answer at its time limit.
  void EndSourceCall(int aFrom, Duration aTime, SourceResult aResult)
  {
    const bool limited = m_linkRate > 0;
    const Duration limit = aResult.asked + kStoreCallTimeout - m_now;
    if (limited && aTime > limit) {
      aTime = std::max(limit, Duration::zero());
      aResult.answered = false;
    }
    const std::uint64_t run = m_daemons[Index(aFrom)]->run;
    Schedule(aTime, [this, aFrom, run, result = std::move(aResult)] {
      Daemon& daemon = *m_daemons[Index(aFrom)];
      if (daemon.run != run) {
        return;
      }
      daemon.calls.pop_front();
      if (!daemon.calls.empty()) {
        StartSourceCall(aFrom);
      }
      const auto handle = [this, result](StoreFleet& aFleet) {
        aFleet.OnSource(result, m_now);
      };
      daemon.Work(1);
      if (daemon.busy_until <= m_now) {
        HandleAt(aFrom, run, handle);
      } else {
        ScheduleAt(aFrom, Backlog(aFrom), handle);
      }
    });
  }

  /// The store's contents at an earlier moment.
  struct StoreCopy
  {
    std::map<std::string, EndpointChange> endpoints;
    std::map<std::string, EvacuationChange> evacuations;
    std::map<std::string, HostEntry> hosts;
    FleetConfig config;
    std::uint64_t version = 1;
    std::uint64_t config_version = 1;
  };

  /// Whether a read cannot continue where the one before it ended.
  bool IsWhole(const SourceCall& aCall) const
  {
    return aCall.after.IsNone() || aCall.after.era != m_era;
  }

  /// Number of reads by which the store answers a call.
  int CountReads(const SourceCall& aCall) const
  {
    std::size_t rows = 0;
    if (aCall.kind == SourceCall::Kind::ReadEndpoints && IsWhole(aCall)) {
      rows = m_endpoints.size();
    } else if (aCall.kind == SourceCall::Kind::ReadHosts) {
      rows = m_hosts.size();
    }
    return 1 + static_cast<int>(rows / m_storeLimits.rows_per_read);
  }

  /// Counts a call against the limits of the store.
  /// @return False if the store refuses it.
  bool TakeStoreCalls(const SourceCall& aCall)
  {
    constexpr std::chrono::seconds kInterval{ 1 };
    if (m_now >= m_storeInterval + kInterval) {
      m_storeInterval = m_now;
      m_storeReads = 0;
      m_storeWrites = 0;
    }
    const bool writes = aCall.kind == SourceCall::Kind::WriteHost ||
                        aCall.kind == SourceCall::Kind::RemoveHost;
    (writes ? m_storeWrites : m_storeReads) += writes ? 1 : CountReads(aCall);
    const int limit =
      writes ? m_storeLimits.writes_per_second : m_storeLimits.reads_per_second;
    const bool taken =
      limit == 0 || (writes ? m_storeWrites : m_storeReads) <= limit;
    m_limitedCalls += taken ? 0 : 1;
    return taken;
  }

  /// Makes a call at the store.
  /// @return Size of its answer in bytes.
  std::size_t CallStore(int aFrom,
                        const SourceCall& aCall,
                        SourceResult& aResult)
  {
    std::size_t bytes = kCallBytes;
    switch (aCall.kind) {
      case SourceCall::Kind::ReadEndpoints:
        m_lastReader = aFrom;
        aResult.endpoints.whole = IsWhole(aCall);
        aResult.endpoints.version = { m_era, m_version };
        for (const auto& entry : m_endpoints) {
          EndpointChange change = entry.second;
          change.version.era = m_era;
          if (aResult.endpoints.whole ? change.endpoint.has_value()
                                      : change.version > aCall.after) {
            aResult.endpoints.changes.push_back(change);
            bytes += kEntryBytes;
          }
        }
        break;
      case SourceCall::Kind::ReadConfig:
        aResult.config.version = { m_era, m_version };
        aResult.config.whole = IsWhole(aCall);
        for (const auto& entry : m_evacuations) {
          EvacuationChange change = entry.second;
          change.version.era = m_era;
          if (IsWhole(aCall) ? change.evacuated
                             : change.version > aCall.after) {
            aResult.config.evacuations.push_back(change);
          }
        }
        if (IsWhole(aCall) || m_configVersion > aCall.after.number) {
          aResult.config.config = m_config;
          bytes +=
            kItemBytes * (m_config.routes.size() + m_config.accounts.size());
        }
        break;
      case SourceCall::Kind::WriteHost:
        m_hosts[aCall.host.host] = aCall.host;
        break;
      case SourceCall::Kind::ReadHosts:
        for (const auto& entry : m_hosts) {
          aResult.hosts.push_back(entry.second);
          bytes += kItemBytes;
        }
        break;
      case SourceCall::Kind::RemoveHost:
        m_hosts.erase(aCall.host.host);
        break;
    }
    return bytes;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::unordered_map<std::string, int> m_indexByAddress;
  std::map<std::size_t, MessageCount> m_sent;
  std::map<std::string, EndpointChange> m_endpoints;
  std::map<std::string, EvacuationChange> m_evacuations;
  std::map<std::string, HostEntry> m_hosts;
  FleetConfig m_config;
  std::uint64_t m_version = 1;
  std::uint64_t m_era = 0; ///< Times that the store was rolled back.
  StoreCopy m_copy;
  std::uint64_t m_configVersion = 1;
  bool m_storeOutage = false;
  std::set<int> m_dropConfigRead; ///< Indices of daemons.
  std::set<std::pair<int, int>> m_cutLinks;
  std::map<int, Duration> m_readTimes; ///< See SetReadTime.
  std::map<std::string, StateHistory> m_history;
  FleetFaults m_faults;
  double m_linkRate = 0; ///< In bytes a second; see SetLinkRate.
  std::mt19937_64 m_random{ 1 };
  bool m_seeded = false;
  ExtraBudgetOptions m_retries;
  int m_centres = 1;
  int m_calls = 0;
  int m_hostCalls = 0;
  int m_bulkCalls = 0;
  int m_lastReader = 0;
  StoreLimits m_storeLimits;
  TimePoint m_storeInterval{}; ///< Start of the interval of its limits.
  int m_storeReads = 0;        ///< In the interval.
  int m_storeWrites = 0;       ///< In the interval.
  int m_limitedCalls = 0;
  int m_overruns = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_FLEET_WORLD_H
