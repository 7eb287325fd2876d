#include "sapphirelane/relay/view_keeper.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/view_wire.h"

namespace sapphirelane {

namespace {

/// Relays in each other data centre to which an update is sent.
constexpr std::size_t kRelaysPerCentre = 1;

/// Age from which on the view is fetched from a peer, as neither the store nor
/// an update refreshed it, and the interval of further attempts.
constexpr Milliseconds kMaxAgeBeforePeerFetch{ 1300 };
constexpr Milliseconds kPeerFetchInterval{ 1000 };

/// Delay before a daemon itself reads a new configuration that was reported by
/// a daemon of its data centre, so that it can arrive from there first, and the
/// random part added to it.
constexpr Milliseconds kConfigReadDelay{ 250 };
constexpr int kConfigReadJitterMs = 150;

/// Interval of reads while a newer configuration is known to exist.
constexpr Milliseconds kConfigRetryInterval{ 150 };

/// Upper limit of changes in one datagram.
constexpr std::ptrdiff_t kMaxChangesPerUpdate = 24;

} // namespace

ViewReplica::ViewReplica(const StoreFleetOptions& aOptions,
                         StoreFleetEnv& aEnv,
                         const PeerBook& aPeers,
                         const UpdateSender& aSender,
                         Random& aRandom,
                         OnChange aOnChange)
  : m_env(aEnv)
  , m_peers(aPeers)
  , m_sender(aSender)
  , m_random(aRandom)
  , m_onChange(std::move(aOnChange))
  , m_seeds(aOptions.seeds)
  , m_dataCentre(aOptions.self.data_centre)
  , m_view(aOptions.view)
  , m_pacer(aOptions.pacer)
{
}

/// Applies changes of endpoints and logs those by which endpoints leave.
/// @return False if there is a gap; see FleetView::TakeEndpoints.
bool
ViewReplica::ApplyEndpoints(std::uint64_t aBase,
                            std::uint64_t aVersion,
                            const std::vector<EndpointChange>& aChanges,
                            Duration aAge,
                            const std::string& aSource,
                            TimePoint aNow)
{
  const Duration ageBefore = m_view.Age(aNow);
  const bool contiguous =
    m_view.TakeEndpoints(aBase, aVersion, aChanges, aAge, aNow);
  if (m_view.Age(aNow) < ageBefore) {
    m_source = aSource;
  }
  for (const EndpointChange& change : m_view.TakeDepartures()) {
    LogLine("view",
            change.endpoint ? "An endpoint leaves."
                            : "An endpoint's entry is gone.",
            LogFields()
              .Add("endpoint", change.id)
              .Add("entry_version", change.version)
              .Add("view_version", m_view.Version())
              .Add("age_ms", aAge)
              .Add("contiguous", contiguous ? "yes" : "no")
              .Add("from", aSource));
  }
  return contiguous;
}

/// The configuration as text, encoded once for each version.
const std::string&
ViewReplica::EncodedConfig(const FleetConfig& aConfig)
{
  if (m_encodedVersion != aConfig.version) {
    FleetConfig copy = aConfig;
    copy.endpoints.clear();
    m_encodedConfig = EncodeFleet(copy);
    m_encodedVersion = aConfig.version;
  }
  return m_encodedConfig;
}

void
ViewReplica::Tick(TimePoint aNow)
{
  m_view.Tick(aNow);
  ReadStore(aNow);
  FetchFromPeerIfStale(aNow);
}

void
ViewReplica::ReadStore(TimePoint aNow)
{
  const std::size_t rank = m_peers.Order(aNow);
  const bool due = m_pacer.IsDue(m_view.Age(aNow), rank, m_readDuration, aNow);
  if (due) {
    // The configuration is read first. Reading the endpoints is what refreshes
    // the view and makes other daemons skip their read, so it must imply that
    // the configuration was read as well.
    m_pacer.Begin(aNow);
    m_readEndpointsNext = true;
    ReadConfig();
  }
  const bool behind = m_newestConfigVersion > m_view.ConfigVersion();
  if (behind && aNow >= m_nextConfigRead) {
    m_nextConfigRead = aNow + kConfigRetryInterval;
    ReadConfig();
  }
}

void
ViewReplica::ReadConfig()
{
  if (m_readingConfig) {
    return;
  }
  m_readingConfig = true;
  SourceCall call;
  call.kind = SourceCall::Kind::ReadConfig;
  call.after = m_configCursor;
  m_env.CallSource(call);
}

void
ViewReplica::OnEndpointsRead(const SourceResult& aResult, TimePoint aNow)
{
  m_pacer.End(aResult.answered, m_peers.Order(aNow), aNow, m_random);
  if (!aResult.answered) {
    return;
  }
  const EndpointBatch& batch = aResult.endpoints;
  const std::uint64_t base = batch.whole ? 0 : aResult.after;
  const Duration age = aNow - aResult.asked;
  std::vector<EndpointChange> material;
  std::copy_if(
    batch.changes.begin(),
    batch.changes.end(),
    std::back_inserter(material),
    [this](const EndpointChange& aChange) { return m_view.IsNews(aChange); });
  ApplyEndpoints(base, batch.version, batch.changes, age, "store", aNow);
  m_readDuration = age;
  m_onChange(aNow, "store");
  // A full snapshot is not sent; daemons that lack any of it fetch it.
  SendUpdate(batch.whole ? batch.version : aResult.after,
             batch.whole ? std::vector<EndpointChange>() : material,
             age,
             aNow);
}

void
ViewReplica::OnConfigRead(const SourceResult& aResult, TimePoint aNow)
{
  m_readingConfig = false;
  const bool readsEndpoints = std::exchange(m_readEndpointsNext, false);
  if (!aResult.answered) {
    if (readsEndpoints) {
      m_pacer.End(false, m_peers.Order(aNow), aNow, m_random);
    }
    return;
  }
  if (readsEndpoints) {
    SourceCall call;
    call.kind = SourceCall::Kind::ReadEndpoints;
    call.after = m_view.Version();
    m_env.CallSource(call);
  }
  m_configCursor = std::max(m_configCursor, aResult.config.version);
  if (aResult.config.config && m_view.TakeConfig(*aResult.config.config)) {
    m_onChange(aNow, "store");
    SendUpdate(m_view.Version(), {}, m_view.Age(aNow), aNow);
  }
}

void
ViewReplica::SendUpdate(std::uint64_t aBase,
                        std::vector<EndpointChange> aChanges,
                        Duration aAge,
                        TimePoint aNow)
{
  std::sort(aChanges.begin(),
            aChanges.end(),
            [](const EndpointChange& aOne, const EndpointChange& aOther) {
              return aOne.version < aOther.version;
            });
  ViewNews update;
  update.age_ms = static_cast<std::uint32_t>(ToMilliseconds(aAge).count());
  update.held_config = m_view.ConfigVersion();
  update.config_version = std::max(m_newestConfigVersion, update.held_config);
  update.base = aBase;
  // All messages go through the same relays to preserve their order.
  const auto relays = m_sender.PickRelays(kRelaysPerCentre, aNow);
  // The base of each message is the version of the one before it, so that a
  // receiver detects a lost message as a gap.
  auto first = aChanges.begin();
  while (aChanges.end() - first > kMaxChangesPerUpdate) {
    const std::vector<EndpointChange> chunk(first,
                                            first + kMaxChangesPerUpdate);
    update.changes = ToWire(chunk);
    update.version = chunk.back().version;
    m_sender.SendToAll(update, relays, aNow);
    update.base = update.version;
    first += kMaxChangesPerUpdate;
  }
  const std::vector<EndpointChange> rest(first, aChanges.end());
  update.changes = ToWire(rest);
  update.version = m_view.Version();
  m_sender.SendToAll(update, relays, aNow);
}

void
ViewReplica::OnUpdate(const std::string& aAddress,
                      const ViewNews& aUpdate,
                      TimePoint aNow)
{
  const auto changes = FromWire(aUpdate.changes);
  const bool contiguous =
    ApplyEndpoints(std::max<std::uint64_t>(1, aUpdate.base),
                   aUpdate.version,
                   changes,
                   Milliseconds(aUpdate.age_ms),
                   aAddress,
                   aNow);
  m_readDuration = Milliseconds(aUpdate.age_ms);
  m_onChange(aNow, "peer");
  if (aUpdate.spread) {
    ViewNews forwarded = aUpdate;
    forwarded.held_config = m_view.ConfigVersion();
    m_sender.SendLocally(forwarded, aNow);
  }
  const bool isLocal = m_peers.DataCentreAt(aAddress) == m_dataCentre;
  RecordNewerConfig(aUpdate.config_version, isLocal, aNow);
  const bool senderHasNewer = aUpdate.held_config > m_view.ConfigVersion();
  if (isLocal && (senderHasNewer || !contiguous)) {
    FetchFrom(aAddress, aNow);
  }
}

/// Records that a newer configuration exists. A relay, which got the report
/// from another data centre, reads it from the store at once; the others wait
/// for a while to get it from a daemon of their own data centre.
void
ViewReplica::RecordNewerConfig(std::uint64_t aVersion,
                               bool aIsLocal,
                               TimePoint aNow)
{
  if (aVersion <= std::max(m_newestConfigVersion, m_view.ConfigVersion())) {
    return;
  }
  m_newestConfigVersion = aVersion;
  std::uniform_int_distribution<int> jitterMs(0, kConfigReadJitterMs);
  m_nextConfigRead =
    aIsLocal ? aNow + kConfigReadDelay + Milliseconds(jitterMs(m_random))
             : aNow;
}

/// Fetches the view from another daemon if the own one is stale or incomplete.
void
ViewReplica::FetchFromPeerIfStale(TimePoint aNow)
{
  const bool isStale =
    m_view.Age(aNow) > kMaxAgeBeforePeerFetch || m_view.Config() == nullptr;
  if (!isStale || aNow < m_nextPeerFetch) {
    return;
  }
  m_nextPeerFetch = aNow + kPeerFetchInterval;
  auto addresses = m_peers.Neighbours(aNow);
  const auto remote = m_peers.Relays(1, aNow, m_random);
  addresses.insert(addresses.end(), remote.begin(), remote.end());
  if (addresses.empty()) {
    addresses = m_seeds;
  }
  if (!addresses.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
    FetchFrom(addresses[pick(m_random)], aNow);
  }
}

void
ViewReplica::FetchFrom(const std::string& aAddress, TimePoint aNow)
{
  if (m_pendingFetch != 0 && aNow < m_fetchDeadline) {
    return;
  }
  m_pendingFetch = ++m_lastCallId;
  m_fetchDeadline = aNow + kPeerFetchInterval;
  m_fetchAddress = aAddress;
  BulkCall call;
  call.id = m_pendingFetch;
  call.address = aAddress;
  call.request = FetchView{ m_view.ConfigVersion() };
  m_env.CallPeer(call);
}

void
ViewReplica::ApplyView(const ViewReply& aReply, TimePoint aNow)
{
  if (!aReply.config.empty()) {
    try {
      m_view.TakeConfig(DecodeAcceptedFleet(aReply.config));
    } catch (const ConfigError& error) {
      LogLine("view",
              "The configuration fetched from a peer is invalid and ignored.",
              LogFields().Add("error", error.what()));
    }
  }
  ApplyEndpoints(0,
                 aReply.version,
                 FromWire(aReply.endpoints),
                 Milliseconds(aReply.age_ms),
                 m_fetchAddress,
                 aNow);
  m_onChange(aNow, "peer");
}

void
ViewReplica::OnBulkReply(std::uint64_t aCall,
                         const BulkReply& aReply,
                         TimePoint aNow)
{
  if (aCall != m_pendingFetch) {
    return;
  }
  m_pendingFetch = 0;
  const auto* view = aReply ? std::get_if<ViewReply>(&*aReply) : nullptr;
  if (view != nullptr && view->known) {
    ApplyView(*view, aNow);
  }
}

ViewReply
ViewReplica::AnswerFetch(const FetchView& aFetch, TimePoint aNow)
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
