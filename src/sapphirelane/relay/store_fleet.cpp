#include "sapphirelane/relay/store_fleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/discovery.h"
#include "sapphirelane/relay/load_exchange.h"
#include "sapphirelane/relay/retry_handover.h"
#include "sapphirelane/relay/seed_schedule.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/view_keeper.h"
#include "sapphirelane/routing/cold_start_limits.h"

namespace sapphirelane {

namespace {

/// Interval of this daemon's presence updates (heartbeats). Three of them fit
/// into PeerTableOptions::live_for.
constexpr Milliseconds kPresenceInterval{ 500 };

/// Time for which failed or restarted daemons count as unserved requests: the
/// 2 s window over which the minimum healthy capacity is judged, and 2 s more
/// until the fleet knows the state of its endpoints again.
constexpr Milliseconds kChurnWindow{ 4000 };

/// Upper limit of the reported uptime; far above kChurnWindow.
constexpr std::int64_t kMaxReportedUptimeMs = 1'000'000'000;

/// Daemons of each other data centre that each presence update is sent to.
constexpr std::size_t kPresenceTargetsPerRemoteCentre = 2;

/// Daemons of its own data centre that each presence update is sent to in a
/// large one.
constexpr std::size_t kGossipTargets = 5;

/// Time after which all daemons know what one of them has reported, or notice
/// that they hear nothing; longer in a large fleet, where reports are added up
/// on the way.
constexpr Milliseconds kReportTime{ 500 };
constexpr Milliseconds kReportTimeLargeFleet{ 1000 };

/// Fleets with more daemons than this count as large, see LoadExchange.
constexpr std::size_t kLargeFleetDaemons = 48;

/// Daemons of each other data centre that forward the report of an endpoint
/// that leaves or names a limit. It is sent once; a daemon that does not get it
/// learns from the endpoint or the view.
constexpr std::size_t kRelaysOfLeavesPerCentre = 2;

/// Time without a further host after which a daemon that has started counts as
/// knowing all hosts, and the uptime from which it does in any case. Until then
/// it sends nothing to cold endpoints. It is longer than a second, so that two
/// runs on one host do not send in the same second.
constexpr Milliseconds kAllHostsKnownAfter{ 2000 };
constexpr Milliseconds kAllHostsKnownUptime{ 30000 };

/// Validity of a granted token. It only has to outlast the request, as no right
/// to send expires in this kind of fleet.
constexpr Milliseconds kTokenLifetime{ 60000 };

/// Tokens that can still be returned; more than there are requests in flight.
constexpr std::size_t kMaxReturnableTokens = 8192;

class StoreFleetImpl : public StoreFleet
{
public:
  StoreFleetImpl(StoreFleetOptions aOptions, StoreFleetEnv& aEnv)
    : m_options(std::move(aOptions))
    , m_env(aEnv)
    , m_random(m_options.seed)
    , m_peers(m_options.peers, m_options.self)
    , m_seeds(OtherAddresses(m_options.seeds, m_options.self.address))
    , m_quota(m_options.quota)
    , m_retries(m_options.extras)
    , m_sender(m_env, m_peers, m_random)
    , m_discovery(m_options.self,
                  !m_options.seeds.empty(),
                  m_env,
                  m_peers,
                  m_random)
    , m_replica(m_options,
                m_env,
                m_peers,
                m_sender,
                m_random,
                [this](TimePoint aNow, const char* aFrom) {
                  OnViewChanged(aNow, aFrom);
                })
    , m_load(m_options.self, m_peers, m_sender, m_quota, m_retries)
    , m_retryHandover(m_options.new_fleet,
                      m_options.extras.window,
                      m_env,
                      m_peers,
                      m_retries,
                      m_random)
    , m_view(m_replica.View())
  {
  }

  // FleetControl.

  const FleetConfig* Config() const override { return m_view.Config(); }
  const KeyDirectory& Keys() const override { return m_keys; }
  bool IsFresh(TimePoint /*aNow*/) const override { return true; }
  std::optional<ViewState> View(TimePoint aNow) const override
  {
    return ViewState{ m_view.Version(), m_view.Age(aNow), m_replica.Source() };
  }
  std::pair<std::size_t, std::size_t> Rank() const override { return m_rank; }
  std::string DataCentre() const override { return m_options.self.data_centre; }
  bool HearsWorkOf(const std::string& aEndpoint) const override
  {
    return m_load.HearsWorkOf(aEndpoint);
  }
  std::uint64_t HearingRevision() const override
  {
    return m_load.HearingRevision();
  }

  AskId AskToken(const std::string& aAccount,
                 TimePoint /*aDeadline*/,
                 TimePoint aNow) override
  {
    TokenResult result;
    result.ask = ++m_lastAsk;
    result.valid_until = aNow + kTokenLifetime;
    const auto wait = m_quota.Take(aAccount, aNow);
    if (wait) {
      result.verdict = TokenVerdict::Refused;
      result.retry_after = std::max(Milliseconds(1), ToMilliseconds(*wait));
    } else {
      result.verdict = TokenVerdict::Granted;
      m_spentTokens[result.ask] = aAccount;
      if (m_spentTokens.size() > kMaxReturnableTokens) {
        m_spentTokens.erase(
          m_spentTokens.begin()); // The oldest token was used long ago.
      }
      m_load.RecordSpent(aAccount, 1);
    }
    m_events.emplace_back(result);
    return result.ask;
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    auto found = m_spentTokens.find(aAsk);
    if (found != m_spentTokens.end()) {
      m_quota.Return(found->second, aNow);
      m_load.RecordSpent(found->second, -1);
      m_spentTokens.erase(found);
    }
  }

  AskId AskClaim(Claim /*aClaim*/,
                 TimePoint /*aDeadline*/,
                 TimePoint /*aNow*/) override
  {
    // In this fleet each attempt of a caller has a unique id and is sent to one
    // daemon only, so no other daemon can hold the claim.
    ClaimResult result;
    result.ask = ++m_lastAsk;
    result.reply.verdict = ClaimVerdict::Granted;
    m_events.emplace_back(result);
    return result.ask;
  }

  bool MaySend(AskId /*aClaim*/, TimePoint /*aNow*/) override { return true; }

  void FinishClaim(AskId /*aClaim*/,
                   ClaimState /*aState*/,
                   const KeptAnswer& /*aAnswer*/,
                   TimePoint /*aNow*/) override
  {
  }

  void ReleaseClaim(AskId /*aClaim*/, TimePoint /*aNow*/) override {}

  void ShareEvidence(const FleetEvidence& /*aEvidence*/,
                     TimePoint /*aNow*/) override
  {
    // ShareWork already reports every result.
  }

  void ShareWork(const WorkReport& aReport, TimePoint aNow) override
  {
    m_load.RecordLocalWork(aReport, aNow);
  }

  void NoteOutcome(const std::string& aService,
                   bool aServed,
                   TimePoint aNow) override
  {
    m_load.RecordOutcome(aService, aServed, aNow);
  }

  void ShareLeave(const LeaveReport& aReport, TimePoint aNow) override
  {
    LeaveNews update;
    update.endpoint = aReport.endpoint;
    update.lifetime = aReport.lifetime;
    m_sender.SendToAll(
      update, m_sender.PickRelays(kRelaysOfLeavesPerCentre, aNow), aNow);
  }

  void ShareLimit(const LimitReport& aReport, TimePoint aNow) override
  {
    LimitNews update;
    update.endpoint = aReport.endpoint;
    update.lifetime = aReport.lifetime;
    update.limited = aReport.limit.has_value();
    update.limit = aReport.limit.value_or(0);
    m_sender.SendToAll(
      update, m_sender.PickRelays(kRelaysOfLeavesPerCentre, aNow), aNow);
  }

  void ShareCold(const ColdReport& aReport, TimePoint aNow) override
  {
    ColdNews update;
    update.endpoint = aReport.endpoint;
    update.lifetime = aReport.lifetime;
    update.left_ms = static_cast<std::uint32_t>(aReport.left.count());
    m_sender.SendToAll(
      update, m_sender.PickRelays(kRelaysOfLeavesPerCentre, aNow), aNow);
  }

  std::optional<std::size_t> ColdOwnerRank(const std::string& aEndpoint,
                                           std::size_t aOwners,
                                           TimePoint /*aNow*/) const override
  {
    if (!m_knowsAllHosts || m_leaving) {
      return std::nullopt;
    }
    return RankOfOwner(aEndpoint, m_peers.SelfHash(), m_knownHosts, aOwners);
  }

  void ShareCrash(const CrashReport& aReport, TimePoint aNow) override
  {
    CrashNews update;
    update.served = aReport.served;
    update.request = aReport.request;
    update.process = aReport.process;
    update.worked_ms =
      static_cast<std::uint32_t>(ToMilliseconds(aReport.worked).count());
    m_sender.SendToAll(
      update, m_sender.PickRelays(kRelaysOfLeavesPerCentre, aNow), aNow);
  }

  double LimitShare() const override { return m_quota.Share(); }

  double Shortfall(const std::string& aService, TimePoint aNow) override
  {
    // Requests that were lost at failed daemons are counted by no daemon, so
    // churn stands in for them.
    return std::max(m_churn, m_load.Shortfall(aService, aNow));
  }

  RetryDecision TakeExtra(const std::string& aService,
                          const RetryUrgency& aUrgency,
                          TimePoint aNow) override
  {
    const double reserve = m_urgencies.OnAsk(aService, aUrgency, aNow);
    return m_retries.Take(aService, aNow, m_random, reserve);
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    return std::exchange(m_events, {});
  }

  // StoreFleet.

  void Tick(TimePoint aNow) override
  {
    m_peers.Tick(aNow);
    m_replica.Tick(aNow);
    m_retryHandover.Tick(aNow);
    m_discovery.SetStoreEra(m_view.Era());
    m_discovery.Tick(m_replica.Uptime(aNow), aNow);
    if (aNow >= m_nextPresence) {
      m_nextPresence = aNow + kPresenceInterval;
      SendPresence(aNow);
      AddEvidence(m_load.RemoveDeadDaemons(aNow));
      const std::size_t live = m_peers.Live(aNow);
      const std::size_t counted = m_peers.Counted(aNow);
      UpdateMembership(live, counted, aNow);
      UpdateKnownHosts(aNow);
    }
    SendToSeed(aNow);
    m_load.Tick(aNow);
  }

  void OnMessage(const std::string& aAddress,
                 const PeerMessage& aMessage,
                 TimePoint aNow) override
  {
    std::visit([&](const auto& aPart) { Handle(aAddress, aPart, aNow); },
               aMessage);
  }

  void OnSource(const SourceResult& aResult, TimePoint aNow) override
  {
    RecordStoreState(aResult);
    switch (aResult.kind) {
      case SourceCall::Kind::ReadEndpoints:
        m_replica.OnEndpointsRead(aResult, aNow);
        break;
      case SourceCall::Kind::ReadConfig:
        m_replica.OnConfigRead(aResult, aNow);
        break;
      case SourceCall::Kind::ReadHosts:
        m_discovery.OnHostsRead(aResult, aNow);
        SendPresence(aNow);
        break;
      case SourceCall::Kind::WriteHost:
        m_discovery.OnHostWritten(aResult);
        break;
      case SourceCall::Kind::RemoveHost:
        break;
    }
  }

  void OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow) override
  {
    if (!m_retryHandover.OnBulkReply(aCall, aReply, aNow)) {
      m_replica.OnBulkReply(aCall, aReply, aNow);
    }
  }

  BulkMessage ServeBulk(const BulkMessage& aRequest, TimePoint aNow) override
  {
    if (const auto* retries = std::get_if<FetchRetries>(&aRequest)) {
      return m_retries.Snapshot(*retries, aNow);
    }
    const auto* fetch = std::get_if<FetchView>(&aRequest);
    return fetch == nullptr ? ViewReply{} : m_replica.AnswerFetch(*fetch, aNow);
  }

  void BeginStop(TimePoint aNow) override
  {
    m_leaving = true;
    SendPresence(aNow);
    m_discovery.Leave();
  }

  StoreFleetStatus Status(TimePoint aNow) const override
  {
    StoreFleetStatus status;
    status.config_version = m_view.ConfigVersion();
    const FleetConfig* config = m_view.Config();
    status.endpoints = config == nullptr ? 0 : config->endpoints.size();
    status.view_age = m_view.Age(aNow);
    status.live = m_peers.Live(aNow);
    status.counted = m_peers.Counted(aNow);
    status.store_answers = m_storeAnswers;
    status.store_era = m_view.Era();
    for (const auto& [name, since] : m_view.Evacuations().InForce()) {
      status.evacuated[name] = aNow - since;
    }
    return status;
  }

private:
  // The store.

  void RecordStoreState(const SourceResult& aResult)
  {
    if (aResult.answered == m_storeAnswers) {
      return;
    }
    m_storeAnswers = aResult.answered;
    LogFields fields;
    fields.Add("call", SourceCallName(aResult.kind));
    if (aResult.answered) {
      LogLine("store", "The store is reachable.", fields);
    } else {
      LogLine("store",
              "The store cannot be reached; reads are retried.",
              fields.Add("error", aResult.error));
    }
  }

  // The view.

  void Handle(const std::string& aAddress,
              const ViewNews& aUpdate,
              TimePoint aNow)
  {
    m_replica.OnUpdate(aAddress, aUpdate, aNow);
  }

  void OnViewChanged(TimePoint aNow, const char* aFrom)
  {
    const FleetConfig* config = m_view.Config();
    const bool same =
      config == nullptr || (config->version == m_loadedVersion &&
                            config->endpoint_revision == m_loadedRevision);
    if (same) {
      return;
    }
    if (config->version != m_loadedVersion) {
      m_keys.Load(*config);
      m_quota.Load(*config, aNow);
    }
    m_load.Load(*config);
    m_loadedVersion = config->version;
    m_loadedRevision = config->endpoint_revision;
    LogLine("view",
            "The view has changed.",
            LogFields()
              .Add("config", config->version)
              .Add("endpoints", std::uint64_t{ config->endpoints.size() })
              .Add("store_version", m_view.Version().Text())
              .Add("age_ms", m_view.Age(aNow))
              .Add("from", aFrom));
  }

  // Presence.

  PresenceNews Presence(TimePoint aNow) const
  {
    PresenceNews update;
    update.self = m_options.self;
    update.started_ms = m_options.started_ms;
    update.uptime_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(
      m_replica.Uptime(aNow).count(), kMaxReportedUptimeMs));
    update.leaving = m_leaving;
    m_peers.ListNeighbours(update, aNow);
    return update;
  }

  static std::vector<std::string> OtherAddresses(
    std::vector<std::string> aAddresses,
    const std::string& aOwn)
  {
    aAddresses.erase(std::remove(aAddresses.begin(), aAddresses.end(), aOwn),
                     aAddresses.end());
    return aAddresses;
  }

  void SendToSeed(TimePoint aNow)
  {
    if (!m_seeds.IsDue(aNow)) {
      return;
    }
    const std::string seed =
      m_seeds.PickSeed(m_peers.Live(aNow), aNow, m_random);
    if (!seed.empty()) {
      m_env.Send({ seed }, Presence(aNow));
    }
  }

  void SendPresence(TimePoint aNow)
  {
    // A daemon that leaves tells all daemons directly.
    const bool gossips = !m_leaving && m_peers.Gossips(aNow);
    m_env.Send(gossips ? m_peers.GossipTargets(kGossipTargets, aNow, m_random)
                       : m_peers.PresenceTargets(
                           kPresenceTargetsPerRemoteCentre, m_random),
               Presence(aNow));
  }

  void Handle(const std::string& aAddress,
              const PresenceNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.uptime_ms < kMaxReportedUptimeMs) {
      m_replica.RecordDelay(
        aUpdate.self.id, Milliseconds(aUpdate.uptime_ms), aNow);
    }
    const bool isNew = m_peers.OnPresence(aUpdate, aNow);
    m_discovery.OnPresence(aAddress, aUpdate, aNow);
    if (isNew) {
      LogLine("peers",
              "A presence update from a new daemon or a new run was received.",
              LogFields()
                .Add("host", aUpdate.self.host)
                .Add("data_centre", aUpdate.self.data_centre)
                .Add("leaving", aUpdate.leaving ? "yes" : "no"));
    }
    if (isNew && !aUpdate.replies) {
      PresenceNews reply = Presence(aNow);
      reply.replies = true;
      m_env.Send({ aAddress }, reply);
    }
  }

  void Handle(const std::string& aAddress,
              const MembersAsk& aAsk,
              TimePoint aNow)
  {
    m_discovery.OnAsk(aAddress, aAsk, aNow);
  }

  void Handle(const std::string& /*aAddress*/,
              const MembersNews& aMembers,
              TimePoint aNow)
  {
    m_discovery.OnMembers(aMembers, aNow);
  }

  void UpdateMembership(std::size_t aLive, std::size_t aCounted, TimePoint aNow)
  {
    m_quota.SetHeard(aLive, aCounted);
    m_churn = m_peers.Upset(kChurnWindow, aNow);
    m_load.UpdateMembership(aCounted > kLargeFleetDaemons, aNow);
    m_rank = { m_peers.CountedOrder(aNow), aCounted };
    m_retries.SetShare(static_cast<double>(aLive) /
                       static_cast<double>(std::max(aLive, aCounted)));
    m_retries.SetFleet(aCounted,
                       aCounted > kLargeFleetDaemons ? kReportTimeLargeFleet
                                                     : kReportTime);
    if (aLive != m_live) {
      LogLine("peers",
              "Daemons that live have changed.",
              LogFields()
                .Add("live", std::uint64_t{ aLive })
                .Add("counted", std::uint64_t{ aCounted })
                .Add("quota_share", m_quota.Share()));
    }
    m_live = aLive;
  }

  /// Updates the hosts that own cold endpoints. A daemon that knows of fewer
  /// hosts than there are would own more endpoints than it should.
  void UpdateKnownHosts(TimePoint aNow)
  {
    m_knownHosts = m_peers.KnownHosts();
    if (m_knowsAllHosts) {
      return;
    }
    m_firstUpdateAt = m_firstUpdateAt == TimePoint{} ? aNow : m_firstUpdateAt;
    if (m_knownHosts.size() > m_mostKnownHosts) {
      m_mostKnownHosts = m_knownHosts.size();
      m_hostsGrewAt = aNow;
    }
    const bool settled =
      m_mostKnownHosts > 0 && aNow - m_hostsGrewAt >= kAllHostsKnownAfter;
    m_knowsAllHosts = settled || aNow - m_firstUpdateAt >= kAllHostsKnownUptime;
  }

  // Load updates.

  void Handle(const std::string& /*aAddress*/,
              const WorkNews& aUpdate,
              TimePoint aNow)
  {
    AddEvidence(m_load.OnUpdate(aUpdate, aNow));
  }

  void Handle(const std::string& /*aAddress*/,
              const CounterBase& aBase,
              TimePoint aNow)
  {
    m_load.OnBase(aBase, aNow);
  }

  // Endpoints that leave.

  void Handle(const std::string& /*aAddress*/,
              const LeaveNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.spread) {
      m_sender.SendLocally(aUpdate, aNow);
    }
    const FleetConfig* config = m_view.Config();
    if (config == nullptr) {
      return;
    }
    auto found = config->endpoints.find(aUpdate.endpoint);
    if (found != config->endpoints.end()) {
      m_events.emplace_back(LeaveReport{
        found->second.service, aUpdate.endpoint, aUpdate.lifetime });
    }
  }

  // Endpoints that name a limit.

  void Handle(const std::string& /*aAddress*/,
              const LimitNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.spread) {
      m_sender.SendLocally(aUpdate, aNow);
    }
    const FleetConfig* config = m_view.Config();
    const bool valid =
      !aUpdate.limited || (std::isfinite(aUpdate.limit) && aUpdate.limit >= 0);
    if (config == nullptr || !valid) {
      return;
    }
    auto found = config->endpoints.find(aUpdate.endpoint);
    if (found != config->endpoints.end()) {
      m_events.emplace_back(LimitReport{
        found->second.service,
        aUpdate.endpoint,
        aUpdate.lifetime,
        aUpdate.limited ? std::optional(aUpdate.limit) : std::nullopt });
    }
  }

  // Endpoints that are cold.

  void Handle(const std::string& /*aAddress*/,
              const ColdNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.spread) {
      m_sender.SendLocally(aUpdate, aNow);
    }
    const FleetConfig* config = m_view.Config();
    if (config == nullptr || Milliseconds(aUpdate.left_ms) > kMaxColdTime) {
      return;
    }
    auto found = config->endpoints.find(aUpdate.endpoint);
    if (found != config->endpoints.end()) {
      m_events.emplace_back(ColdReport{ found->second.service,
                                        aUpdate.endpoint,
                                        aUpdate.lifetime,
                                        Milliseconds(aUpdate.left_ms) });
    }
  }

  // Requests under which endpoints end.

  void Handle(const std::string& /*aAddress*/,
              const CrashNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.spread) {
      m_sender.SendLocally(aUpdate, aNow);
    }
    CrashReport report;
    report.request = aUpdate.request;
    report.served = aUpdate.served;
    report.process = aUpdate.process;
    report.worked = Milliseconds(aUpdate.worked_ms);
    m_events.emplace_back(report);
  }

  void AddEvidence(std::vector<FleetEvidence> aEvidence)
  {
    for (FleetEvidence& evidence : aEvidence) {
      m_events.emplace_back(std::move(evidence));
    }
  }

  /// Ignores messages that are only used by another kind of fleet.
  template<typename Other>
  void Handle(const std::string& /*aAddress*/,
              const Other& /*aMessage*/,
              TimePoint /*aNow*/)
  {
  }

  StoreFleetOptions m_options;
  StoreFleetEnv& m_env;
  Random m_random;
  PeerBook m_peers;
  SeedSchedule m_seeds;
  QuotaLedger m_quota;
  ExtraBudget m_retries;
  UrgencyReserve m_urgencies; ///< Of requests that ask for a retry.
  UpdateSender m_sender;
  Discovery m_discovery;
  ViewReplica m_replica;
  LoadExchange m_load;
  RetryHandover m_retryHandover;
  const FleetView& m_view; ///< Owned by m_replica.
  KeyDirectory m_keys;
  std::vector<ControlEvent> m_events;
  std::map<AskId, std::string> m_spentTokens; ///< Account by token.
  AskId m_lastAsk = 0;
  TimePoint m_nextPresence{};
  std::uint64_t m_loadedVersion = 0;
  std::uint64_t m_loadedRevision = 0;
  std::size_t m_live = 1;
  double m_churn = 0;                                 ///< See PeerTable::Churn.
  std::pair<std::size_t, std::size_t> m_rank{ 0, 1 }; ///< For subsetting.
  std::vector<std::uint32_t> m_knownHosts; ///< Hashes, without this host.
  std::size_t m_mostKnownHosts = 0;
  TimePoint m_hostsGrewAt{};
  TimePoint m_firstUpdateAt{};
  bool m_knowsAllHosts = false;
  bool m_leaving = false;
  bool m_storeAnswers = false;
};

} // namespace

const char*
SourceCallName(SourceCall::Kind aKind)
{
  switch (aKind) {
    case SourceCall::Kind::ReadEndpoints:
      return "read-endpoints";
    case SourceCall::Kind::ReadConfig:
      return "read-config";
    case SourceCall::Kind::ReadHosts:
      return "read-hosts";
    case SourceCall::Kind::WriteHost:
      return "write-host";
    case SourceCall::Kind::RemoveHost:
      break;
  }
  return "remove-host";
}

std::unique_ptr<StoreFleet>
MakeStoreFleet(StoreFleetOptions aOptions, StoreFleetEnv& aEnv)
{
  return std::make_unique<StoreFleetImpl>(std::move(aOptions), aEnv);
}

} // namespace sapphirelane
