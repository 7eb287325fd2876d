#include "sapphirelane/relay/view_keeper.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/view_wire.h"

namespace sapphirelane {

namespace {

/// Daemons of each other data centre that spread a view there.
constexpr std::size_t kRelays = 1;

/// A view this old, with a store that does not answer, is asked of a peer.
constexpr Milliseconds kAskPeerAfter{ 1300 };
constexpr Milliseconds kAskPeerPeriod{ 1000 };

/// Time for a neighbour to read a new configuration and to give it on, before a
/// daemon reads it itself, and the random part of it.
constexpr Milliseconds kConfigPatience{ 250 };
constexpr int kConfigJitterMs = 150;

/// Between two reads of a configuration that is known to be there.
constexpr Milliseconds kConfigRetry{ 150 };

/// Largest changes that are told in one datagram.
constexpr std::ptrdiff_t kMostChanges = 24;

} // namespace

ViewKeeper::ViewKeeper(const StoreFleetOptions& aOptions,
                       StoreFleetEnv& aEnv,
                       const PeerBook& aPeers,
                       const Spreader& aSpreader,
                       Random& aRandom,
                       OnChange aOnChange)
  : m_env(aEnv)
  , m_peers(aPeers)
  , m_spreader(aSpreader)
  , m_random(aRandom)
  , m_onChange(std::move(aOnChange))
  , m_seeds(aOptions.seeds)
  , m_dataCentre(aOptions.self.data_centre)
  , m_view(aOptions.view)
  , m_pacer(aOptions.pacer)
{
}

/// The configuration as text, made once for each version.
const std::string&
ViewKeeper::EncodedConfig(const FleetConfig& aConfig)
{
  if (m_encodedVersion != aConfig.version) {
    FleetConfig copy = aConfig;
    copy.endpoints.clear();
    m_encoded = EncodeFleet(copy);
    m_encodedVersion = aConfig.version;
  }
  return m_encoded;
}

void
ViewKeeper::Tick(TimePoint aNow)
{
  m_view.Tick(aNow);
  ReadStore(aNow);
  AskPeer(aNow);
}

void
ViewKeeper::ReadStore(TimePoint aNow)
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

void
ViewKeeper::ReadConfig()
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

void
ViewKeeper::OnEndpointsRead(const SourceResult& aResult, TimePoint aNow)
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
  m_onChange(aNow, "store");
  // After a whole table, those that lack any of it fetch it.
  TellView(batch.whole ? batch.version : aResult.after,
           batch.whole ? std::vector<EndpointChange>() : news,
           age,
           aNow);
}

void
ViewKeeper::OnConfigRead(const SourceResult& aResult, TimePoint aNow)
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
    m_onChange(aNow, "store");
    TellView(m_view.Version(), {}, m_view.Age(aNow), aNow);
  }
}

void
ViewKeeper::TellView(std::uint64_t aBase,
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
  const auto relays = m_spreader.Relays(kRelays, aNow);
  // Each message but the last follows on the one before it, so that one that
  // is lost leaves a gap that its receiver notices.
  auto first = aChanges.begin();
  while (aChanges.end() - first > kMostChanges) {
    const std::vector<EndpointChange> some(first, first + kMostChanges);
    news.changes = ToWire(some);
    news.version = some.back().version;
    m_spreader.Spread(news, relays, aNow);
    news.base = news.version;
    first += kMostChanges;
  }
  const std::vector<EndpointChange> rest(first, aChanges.end());
  news.changes = ToWire(rest);
  news.version = m_view.Version();
  m_spreader.Spread(news, relays, aNow);
}

void
ViewKeeper::OnNews(const std::string& aAddress,
                   const ViewNews& aNews,
                   TimePoint aNow)
{
  const auto changes = FromWire(aNews.changes);
  const bool follows =
    m_view.TakeEndpoints(std::max<std::uint64_t>(1, aNews.base),
                         aNews.version,
                         changes,
                         Milliseconds(aNews.age_ms),
                         aNow);
  m_storeTime = Milliseconds(aNews.age_ms);
  m_onChange(aNow, "peer");
  if (aNews.spread) {
    ViewNews own = aNews;
    own.held_config = m_view.ConfigVersion();
    m_spreader.SpreadOn(own, aNow);
  }
  const bool near = m_peers.DataCentreAt(aAddress) == m_dataCentre;
  NoteConfig(aNews.config_version, near, aNow);
  const bool held = aNews.held_config > m_view.ConfigVersion();
  if (near && (held || !follows)) {
    FetchFrom(aAddress, aNow);
  }
}

/// There is a newer configuration. A daemon that spreads it in its data
/// centre reads it at once; the others give it time to do so.
void
ViewKeeper::NoteConfig(std::uint64_t aVersion, bool aNear, TimePoint aNow)
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
void
ViewKeeper::AskPeer(TimePoint aNow)
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
    addresses = m_seeds;
  }
  if (!addresses.empty()) {
    std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
    FetchFrom(addresses[draw(m_random)], aNow);
  }
}

void
ViewKeeper::FetchFrom(const std::string& aAddress, TimePoint aNow)
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

void
ViewKeeper::TakeView(const ViewReply& aReply, TimePoint aNow)
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
                       FromWire(aReply.endpoints),
                       Milliseconds(aReply.age_ms),
                       aNow);
  m_onChange(aNow, "peer");
}

void
ViewKeeper::OnBulkReply(std::uint64_t aCall,
                        const BulkReply& aReply,
                        TimePoint aNow)
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

ViewReply
ViewKeeper::Serve(const FetchView& aFetch, TimePoint aNow)
{
  ViewReply reply;
  const FleetConfig* config = m_view.Config();
  if (config == nullptr) {
    return reply;
  }
  reply.known = true;
  reply.age_ms =
    static_cast<std::uint32_t>(ToMilliseconds(m_view.Age(aNow)).count());
  reply.version = m_view.Version();
  reply.endpoints = ToWire(m_view.Endpoints());
  if (config->version > aFetch.config_version) {
    reply.config = EncodedConfig(*config);
  }
  return reply;
}

} // namespace sapphirelane
