#include "sapphirelane/relay/store_fleet.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/work_board.h"
#include "sapphirelane/routing/shortfall.h"

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

/// Daemons of each other data centre that spread a message there.
constexpr std::size_t kRelays = 1;
constexpr std::size_t kUrgentRelays = 2;

/// Daemons from which on news of work stays in the data centre of the endpoint,
/// so that messages grow with the data centre and not with the fleet.
constexpr std::size_t kLargeFleet = 48;

/// Between two sums that a data centre tells the others.
constexpr Milliseconds kCentrePeriod{ 100 };

/// Tells the sender of a data centre's sums from the daemon that sends them.
constexpr NodeId kCentreMark = 0x8000000000000000ULL;

/// Longest time for which news of good work is held back to be summed up.
constexpr Milliseconds kNewsPeriod{ 20 };

/// Between two tries to write this daemon's entry or read those of others.
constexpr Milliseconds kAnnounceRetry{ 1000 };

/// A view this old, with a store that does not answer, is asked of a peer.
constexpr Milliseconds kAskPeerAfter{ 1300 };
constexpr Milliseconds kAskPeerPeriod{ 1000 };

/// Time for a neighbour to read a new configuration and to give it on, before a
/// daemon reads it itself, and the random part of it.
constexpr Milliseconds kConfigPatience{ 250 };
constexpr int kConfigJitterMs = 150;

/// Between two reads of a configuration that is known to be there.
constexpr Milliseconds kConfigRetry{ 150 };

/// Sequence up to which a daemon's counters are taken whole when it is first
/// heard; beyond it, it counted before this daemon listened.
constexpr std::uint32_t kYoungSequence = 3;

/// Claims are valid for as long as the request; nothing lapses here.
constexpr Milliseconds kTokenLife{ 60000 };

/// Tokens that can still be given back: more than requests in flight.
constexpr std::size_t kMostTokens = 8192;

/// Largest changes that are told in one datagram.
constexpr std::ptrdiff_t kMostChanges = 24;

WireEndpoint
ToWire(const EndpointChange& aChange)
{
  WireEndpoint wire;
  wire.id = aChange.id;
  wire.version = aChange.version;
  wire.gone = !aChange.endpoint.has_value();
  if (aChange.endpoint) {
    const Endpoint& endpoint = *aChange.endpoint;
    wire.leaving = endpoint.state == LifeState::Leaving;
    wire.service = endpoint.service;
    wire.address = endpoint.address;
    wire.data_centre = endpoint.data_centre;
    wire.slots = endpoint.slots;
    wire.lifetime = endpoint.lifetime;
    wire.cold_ms = static_cast<std::uint32_t>(endpoint.cold.count());
  }
  return wire;
}

EndpointChange
FromWire(const WireEndpoint& aWire)
{
  EndpointChange change{ aWire.id, aWire.version, std::nullopt };
  if (!aWire.gone) {
    Endpoint endpoint;
    endpoint.id = aWire.id;
    endpoint.state = aWire.leaving ? LifeState::Leaving : LifeState::InService;
    endpoint.service = aWire.service;
    endpoint.address = aWire.address;
    endpoint.data_centre = aWire.data_centre;
    endpoint.slots = std::max(1U, aWire.slots);
    endpoint.lifetime = aWire.lifetime;
    endpoint.cold = Milliseconds(aWire.cold_ms);
    change.endpoint = endpoint;
  }
  return change;
}

template<typename From, typename Convert>
auto
Converted(const std::vector<From>& aItems, const Convert& aConvert)
{
  std::vector<decltype(aConvert(aItems.front()))> result;
  result.reserve(aItems.size());
  for (const From& item : aItems) {
    result.push_back(aConvert(item));
  }
  return result;
}

class RelayedFleet : public StoreFleet
{
public:
  RelayedFleet(StoreFleetOptions aOptions, StoreFleetEnv& aEnv)
    : m_options(std::move(aOptions))
    , m_env(aEnv)
    , m_random(m_options.seed)
    , m_view(m_options.view)
    , m_pacer(m_options.pacer)
    , m_peers(m_options.peers, m_options.self)
    , m_quota(m_options.quota)
    , m_extras(m_options.extras)
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
      m_board.NoteSpent(aAccount, 1);
    }
    m_events.emplace_back(result);
    return result.ask;
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    auto found = m_spent.find(aAsk);
    if (found != m_spent.end()) {
      m_quota.Return(found->second, aNow);
      m_board.NoteSpent(found->second, -1);
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
    m_board.NoteOwn(aReport);
    if (aReport.begins) {
      m_extras.NoteRequests(aReport.service, 1, aNow);
    }
    const bool bad = aReport.bad > 0 || aReport.shed > 0;
    if (bad || aReport.begins || aReport.extra) {
      SendNews(bad ? kUrgentRelays : kRelays, aNow);
    }
  }

  void NoteOutcome(const std::string& aService,
                   bool aServed,
                   TimePoint aNow) override
  {
    m_board.NoteOutcome(aService, aServed);
    m_shortfall[aService].Note(1, aServed ? 0 : 1, aNow);
  }

  double Shortfall(const std::string& aService, TimePoint aNow) override
  {
    // What callers lost at daemons that were killed is counted by nobody.
    return std::max(m_upset, m_shortfall[aService].Share(aNow));
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
    m_view.Tick(aNow);
    m_peers.Tick(aNow);
    Announce(aNow);
    ReadStore(aNow);
    AskPeer(aNow);
    if (aNow >= m_nextPresence) {
      m_nextPresence = aNow + kPresencePeriod;
      SendPresence(aNow);
      DropDead(aNow);
      const std::size_t live = m_peers.Live(aNow);
      const std::size_t counted = m_peers.Counted(aNow);
      NoteHeard(live, counted, aNow);
    }
    TellCentre(aNow);
    if (m_board.HasNews() && aNow - m_lastNews >= kNewsPeriod) {
      SendNews(kRelays, aNow);
    }
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
        OnEndpointsRead(aResult, aNow);
        break;
      case SourceCall::Kind::ReadConfig:
        OnConfigRead(aResult, aNow);
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
    if (aCall != m_peerCall) {
      return;
    }
    m_peerCall = 0;
    const auto* view = aReply ? std::get_if<ViewReply>(&*aReply) : nullptr;
    if (view != nullptr && view->known) {
      TakeView(*view, aNow);
    }
  }

  BulkMessage ServeBulk(const BulkMessage& aRequest, TimePoint aNow) override
  {
    ViewReply reply;
    const auto* fetch = std::get_if<FetchView>(&aRequest);
    const FleetConfig* config = m_view.Config();
    if (fetch == nullptr || config == nullptr) {
      return reply;
    }
    reply.known = true;
    reply.age_ms =
      static_cast<std::uint32_t>(ToMilliseconds(m_view.Age(aNow)).count());
    reply.version = m_view.Version();
    reply.endpoints = Converted(m_view.Endpoints(), ToWire);
    if (config->version > fetch->config_version) {
      reply.config = EncodedConfig(*config);
    }
    return reply;
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
  /// The configuration as text, made once for each version.
  const std::string& EncodedConfig(const FleetConfig& aConfig)
  {
    if (m_encodedVersion != aConfig.version) {
      FleetConfig copy = aConfig;
      copy.endpoints.clear();
      m_encoded = EncodeFleet(copy);
      m_encodedVersion = aConfig.version;
    }
    return m_encoded;
  }

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

  void ReadStore(TimePoint aNow)
  {
    const std::size_t order = m_peers.Order(aNow);
    const bool due = m_pacer.IsDue(m_view.Age(aNow), order, m_storeTime, aNow);
    if (due) {
      // First the configuration, so that a view counts as fresh, and others
      // rely on this daemon, only if both were read.
      m_pacer.Begin(aNow);
      m_readsBoth = true;
      ReadConfig();
    }
    const bool behind = m_newestConfig > m_view.ConfigVersion();
    if (behind && aNow >= m_nextConfigTry) {
      m_nextConfigTry = aNow + kConfigRetry;
      ReadConfig();
    }
  }

  void ReadConfig()
  {
    if (m_readsConfig) {
      return;
    }
    m_readsConfig = true;
    SourceCall call;
    call.kind = SourceCall::Kind::ReadConfig;
    call.after = m_configCursor;
    m_env.CallSource(call);
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

  void OnEndpointsRead(const SourceResult& aResult, TimePoint aNow)
  {
    m_pacer.End(aResult.answered, m_peers.Order(aNow), aNow, m_random);
    if (!aResult.answered) {
      return;
    }
    const EndpointBatch& batch = aResult.endpoints;
    const std::uint64_t base = batch.whole ? 0 : aResult.after;
    const Duration age = aNow - aResult.asked;
    std::vector<EndpointChange> news;
    std::copy_if(
      batch.changes.begin(),
      batch.changes.end(),
      std::back_inserter(news),
      [this](const EndpointChange& aOne) { return m_view.IsNews(aOne); });
    m_view.TakeEndpoints(base, batch.version, batch.changes, age, aNow);
    m_storeTime = age;
    OnViewChanged(aNow, "store");
    // After a whole table, those that lack any of it fetch it.
    TellView(batch.whole ? batch.version : aResult.after,
             batch.whole ? std::vector<EndpointChange>() : news,
             age,
             aNow);
  }

  void OnConfigRead(const SourceResult& aResult, TimePoint aNow)
  {
    m_readsConfig = false;
    const bool goesOn = std::exchange(m_readsBoth, false);
    if (!aResult.answered) {
      if (goesOn) {
        m_pacer.End(false, m_peers.Order(aNow), aNow, m_random);
      }
      return;
    }
    if (goesOn) {
      SourceCall call;
      call.kind = SourceCall::Kind::ReadEndpoints;
      call.after = m_view.Version();
      m_env.CallSource(call);
    }
    m_configCursor = std::max(m_configCursor, aResult.config.version);
    if (aResult.config.config && m_view.TakeConfig(*aResult.config.config)) {
      OnViewChanged(aNow, "store");
      TellView(m_view.Version(), {}, m_view.Age(aNow), aNow);
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

  void TellView(std::uint64_t aBase,
                std::vector<EndpointChange> aChanges,
                Duration aAge,
                TimePoint aNow)
  {
    std::sort(aChanges.begin(),
              aChanges.end(),
              [](const EndpointChange& aOne, const EndpointChange& aOther) {
                return aOne.version < aOther.version;
              });
    ViewNews news;
    news.age_ms = static_cast<std::uint32_t>(ToMilliseconds(aAge).count());
    news.held_config = m_view.ConfigVersion();
    news.config_version = std::max(m_newestConfig, news.held_config);
    news.base = aBase;
    // All messages take the same way, so that they keep their order.
    const auto relays = m_peers.Relays(kRelays, aNow, m_random);
    // Each message but the last follows on the one before it, so that one that
    // is lost leaves a gap that its receiver notices.
    auto first = aChanges.begin();
    while (aChanges.end() - first > kMostChanges) {
      const std::vector<EndpointChange> some(first, first + kMostChanges);
      news.changes = Converted(some, ToWire);
      news.version = some.back().version;
      Spread(news, relays, aNow);
      news.base = news.version;
      first += kMostChanges;
    }
    const std::vector<EndpointChange> rest(first, aChanges.end());
    news.changes = Converted(rest, ToWire);
    news.version = m_view.Version();
    Spread(news, relays, aNow);
  }

  /// Sends to all daemons of this data centre and to some of each other one,
  /// which send it on in theirs.
  template<typename News>
  void Spread(News aNews,
              const std::vector<std::string>& aRelays,
              TimePoint aNow)
  {
    aNews.spread = false;
    const PeerMessage near = aNews;
    for (const std::string& address : m_peers.Neighbours(aNow)) {
      m_env.Send(address, near);
    }
    aNews.spread = true;
    const PeerMessage far = aNews;
    for (const std::string& address : aRelays) {
      m_env.Send(address, far);
    }
  }

  template<typename News>
  void SpreadOn(News aNews, TimePoint aNow)
  {
    aNews.spread = false;
    const PeerMessage message = aNews;
    for (const std::string& address : m_peers.Neighbours(aNow)) {
      m_env.Send(address, message);
    }
  }

  void Handle(const std::string& aAddress,
              const ViewNews& aNews,
              TimePoint aNow)
  {
    const auto changes = Converted(aNews.changes, FromWire);
    const bool follows =
      m_view.TakeEndpoints(std::max<std::uint64_t>(1, aNews.base),
                           aNews.version,
                           changes,
                           Milliseconds(aNews.age_ms),
                           aNow);
    m_storeTime = Milliseconds(aNews.age_ms);
    OnViewChanged(aNow, "peer");
    if (aNews.spread) {
      ViewNews own = aNews;
      own.held_config = m_view.ConfigVersion();
      SpreadOn(own, aNow);
    }
    const bool near =
      m_peers.DataCentreAt(aAddress) == m_options.self.data_centre;
    NoteConfig(aNews.config_version, near, aNow);
    const bool held = aNews.held_config > m_view.ConfigVersion();
    if (near && (held || !follows)) {
      FetchFrom(aAddress, aNow);
    }
  }

  /// There is a newer configuration. A daemon that spreads it in its data
  /// centre reads it at once; the others give it time to do so.
  void NoteConfig(std::uint64_t aVersion, bool aNear, TimePoint aNow)
  {
    if (aVersion <= std::max(m_newestConfig, m_view.ConfigVersion())) {
      return;
    }
    m_newestConfig = aVersion;
    std::uniform_int_distribution<int> jitter(0, kConfigJitterMs);
    m_nextConfigTry =
      aNear ? aNow + kConfigPatience + Milliseconds(jitter(m_random)) : aNow;
  }

  /// Asks a daemon that cannot be read from the store for its view.
  void AskPeer(TimePoint aNow)
  {
    const bool old =
      m_view.Age(aNow) > kAskPeerAfter || m_view.Config() == nullptr;
    if (!old || aNow < m_nextPeerAsk) {
      return;
    }
    m_nextPeerAsk = aNow + kAskPeerPeriod;
    auto addresses = m_peers.Neighbours(aNow);
    const auto remote = m_peers.Relays(1, aNow, m_random);
    addresses.insert(addresses.end(), remote.begin(), remote.end());
    if (addresses.empty()) {
      addresses = m_options.seeds;
    }
    if (!addresses.empty()) {
      std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
      FetchFrom(addresses[draw(m_random)], aNow);
    }
  }

  void FetchFrom(const std::string& aAddress, TimePoint aNow)
  {
    if (m_peerCall != 0 && aNow < m_peerCallUntil) {
      return;
    }
    m_peerCall = ++m_lastCall;
    m_peerCallUntil = aNow + kAskPeerPeriod;
    BulkCall call;
    call.id = m_peerCall;
    call.address = aAddress;
    call.request = FetchView{ m_view.ConfigVersion() };
    m_env.CallPeer(call);
  }

  void TakeView(const ViewReply& aReply, TimePoint aNow)
  {
    if (!aReply.config.empty()) {
      try {
        m_view.TakeConfig(DecodeAcceptedFleet(aReply.config));
      } catch (const ConfigError& error) {
        LogLine("view",
                "A peer's configuration is not usable.",
                LogFields().Add("error", error.what()));
      }
    }
    m_view.TakeEndpoints(0,
                         aReply.version,
                         Converted(aReply.endpoints, FromWire),
                         Milliseconds(aReply.age_ms),
                         aNow);
    OnViewChanged(aNow, "peer");
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
    m_board.Load(*config);
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
    const PeerMessage message = Presence(aNow);
    for (const std::string& address :
         m_peers.PresenceTargets(kRemotePresence, m_random)) {
      m_env.Send(address, message);
    }
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
      m_env.Send(aAddress, Presence(aNow));
    }
  }

  void NoteHeard(std::size_t aLive, std::size_t aCounted, TimePoint aNow)
  {
    m_quota.SetHeard(aLive, aCounted);
    m_upset = m_peers.Upset(kUpsetFor, aNow);
    m_large = aCounted > kLargeFleet;
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

  void DropDead(TimePoint aNow)
  {
    for (NodeId node : m_board.Nodes()) {
      if (!m_peers.IsLive(node, aNow)) {
        AddEvidence(m_board.Drop(node));
      }
    }
  }

  // Work.

  void SendNews(std::size_t aRelays, TimePoint aNow)
  {
    WorkNews news = m_board.TakeNews();
    news.origin = m_options.self.id;
    news.sequence = ++m_sequence;
    m_lastNews = aNow;
    if (!m_large) {
      Spread(std::move(news), m_peers.Relays(aRelays, aNow, m_random), aNow);
      return;
    }
    NoteForCentre(news);
    SpreadOn(news, aNow);
    SendToOwners(news, aRelays, aNow);
  }

  /// Tells the daemons of another data centre about work on its endpoints.
  void SendToOwners(const WorkNews& aNews, std::size_t aRelays, TimePoint aNow)
  {
    std::map<std::string, WorkNews> byCentre;
    for (const EndpointWork& work : aNews.endpoints) {
      const std::string centre = m_board.CentreOf(work.endpoint);
      if (!centre.empty() && centre != m_options.self.data_centre) {
        byCentre[centre].endpoints.push_back(work);
      }
    }
    for (auto& [centre, news] : byCentre) {
      news.origin = aNews.origin;
      news.sequence = aNews.sequence;
      news.spread = true;
      const PeerMessage message = news;
      for (const std::string& address :
           m_peers.RelaysOf(centre, aRelays, aNow, m_random)) {
        m_env.Send(address, message);
      }
    }
  }

  /// Adds a daemon's counters to those of its data centre.
  void NoteForCentre(const WorkNews& aNews)
  {
    Heard& heard = m_centreHeard[aNews.origin];
    const bool counts = heard.sequence > 0 || aNews.sequence <= kYoungSequence;
    heard.sequence = aNews.sequence;
    for (const AccountWork& work : aNews.accounts) {
      m_centreSpent[work.account] +=
        heard.Advance(heard.spent, work.account, work.spent, counts);
      m_centreAccounts.insert(work.account);
    }
    for (const ServiceWork& work : aNews.services) {
      ServiceWork& sum = m_centreServices[work.service];
      sum.service = work.service;
      sum.requests +=
        heard.Advance(heard.requests, work.service, work.requests, counts);
      sum.extras +=
        heard.Advance(heard.extras, work.service, work.extras, counts);
      sum.ended += heard.Advance(heard.ended, work.service, work.ended, counts);
      sum.unserved +=
        heard.Advance(heard.unserved, work.service, work.unserved, counts);
      m_centreServiceNews.insert(work.service);
    }
  }

  /// In a large fleet the first daemon of a data centre tells the others what
  /// all daemons of its own have let through.
  void TellCentre(TimePoint aNow)
  {
    const bool due = m_large && aNow - m_lastCentre >= kCentrePeriod &&
                     m_peers.NeighbourOrder(aNow) == 0;
    if (!due || (m_centreAccounts.empty() && m_centreServiceNews.empty())) {
      return;
    }
    m_lastCentre = aNow;
    WorkNews news;
    news.origin = m_options.self.id ^ kCentreMark;
    news.sequence = ++m_centreSequence;
    news.spread = true;
    for (std::uint32_t account : m_centreAccounts) {
      news.accounts.push_back({ account, m_centreSpent[account] });
    }
    for (std::uint32_t service : m_centreServiceNews) {
      news.services.push_back(m_centreServices[service]);
    }
    m_centreAccounts.clear();
    m_centreServiceNews.clear();
    const PeerMessage message = news;
    for (const std::string& address :
         m_peers.Relays(kUrgentRelays, aNow, m_random)) {
      m_env.Send(address, message);
    }
  }

  void Handle(const std::string& /*aAddress*/,
              const WorkNews& aNews,
              TimePoint aNow)
  {
    if (aNews.origin == m_options.self.id) {
      return;
    }
    Heard& heard = m_heard[aNews.origin];
    if (aNews.sequence <= heard.sequence) {
      return; // It came by another way before.
    }
    const bool young = aNews.sequence <= kYoungSequence;
    const bool first = heard.sequence == 0;
    heard.sequence = aNews.sequence;
    if (aNews.spread) {
      SpreadOn(aNews, aNow);
    }
    if (m_large && m_peers.IsNeighbour(aNews.origin)) {
      NoteForCentre(aNews);
    }
    for (const AccountWork& work : aNews.accounts) {
      const std::uint32_t more =
        heard.Advance(heard.spent, work.account, work.spent, !first || young);
      // What was given back makes the number smaller.
      const auto change = static_cast<std::int32_t>(more);
      if (change > 0) {
        m_quota.NoteOthers(m_board.AccountOf(work.account), more, aNow);
      }
    }
    for (const ServiceWork& work : aNews.services) {
      const std::string service = m_board.ServiceOf(work.service);
      const std::uint32_t requests = heard.Advance(
        heard.requests, work.service, work.requests, !first || young);
      const std::uint32_t extras =
        heard.Advance(heard.extras, work.service, work.extras, !first || young);
      m_extras.NoteRequests(service, requests, aNow);
      m_extras.NoteExtras(service, extras, aNow);
      const std::uint32_t ended =
        heard.Advance(heard.ended, work.service, work.ended, !first || young);
      const std::uint32_t unserved = heard.Advance(
        heard.unserved, work.service, work.unserved, !first || young);
      m_shortfall[service].Note(ended, unserved, aNow);
    }
    AddEvidence(m_board.Take(aNews));
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

  /// What one run of a daemon has told of its counters.
  struct Heard
  {
    using Counters = std::map<std::uint32_t, std::uint32_t>;

    std::uint32_t sequence = 0;
    Counters spent;
    Counters requests;
    Counters extras;
    Counters ended;
    Counters unserved;

    /// @return How far a counter has advanced; 0 for a first value that was
    /// reached before this daemon listened.
    static std::uint32_t Advance(Counters& aCounters,
                                 std::uint32_t aKey,
                                 std::uint32_t aValue,
                                 bool aCounts)
    {
      auto [found, isNew] = aCounters.try_emplace(aKey, aCounts ? 0 : aValue);
      return aValue - std::exchange(found->second, aValue);
    }
  };

  StoreFleetOptions m_options;
  StoreFleetEnv& m_env;
  Random m_random;
  FleetView m_view;
  ReadPacer m_pacer;
  PeerBook m_peers;
  QuotaLedger m_quota;
  ExtraBudget m_extras;
  WorkBoard m_board;
  KeyDirectory m_keys;
  std::map<std::string, ShortfallMeter> m_shortfall; ///< By service.
  std::vector<ControlEvent> m_events;
  std::map<NodeId, Heard> m_heard;
  std::map<AskId, std::string> m_spent; ///< Accounts of tokens in use.
  AskId m_lastAsk = 0;
  std::uint64_t m_lastCall = 0;
  std::uint64_t m_peerCall = 0; ///< Under way; 0 for none.
  TimePoint m_peerCallUntil{};
  TimePoint m_begun{}; ///< First tick.
  TimePoint m_nextAnnounce{};
  TimePoint m_nextPresence{};
  TimePoint m_nextPeerAsk{};
  TimePoint m_lastNews{};
  std::uint64_t m_configCursor = 0;
  std::uint64_t m_newestConfig = 0; ///< Version that a daemon has told of.
  TimePoint m_nextConfigTry{};
  std::string m_encoded; ///< See EncodedConfig.
  std::uint64_t m_encodedVersion = 0;
  std::uint64_t m_loadedVersion = 0;
  std::uint64_t m_loadedRevision = 0;
  std::uint32_t m_sequence = 0;
  bool m_large = false; ///< The fleet is large.
  // What all daemons of this data centre have counted since this one listens.
  std::map<NodeId, Heard> m_centreHeard;
  std::map<std::uint32_t, std::uint32_t> m_centreSpent;
  std::map<std::uint32_t, ServiceWork> m_centreServices;
  std::set<std::uint32_t> m_centreAccounts;    ///< Not told yet.
  std::set<std::uint32_t> m_centreServiceNews; ///< Not told yet.
  std::uint32_t m_centreSequence = 0;
  TimePoint m_lastCentre{};
  std::size_t m_live = 1;
  double m_upset = 0;                                 ///< See PeerBook::Upset.
  std::pair<std::size_t, std::size_t> m_rank{ 0, 1 }; ///< For subsets.
  bool m_readsConfig = false;
  bool m_readsBoth = false; ///< Endpoints are read after the configuration.
  bool m_written = false;
  bool m_listed = false;
  bool m_leaving = false;
  bool m_storeAnswers = false;
  Duration m_storeTime{ 0 }; ///< That the last read known here took.
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
