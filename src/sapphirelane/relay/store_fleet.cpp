#include "sapphirelane/relay/store_fleet.h"

#include <algorithm>
#include <map>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/view_keeper.h"
#include "sapphirelane/relay/work_relay.h"

namespace sapphirelane {

namespace {

/// Between two words of this daemon's presence; a live daemon is heard three
/// times within PeerBookOptions::live_for.
constexpr Milliseconds kPresencePeriod{ 500 };

/// Time for which daemons that were lost or started again count as requests
/// that were not served: the 2 s over which the floor of sound endpoints in use
/// is judged, and as long again for the fleet to know its endpoints anew.
constexpr Milliseconds kUpsetFor{ 4000 };

/// Longest uptime that is told; far above kUpsetFor.
constexpr std::int64_t kMostUptimeMs = 1'000'000'000;

/// Daemons of each other data centre that are told of the presence at a time.
constexpr std::size_t kRemotePresence = 2;

/// Daemons from which on news of work stays in the data centre of the endpoint,
/// so that messages grow with the data centre and not with the fleet.
constexpr std::size_t kLargeFleet = 48;

/// Between two tries to write this daemon's entry or read those of others.
constexpr Milliseconds kAnnounceRetry{ 1000 };

/// Claims are valid for as long as the request; nothing lapses here.
constexpr Milliseconds kTokenLife{ 60000 };

/// Tokens that can still be given back: more than requests in flight.
constexpr std::size_t kMostTokens = 8192;

class RelayedFleet : public StoreFleet
{
public:
  RelayedFleet(StoreFleetOptions aOptions, StoreFleetEnv& aEnv)
    : m_options(std::move(aOptions))
    , m_env(aEnv)
    , m_random(m_options.seed)
    , m_peers(m_options.peers, m_options.self)
    , m_quota(m_options.quota)
    , m_extras(m_options.extras)
    , m_sender(m_env, m_peers, m_random)
    , m_replica(m_options,
                m_env,
                m_peers,
                m_sender,
                m_random,
                [this](TimePoint aNow, const char* aFrom) {
                  OnViewChanged(aNow, aFrom);
                })
    , m_load(m_options.self, m_peers, m_sender, m_quota, m_extras)
    , m_view(m_replica.View())
  {
    for (const std::string& seed : m_options.seeds) {
      m_peers.OnSeed(seed);
    }
  }

  // FleetControl.

  const FleetConfig* Config() const override { return m_view.Config(); }
  const KeyDirectory& Keys() const override { return m_keys; }
  bool IsFresh(TimePoint /*aNow*/) const override { return true; }
  std::optional<Duration> ViewAge(TimePoint aNow) const override
  {
    return m_view.Age(aNow);
  }
  std::pair<std::size_t, std::size_t> Rank() const override { return m_rank; }
  std::string DataCentre() const override { return m_options.self.data_centre; }
  bool HearsAllWork() const override { return !m_large; }

  AskId AskToken(const std::string& aAccount,
                 TimePoint /*aDeadline*/,
                 TimePoint aNow) override
  {
    TokenResult result;
    result.ask = ++m_lastAsk;
    result.valid_until = aNow + kTokenLife;
    const auto wait = m_quota.Take(aAccount, aNow);
    if (wait) {
      result.verdict = TokenVerdict::Refused;
      result.retry_after = std::max(Milliseconds(1), ToMilliseconds(*wait));
    } else {
      result.verdict = TokenVerdict::Granted;
      m_spent[result.ask] = aAccount;
      if (m_spent.size() > kMostTokens) {
        m_spent.erase(m_spent.begin()); // It has long been used.
      }
      m_load.RecordSpent(aAccount, 1);
    }
    m_events.emplace_back(result);
    return result.ask;
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    auto found = m_spent.find(aAsk);
    if (found != m_spent.end()) {
      m_quota.Return(found->second, aNow);
      m_load.RecordSpent(found->second, -1);
      m_spent.erase(found);
    }
  }

  AskId AskClaim(Claim /*aClaim*/,
                 TimePoint /*aDeadline*/,
                 TimePoint /*aNow*/) override
  {
    // Each attempt of a caller has an id of its own here and comes to one
    // daemon, so there is no claim that another one could hold.
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
    // Every result is told by ShareWork.
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

  double Shortfall(const std::string& aService, TimePoint aNow) override
  {
    // What callers lost at daemons that were killed is counted by nobody.
    return std::max(m_upset, m_load.Shortfall(aService, aNow));
  }

  bool TakeExtra(const std::string& aService, TimePoint aNow) override
  {
    return m_extras.Take(aService, aNow);
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    return std::exchange(m_events, {});
  }

  // StoreFleet.

  void Tick(TimePoint aNow) override
  {
    m_begun = m_begun == TimePoint{} ? aNow : m_begun;
    m_peers.Tick(aNow);
    Announce(aNow);
    m_replica.Tick(aNow);
    if (aNow >= m_nextPresence) {
      m_nextPresence = aNow + kPresencePeriod;
      SendPresence(aNow);
      AddEvidence(m_load.RemoveDeadDaemons(aNow));
      const std::size_t live = m_peers.Live(aNow);
      const std::size_t counted = m_peers.Counted(aNow);
      NoteHeard(live, counted, aNow);
    }
    m_load.Tick(aNow);
  }

  void OnMessage(const std::string& aAddress,
                 const PeerMessage& aMessage,
                 TimePoint aNow) override
  {
    std::visit([&](const auto& aOne) { Handle(aAddress, aOne, aNow); },
               aMessage);
  }

  void OnSource(const SourceResult& aResult, TimePoint aNow) override
  {
    NoteStore(aResult);
    switch (aResult.kind) {
      case SourceCall::Kind::ReadEndpoints:
        m_replica.OnEndpointsRead(aResult, aNow);
        break;
      case SourceCall::Kind::ReadConfig:
        m_replica.OnConfigRead(aResult, aNow);
        break;
      case SourceCall::Kind::ReadHosts:
        OnHostsRead(aResult, aNow);
        break;
      case SourceCall::Kind::WriteHost:
        m_written = aResult.answered;
        break;
      case SourceCall::Kind::RemoveHost:
        break;
    }
  }

  void OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow) override
  {
    m_replica.OnBulkReply(aCall, aReply, aNow);
  }

  BulkMessage ServeBulk(const BulkMessage& aRequest, TimePoint aNow) override
  {
    const auto* fetch = std::get_if<FetchView>(&aRequest);
    return fetch == nullptr ? ViewReply{} : m_replica.AnswerFetch(*fetch, aNow);
  }

  void BeginStop(TimePoint aNow) override
  {
    m_leaving = true;
    SendPresence(aNow);
    SourceCall call;
    call.kind = SourceCall::Kind::RemoveHost;
    call.host.host = m_options.self.host;
    m_env.CallSource(call);
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
    return status;
  }

private:
  // The store.

  void Announce(TimePoint aNow)
  {
    if (m_listed || aNow < m_nextAnnounce) {
      return;
    }
    m_nextAnnounce = aNow + kAnnounceRetry;
    SourceCall call;
    call.kind =
      m_written ? SourceCall::Kind::ReadHosts : SourceCall::Kind::WriteHost;
    call.host = { m_options.self.host,
                  m_options.self.data_centre,
                  m_options.self.address };
    m_env.CallSource(call);
    if (!m_written) {
      // Whoever reads later of two daemons finds the other's entry.
      call.kind = SourceCall::Kind::ReadHosts;
      m_env.CallSource(call);
    }
  }

  void NoteStore(const SourceResult& aResult)
  {
    if (aResult.answered == m_storeAnswers) {
      return;
    }
    m_storeAnswers = aResult.answered;
    LogFields fields;
    fields.Add("call", SourceCallName(aResult.kind));
    if (aResult.answered) {
      LogLine("store", "The store answers.", fields);
    } else {
      LogLine("store",
              "The store does not answer.",
              fields.Add("error", aResult.error));
    }
  }

  void OnHostsRead(const SourceResult& aResult, TimePoint aNow)
  {
    if (!aResult.answered) {
      return;
    }
    m_listed = m_written;
    for (const HostEntry& entry : aResult.hosts) {
      m_peers.OnListed(entry, aNow);
    }
    SendPresence(aNow);
  }

  // The view.

  void Handle(const std::string& aAddress,
              const ViewNews& aNews,
              TimePoint aNow)
  {
    m_replica.OnUpdate(aAddress, aNews, aNow);
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
              .Add("store_version", m_view.Version())
              .Add("age_ms", m_view.Age(aNow))
              .Add("from", aFrom));
  }

  // Presence.

  PresenceNews Presence(TimePoint aNow) const
  {
    PresenceNews news;
    news.self = m_options.self;
    news.started_ms = m_options.started_ms;
    news.uptime_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(
      ToMilliseconds(aNow - m_begun).count(), kMostUptimeMs));
    news.leaving = m_leaving;
    news.neighbours = m_peers.NeighbourHashes(aNow);
    return news;
  }

  void SendPresence(TimePoint aNow)
  {
    m_env.Send(m_peers.PresenceTargets(kRemotePresence, m_random),
               Presence(aNow));
  }

  void Handle(const std::string& aAddress,
              const PresenceNews& aNews,
              TimePoint aNow)
  {
    const bool isNew = m_peers.OnPresence(aNews, aNow);
    if (isNew) {
      LogLine("peers",
              "A daemon is heard.",
              LogFields()
                .Add("host", aNews.self.host)
                .Add("data_centre", aNews.self.data_centre)
                .Add("leaving", aNews.leaving ? "yes" : "no"));
      m_env.Send({ aAddress }, Presence(aNow));
    }
  }

  void NoteHeard(std::size_t aLive, std::size_t aCounted, TimePoint aNow)
  {
    m_quota.SetHeard(aLive, aCounted);
    m_upset = m_peers.Upset(kUpsetFor, aNow);
    m_large = aCounted > kLargeFleet;
    m_load.SetLarge(m_large);
    m_rank = { m_peers.CountedOrder(aNow), aCounted };
    m_extras.SetShare(m_quota.Share());
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

  // Work.

  void Handle(const std::string& /*aAddress*/,
              const WorkNews& aNews,
              TimePoint aNow)
  {
    AddEvidence(m_load.OnUpdate(aNews, aNow));
  }

  void AddEvidence(std::vector<FleetEvidence> aEvidence)
  {
    for (FleetEvidence& one : aEvidence) {
      m_events.emplace_back(std::move(one));
    }
  }

  /// Messages of another kind of fleet mean nothing to this one.
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
  QuotaLedger m_quota;
  ExtraBudget m_extras;
  UpdateSender m_sender;
  ViewReplica m_replica;
  LoadExchange m_load;
  const FleetView& m_view; ///< The keeper's.
  KeyDirectory m_keys;
  std::vector<ControlEvent> m_events;
  std::map<AskId, std::string> m_spent; ///< Accounts of tokens in use.
  AskId m_lastAsk = 0;
  TimePoint m_begun{}; ///< First tick.
  TimePoint m_nextAnnounce{};
  TimePoint m_nextPresence{};
  std::uint64_t m_loadedVersion = 0;
  std::uint64_t m_loadedRevision = 0;
  std::size_t m_live = 1;
  double m_upset = 0;                                 ///< See PeerBook::Upset.
  std::pair<std::size_t, std::size_t> m_rank{ 0, 1 }; ///< For subsets.
  bool m_large = false;                               ///< The fleet is large.
  bool m_written = false;
  bool m_listed = false;
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
  return std::make_unique<RelayedFleet>(std::move(aOptions), aEnv);
}

} // namespace sapphirelane
