#include "sapphirelane/membership/schedule_world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kTickInterval{ 50 };
constexpr Milliseconds kDedupWindow{ 60000 };

/// Small buckets, so that one grant too many violates the limit.
const std::vector<Account> kAccounts = { { "large", 40, 20 },
                                         { "small", 4, 3 },
                                         { "divided", 60, 60 } };

/// Alternative burst of the account "divided"; splits its bucket into fewer
/// parts.
constexpr double kSmallBurst = 25;

/// Token requests in one step; enough to exceed the rate of a large account.
constexpr int kTokenRequestsPerStep = 4;

FleetConfig
InitialConfig()
{
  FleetConfig config;
  for (const Account& account : kAccounts) {
    config.accounts[account.id] = account;
  }
  return config;
}

} // namespace

/// A simulated daemon: its node, its clock and whether it runs.
class ScheduleWorld::Daemon : public NodeEnv
{
public:
  Daemon(ScheduleWorld& aWorld, std::size_t aIndex, std::uint64_t aId)
    : m_world(aWorld)
    , m_index(aIndex)
    , m_offset(std::chrono::hours(1 + aId % 1000))
  {
    NodeOptions options;
    options.self.id = aId;
    options.self.host = "host-" + std::to_string(aIndex);
    options.self.data_centre = "dc-" + std::to_string(aIndex % 2);
    options.self.address = "10.0.0." + std::to_string(aIndex) + ":1";
    options.seeds = { "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1" };
    options.dedup_window = kDedupWindow;
    options.seed = aId;
    address = options.self.address;
    id = aId;
    node = MakeNode(options, *this);
  }

  TimePoint Now() const { return m_world.m_now + m_offset; }

  void Send(const std::string& aAddress, const PeerMessage& aMessage) override
  {
    m_world.SendDatagram(m_index, aAddress, aMessage);
  }

  void CallStore(StoreCall aCall) override
  {
    m_world.CallStore(m_index, aCall);
  }

  void CallPeer(BulkCall aCall) override { m_world.CallPeer(m_index, aCall); }

  std::unique_ptr<Node> node;
  NodeId id = 0;
  std::string address;
  bool alive = true;
  bool stopping = false;
  TimePoint paused_until{};
  std::uint64_t last_version = 0;
  std::map<AskId, std::string> tokens;
  std::map<AskId, std::string> claims;

private:
  ScheduleWorld& m_world;
  std::size_t m_index;
  Duration m_offset;
};

/// The simulated table and object store.
struct ScheduleWorld::Platform
{
  bool outage = false;
  std::uint64_t version = 0;
  std::string head;
  std::map<std::string, std::string> objects;
  std::map<std::uint64_t, TimePoint> written; ///< By configuration version.
};

ScheduleWorld::ScheduleWorld(const ScheduleOptions& aOptions)
  : m_options(aOptions)
  , m_random(aOptions.seed)
  , m_now(TimePoint(std::chrono::hours(1)))
  , m_platform(std::make_unique<Platform>())
{
  BootstrapFleet();
}

ScheduleWorld::~ScheduleWorld() = default;

void
ScheduleWorld::BootstrapFleet()
{
  for (std::size_t i = 0; i < m_options.daemons; ++i) {
    Start();
  }
  Advance(std::chrono::seconds(3));
  ChangeSet change;
  change.id = "first";
  change.rows = Difference(FleetConfig(), InitialConfig());
  NodeAt(0).Propose(change, NowAt(0), [](const WriteResult&, TimePoint) {});
  Advance(std::chrono::seconds(1));
}

std::size_t
ScheduleWorld::Start()
{
  const std::size_t index = m_daemons.size();
  m_daemons.push_back(
    std::make_unique<Daemon>(*this, index, (m_random() >> 1U) | 1U));
  ScheduleAt(m_now + RandomDuration(kTickInterval),
             [this, index] { TickDaemon(index); });
  return index;
}

void
ScheduleWorld::ScheduleAt(TimePoint aTime, std::function<void()> aAction)
{
  m_actions.emplace(aTime, std::move(aAction));
}

void
ScheduleWorld::RunNextAction()
{
  auto next = m_actions.begin();
  m_now = std::max(m_now, next->first);
  const auto action = std::move(next->second);
  m_actions.erase(next);
  action();
}

void
ScheduleWorld::Trace(const std::string& aText) const
{
  static const bool traceEnabled = std::getenv("SCHEDULE_TRACE") != nullptr;
  if (traceEnabled) {
    const auto time = ToMilliseconds(m_now.time_since_epoch()).count();
    std::cerr << time << " " << aText << "\n";
  }
}

void
ScheduleWorld::Advance(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (!m_actions.empty() && m_actions.begin()->first <= end) {
    RunNextAction();
  }
  m_now = end;
}

void
ScheduleWorld::Run()
{
  const TimePoint end = m_now + m_options.length;
  while (m_now < end) {
    IssueRandomRequest();
    if (m_options.faults && RandomFraction() < 0.01) {
      InjectRandomFault();
    }
    Advance(RandomDuration(Milliseconds(60)));
  }
  // Faults end and the fleet converges before the final checks.
  m_cutLinks.clear();
  SetOutage(false);
  Advance(std::chrono::seconds(4));
  CheckRates();
  CheckAcceptedChanges();
}

void
ScheduleWorld::TickDaemon(std::size_t aDaemon)
{
  Daemon& daemon = *m_daemons[aDaemon];
  if (!daemon.alive) {
    return;
  }
  if (m_now < daemon.paused_until) {
    ScheduleAt(daemon.paused_until, [this, aDaemon] { TickDaemon(aDaemon); });
    return;
  }
  daemon.node->Tick(daemon.Now());
  HandleEvents(aDaemon);
  CheckFreshness(aDaemon);
  if (daemon.stopping && daemon.node->IsStopped(daemon.Now())) {
    daemon.alive = false;
    return;
  }
  ScheduleAt(m_now + kTickInterval, [this, aDaemon] { TickDaemon(aDaemon); });
}

void
ScheduleWorld::RunOnDaemon(std::size_t aDaemon,
                           std::function<void(Daemon&)> aAction)
{
  Daemon& daemon = *m_daemons[aDaemon];
  if (!daemon.alive) {
    return;
  }
  if (m_now < daemon.paused_until) {
    ScheduleAt(daemon.paused_until,
               [this, aDaemon, action = std::move(aAction)]() mutable {
                 RunOnDaemon(aDaemon, std::move(action));
               });
    return;
  }
  aAction(daemon);
  HandleEvents(aDaemon);
}

void
ScheduleWorld::SendDatagram(std::size_t aFrom,
                            const std::string& aAddress,
                            const PeerMessage& aMessage)
{
  const std::size_t target = FindDaemon(aAddress);
  if (target == m_daemons.size() || IsCut(aFrom, target)) {
    return;
  }
  const int copies = RandomFraction() < m_options.doubling ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (RandomFraction() < m_options.loss) {
      continue;
    }
    const Duration maxDelay =
      RandomFraction() < m_options.slow ? Milliseconds(2000) : Milliseconds(4);
    const NodeId from = m_daemons[aFrom]->id;
    const std::string address = m_daemons[aFrom]->address;
    ScheduleAt(m_now + RandomDuration(maxDelay),
               [this, target, from, address, aMessage] {
                 RunOnDaemon(target, [=](Daemon& aDaemon) {
                   aDaemon.node->OnMessage(
                     from, address, aMessage, aDaemon.Now());
                 });
               });
  }
}

void
ScheduleWorld::CallStore(std::size_t aFrom, const StoreCall& aCall)
{
  const Duration requestDelay = RandomDuration(Milliseconds(15));
  const Duration replyDelay = RandomDuration(Milliseconds(15));
  const bool write = aCall.kind == StoreCall::Kind::SwapHead;
  const bool replyLost = write && RandomFraction() < m_options.lost_answer;
  const bool writeDelayed =
    replyLost && RandomFraction() < m_options.late_write;
  const Duration writeDelay = RandomDuration(Milliseconds(3000));
  ScheduleAt(
    m_now + requestDelay,
    [this, aFrom, aCall, replyDelay, replyLost, writeDelayed, writeDelay] {
      StoreResult result;
      if (m_platform->outage) {
        // The platform may have received the write before the outage began.
        if (replyLost) {
          ScheduleAt(m_now + writeDelay, [this, aCall] { ApplyCall(aCall); });
        }
      } else if (writeDelayed) {
        ScheduleAt(m_now + writeDelay, [this, aCall] { ApplyCall(aCall); });
      } else {
        result = ApplyCall(aCall);
        if (replyLost) {
          result = StoreResult();
        }
      }
      result.id = aCall.id;
      ScheduleAt(m_now + replyDelay, [this, aFrom, result] {
        RunOnDaemon(aFrom, [=](Daemon& aDaemon) {
          aDaemon.node->OnStore(result, aDaemon.Now());
        });
      });
    });
}

StoreResult
ScheduleWorld::ApplyCall(const StoreCall& aCall)
{
  StoreResult result;
  result.status = StoreResult::Status::Ok;
  switch (aCall.kind) {
    case StoreCall::Kind::ReadHead:
      result.version = m_platform->version;
      result.text = m_platform->head;
      if (result.version == 0) {
        result.status = StoreResult::Status::Missing;
      }
      break;
    case StoreCall::Kind::SwapHead:
      if (aCall.version != m_platform->version) {
        result.status = StoreResult::Status::Conflict;
        break;
      }
      ++m_platform->version;
      m_platform->head = aCall.text;
      Trace("platform: head written: " + aCall.text);
      m_platform->written.emplace(DecodeHead(aCall.text).config_version, m_now);
      break;
    case StoreCall::Kind::PutObject:
      m_platform->objects[aCall.name] = aCall.text;
      break;
    case StoreCall::Kind::GetObject: {
      auto found = m_platform->objects.find(aCall.name);
      if (found == m_platform->objects.end()) {
        result.status = StoreResult::Status::Missing;
      } else {
        result.text = found->second;
      }
      break;
    }
    case StoreCall::Kind::ListHosts:
      break;
  }
  return result;
}

void
ScheduleWorld::CallPeer(std::size_t aFrom, const BulkCall& aCall)
{
  const std::size_t target = FindDaemon(aCall.address);
  const auto reply = [this, aFrom, id = aCall.id](const BulkReply& aReply) {
    ScheduleAt(m_now + RandomDuration(Milliseconds(5)),
               [this, aFrom, id, aReply] {
                 RunOnDaemon(aFrom, [=](Daemon& aDaemon) {
                   aDaemon.node->OnBulkReply(id, aReply, aDaemon.Now());
                 });
               });
  };
  const bool fails = target == m_daemons.size() || IsCut(aFrom, target) ||
                     !m_daemons[target]->alive;
  if (fails) {
    ScheduleAt(m_now + Milliseconds(300), [reply] { reply(std::nullopt); });
    return;
  }
  const NodeId from = m_daemons[aFrom]->id;
  ScheduleAt(m_now + RandomDuration(Milliseconds(10)),
             [this, aFrom, target, from, aCall, reply] {
               const bool paused = m_now < m_daemons[target]->paused_until;
               if (paused || !m_daemons[target]->alive) {
                 // The caller times out, but the request may still be served
                 // later.
                 ScheduleAt(m_now + Milliseconds(1000),
                            [reply] { reply(std::nullopt); });
               }
               RunOnDaemon(target, [=](Daemon& aDaemon) {
                 const BulkMessage answer =
                   aDaemon.node->ServeBulk(from, aCall.request, aDaemon.Now());
                 if (!paused && !IsCut(target, aFrom)) {
                   reply(answer);
                 } else if (!paused) {
                   ScheduleAt(m_now + Milliseconds(1000),
                              [reply] { reply(std::nullopt); });
                 }
               });
             });
}

std::size_t
ScheduleWorld::FindDaemon(const std::string& aAddress) const
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (m_daemons[i]->address == aAddress) {
      return i;
    }
  }
  return m_daemons.size();
}

bool
ScheduleWorld::IsCut(std::size_t aFrom, std::size_t aTo) const
{
  auto found = m_cutLinks.find({ aFrom, aTo });
  return found != m_cutLinks.end() && m_now < found->second;
}

void
ScheduleWorld::RequestToken(std::size_t aDaemon, const std::string& aAccount)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const FleetConfig* config = daemon.node->Config();
  const bool canServe = config != nullptr &&
                        config->accounts.count(aAccount) == 1 &&
                        daemon.node->IsFresh(daemon.Now());
  if (canServe) {
    const TimePoint deadline = daemon.Now() + Milliseconds(1500);
    daemon.tokens[daemon.node->AskToken(aAccount, deadline, daemon.Now())] =
      aAccount;
    HandleEvents(aDaemon);
  }
}

void
ScheduleWorld::RequestClaim(std::size_t aDaemon, const std::string& aKey)
{
  Daemon& daemon = *m_daemons[aDaemon];
  if (!daemon.node->IsFresh(daemon.Now())) {
    return;
  }
  Claim claim;
  claim.id = ClaimIdOf("account", aKey);
  const TimePoint deadline = daemon.Now() + Milliseconds(1500);
  daemon.claims[daemon.node->AskClaim(claim, deadline, daemon.Now())] = aKey;
  HandleEvents(aDaemon);
}

void
ScheduleWorld::HandleEvents(std::size_t aDaemon)
{
  Daemon& daemon = *m_daemons[aDaemon];
  for (const ControlEvent& event : daemon.node->TakeEvents()) {
    if (const auto* token = std::get_if<TokenResult>(&event)) {
      OnTokenResult(aDaemon, *token);
    } else if (const auto* claim = std::get_if<ClaimResult>(&event)) {
      OnClaimResult(aDaemon, *claim);
    }
  }
}

void
ScheduleWorld::OnTokenResult(std::size_t aDaemon, const TokenResult& aResult)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const std::string account = daemon.tokens[aResult.ask];
  daemon.tokens.erase(aResult.ask);
  if (aResult.verdict != TokenVerdict::Granted) {
    return;
  }
  // Some requests wait in a queue; some tokens are returned unused.
  const Duration queueTime = m_options.faults && RandomFraction() < 0.3
                               ? RandomDuration(Milliseconds(300))
                               : Duration(0);
  const bool unused = m_options.faults && RandomFraction() < 0.1;
  ScheduleAt(m_now + queueTime, [this, aDaemon, aResult, account, unused] {
    RunOnDaemon(aDaemon, [=](Daemon& aTarget) {
      const bool canServe = !unused && aTarget.Now() < aResult.valid_until &&
                            aTarget.node->IsFresh(aTarget.Now());
      if (canServe) {
        Trace("daemon " + std::to_string(aDaemon) + " serves " + account);
        m_served[account].push_back(m_now);
      } else {
        aTarget.node->ReturnToken(aResult.ask, aTarget.Now());
      }
    });
  });
}

void
ScheduleWorld::OnClaimResult(std::size_t aDaemon, const ClaimResult& aResult)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const std::string key = daemon.claims[aResult.ask];
  daemon.claims.erase(aResult.ask);
  if (aResult.reply.verdict != ClaimVerdict::Granted) {
    return;
  }
  const Duration queueTime =
    RandomFraction() < 0.3 ? RandomDuration(Milliseconds(500)) : Duration(0);
  ScheduleAt(m_now + queueTime, [this, aDaemon, ask = aResult.ask, key] {
    RunOnDaemon(aDaemon,
                [=](Daemon&) { RunClaimedRequest(aDaemon, ask, key); });
  });
}

void
ScheduleWorld::RunClaimedRequest(std::size_t aDaemon,
                                 AskId aAsk,
                                 const std::string& aKey)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const bool unreachable = m_options.faults && RandomFraction() < 0.2;
  if (!daemon.node->MaySend(aAsk, daemon.Now()) || unreachable) {
    daemon.node->ReleaseClaim(aAsk, daemon.Now());
    return;
  }
  Trace("daemon " + std::to_string(aDaemon) + " runs " + aKey);
  if (++m_runs[aKey] > 1) {
    m_violations.push_back("key " + aKey + " ran " +
                           std::to_string(m_runs[aKey]) + " times");
  }
  ScheduleAt(m_now + RandomDuration(Milliseconds(300)), [this, aDaemon, aAsk] {
    RunOnDaemon(aDaemon, [=](Daemon& aTarget) {
      KeptAnswer answer;
      answer.kept = true;
      aTarget.node->FinishClaim(aAsk, ClaimState::Done, answer, aTarget.Now());
    });
  });
}

void
ScheduleWorld::Propose(std::size_t aDaemon, const std::string& aRow)
{
  ChangeSet change;
  change.id = "change-" + aRow;
  change.rows = { { "host/" + aRow, nullptr, { { "state", "leaving" } } } };
  Daemon& daemon = *m_daemons[aDaemon];
  daemon.node->Propose(
    change,
    daemon.Now(),
    [this, aDaemon, aRow](const WriteResult& aResult, TimePoint) {
      Trace("daemon " + std::to_string(aDaemon) + " on " + aRow + ": verdict " +
            std::to_string(static_cast<int>(aResult.verdict)) + " " +
            aResult.detail);
      const bool isInForce = aResult.verdict == WriteVerdict::Accepted ||
                             aResult.verdict == WriteVerdict::Unchanged;
      if (isInForce) {
        m_accepted.insert(aRow);
      } else if (aResult.verdict != WriteVerdict::Unknown) {
        m_rejected.insert(aRow);
      }
    });
}

void
ScheduleWorld::Redivide(std::size_t aDaemon)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const FleetConfig* before = daemon.node->Config();
  const std::string& id = kAccounts[2].id;
  if (before == nullptr || before->accounts.count(id) == 0) {
    return;
  }
  FleetConfig after = *before;
  double& burst = after.accounts[id].burst;
  burst = burst == kSmallBurst ? kAccounts[2].burst : kSmallBurst;
  ChangeSet change;
  change.id = "divide-" + std::to_string(m_random());
  change.rows = Difference(*before, after);
  daemon.node->Propose(
    change, daemon.Now(), [](const WriteResult&, TimePoint) {});
}

std::size_t
ScheduleWorld::RandomRunningDaemon()
{
  std::vector<std::size_t> running;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    const Daemon& daemon = *m_daemons[i];
    if (daemon.alive && !daemon.stopping && m_now >= daemon.paused_until) {
      running.push_back(i);
    }
  }
  return running.empty() ? m_daemons.size()
                         : running[m_random() % running.size()];
}

void
ScheduleWorld::IssueRandomRequest()
{
  const std::size_t daemon = RandomRunningDaemon();
  if (daemon == m_daemons.size()) {
    return;
  }
  const double kind = RandomFraction();
  if (kind < 0.45) {
    for (int i = 0; i < kTokenRequestsPerStep; ++i) {
      RequestToken(daemon, kAccounts[0].id);
      RequestToken(daemon, kAccounts[2].id);
    }
  } else if (kind < 0.6) {
    RequestToken(daemon, kAccounts[1].id);
  } else if (kind < 0.98) {
    RequestClaim(daemon, "key-" + std::to_string(m_random() % 12));
  } else if (kind < 0.99) {
    Propose(daemon, "row-" + std::to_string(m_random() % 100000));
  } else {
    Redivide(daemon);
  }
}

void
ScheduleWorld::InjectRandomFault()
{
  const std::size_t daemon = RandomRunningDaemon();
  if (daemon == m_daemons.size()) {
    return;
  }
  switch (m_random() % 6) {
    case 0:
      Crash(daemon);
      Start();
      break;
    case 1:
      Pause(daemon, RandomDuration(Milliseconds(6000)));
      break;
    case 2:
      CutOneWay(
        daemon, RandomRunningDaemon(), RandomDuration(Milliseconds(6000)));
      break;
    case 3:
      for (std::size_t other = 0; other < m_daemons.size(); ++other) {
        CutOneWay(other, daemon, Milliseconds(3000));
      }
      break;
    case 4:
      SetOutage(!m_platform->outage);
      break;
    default:
      Stop(daemon);
      Start();
      break;
  }
}

void
ScheduleWorld::Crash(std::size_t aDaemon)
{
  Trace("crash of " + std::to_string(aDaemon));
  m_daemons[aDaemon]->alive = false;
  ++m_crashes;
}

void
ScheduleWorld::Pause(std::size_t aDaemon, Duration aTime)
{
  Trace("pause of " + std::to_string(aDaemon));
  m_daemons[aDaemon]->paused_until = m_now + aTime;
}

void
ScheduleWorld::CutOneWay(std::size_t aFrom, std::size_t aTo, Duration aTime)
{
  m_cutLinks[{ aFrom, aTo }] = m_now + aTime;
}

void
ScheduleWorld::SetOutage(bool aOutage)
{
  Trace(aOutage ? "outage" : "end of outage");
  m_platform->outage = aOutage;
}

void
ScheduleWorld::Stop(std::size_t aDaemon)
{
  Daemon& daemon = *m_daemons[aDaemon];
  Trace("stop of " + std::to_string(aDaemon));
  daemon.stopping = true;
  daemon.node->BeginStop(daemon.Now());
}

bool
ScheduleWorld::IsAlive(std::size_t aDaemon) const
{
  return m_daemons[aDaemon]->alive;
}

Node&
ScheduleWorld::NodeAt(std::size_t aDaemon)
{
  return *m_daemons[aDaemon]->node;
}

TimePoint
ScheduleWorld::NowAt(std::size_t aDaemon) const
{
  return m_daemons[aDaemon]->Now();
}

double
ScheduleWorld::RandomFraction()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration
ScheduleWorld::RandomDuration(Duration aMax)
{
  return Duration(static_cast<Duration::rep>(
    RandomFraction() * static_cast<double>(aMax.count())));
}

std::size_t
ScheduleWorld::Served() const
{
  std::size_t served = 0;
  for (const auto& entry : m_served) {
    served += entry.second.size();
  }
  return served;
}

std::size_t
ScheduleWorld::ServedOf(const std::string& aAccount) const
{
  auto found = m_served.find(aAccount);
  return found == m_served.end() ? 0 : found->second.size();
}

std::size_t
ScheduleWorld::RunsOf(const std::string& aKey) const
{
  auto found = m_runs.find(aKey);
  return found == m_runs.end() ? 0 : found->second;
}

std::size_t
ScheduleWorld::RunOnceRuns() const
{
  std::size_t runs = 0;
  for (const auto& entry : m_runs) {
    runs += entry.second;
  }
  return runs;
}

/// A fresh daemon holds a version at least as new as the newest one at the time
/// kFreshnessLeaseDuration ago, no daemon returns to an older version, and all
/// daemons agree on the content of a version.
void
ScheduleWorld::CheckFreshness(std::size_t aDaemon)
{
  Daemon& daemon = *m_daemons[aDaemon];
  const FleetConfig* config = daemon.node->Config();
  if (config == nullptr) {
    return;
  }
  if (config->version < daemon.last_version) {
    m_violations.push_back("a daemon returned to the older version " +
                           std::to_string(config->version));
  }
  if (config->version != daemon.last_version) {
    const std::string content = EncodeFleet(*config);
    auto [entry, inserted] =
      m_configByVersion.emplace(config->version, content);
    if (!inserted && entry->second != content) {
      m_violations.push_back("two daemons hold different contents of version " +
                             std::to_string(config->version));
      Trace("daemon " + std::to_string(aDaemon) + " differs on version " +
            std::to_string(config->version) + ": " + entry->second + " and " +
            content);
    }
  }
  daemon.last_version = config->version;
  auto newer = m_platform->written.upper_bound(config->version);
  if (newer == m_platform->written.end()) {
    return;
  }
  const bool fresh = daemon.node->IsFresh(daemon.Now());
  if (fresh && newer->second + kFreshFor < m_now) {
    m_violations.push_back("a daemon serves version " +
                           std::to_string(config->version) +
                           " long after a newer one was written");
  }
}

/// In every window of time each account is served at most rate x time + burst.
void
ScheduleWorld::CheckRates()
{
  for (const Account& account : kAccounts) {
    const auto& served = m_served[account.id];
    // A token bucket that never refuses states the same bound: its level must
    // not become negative.
    double level = account.burst;
    TimePoint last = served.empty() ? m_now : served.front();
    for (const TimePoint& time : served) {
      level =
        std::min(account.burst, level + ToSeconds(time - last) * account.rate);
      last = time;
      level -= 1;
      if (level < -1e-6) {
        m_violations.push_back("account " + account.id + " was served " +
                               std::to_string(-level) +
                               " requests beyond its rate and burst");
        break;
      }
    }
  }
}

/// Every accepted change is in the newest configuration, and no change that was
/// reported as not written is.
void
ScheduleWorld::CheckAcceptedChanges()
{
  std::size_t newest = m_daemons.size();
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    const bool canServe = m_daemons[i]->alive &&
                          m_now >= m_daemons[i]->paused_until &&
                          m_daemons[i]->node->Config() != nullptr &&
                          m_daemons[i]->node->IsFresh(m_daemons[i]->Now());
    const auto version = [this](std::size_t aDaemon) {
      return m_daemons[aDaemon]->node->Config()->version;
    };
    if (canServe &&
        (newest == m_daemons.size() || version(i) > version(newest))) {
      newest = i;
    }
  }
  if (newest == m_daemons.size()) {
    return;
  }
  const auto& hosts = m_daemons[newest]->node->Config()->hosts;
  for (const std::string& row : m_accepted) {
    if (hosts.count(row) == 0) {
      m_violations.push_back("accepted change " + row + " is missing");
    }
  }
  for (const std::string& row : m_rejected) {
    if (hosts.count(row) == 1 && m_accepted.count(row) == 0) {
      m_violations.push_back("change " + row +
                             " was reported as not written but is in force");
    }
  }
}

} // namespace sapphirelane
