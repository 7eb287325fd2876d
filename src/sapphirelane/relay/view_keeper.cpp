#include "sapphirelane/relay/view_keeper.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/hash.h"
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

/// Uptime from which a daemon without a view asks a peer, and the random part
/// added to it. The store normally answers before, and a daemon that asks at
/// its start knows only the seeds.
constexpr Milliseconds kFirstPeerFetch{ 300 };
constexpr int kFirstPeerFetchJitterMs = 300;

/// Delay before a daemon itself reads a new configuration that was reported by
/// a daemon of its data centre, so that it can arrive from there first, and the
/// random part added to it.
constexpr Milliseconds kConfigReadDelay{ 250 };
constexpr int kConfigReadJitterMs = 150;

/// Interval of reads while a newer configuration is known to exist.
constexpr Milliseconds kConfigRetryInterval{ 150 };

/// Age from which on a read of the store that refreshes the view is logged.
constexpr Milliseconds kMinLoggedAge{ 1000 };

/// Least time until another daemon is asked after one that is busy, the random
/// part added to it, and the daemons that are asked in a row.
constexpr Milliseconds kBusyRetryDelay{ 20 };
constexpr int kBusyRetryJitterMs = 60;
constexpr int kMaxReferrals = 8;

/// Receivers of the newest configuration that are remembered.
constexpr std::size_t kMaxReceivers = 16;

/// Size of an endpoint in a reply.
constexpr std::size_t kEndpointBytes = 100;

/// Evacuations in one datagram, in bytes: some fifty of them, which fit beside
/// kMaxChangesPerUpdate changes. There are few;
/// more take turns in successive updates.
constexpr std::size_t kMaxEvacuationBytes = 2048;

/// Least time between two log lines on evacuations that are ignored.
constexpr Milliseconds kIgnoredLogInterval{ 1000 };

/// Data centres that one log line names at most.
constexpr std::size_t kMaxLoggedNames = 16;

/// Upper limit of changes in one datagram.
constexpr std::ptrdiff_t kMaxChangesPerUpdate = 24;

/// Time for which updates repeat a change. It spans at least two reads of the
/// store, so that a lost datagram seldom makes a daemon fetch the whole view.
constexpr Milliseconds kChangeRepeatTime{ 1000 };

/// Receivers of an update above which others help to send it.
constexpr std::size_t kMaxDirectReceivers = 16;

/// Age in milliseconds, rounded up so that no receiver takes it for less.
std::uint32_t
AgeOnWire(Duration aAge)
{
  constexpr Milliseconds kMaxAge = std::chrono::hours(24);
  const Duration bounded = std::min<Duration>(aAge, kMaxAge);
  return static_cast<std::uint32_t>(
    std::chrono::ceil<Milliseconds>(bounded).count());
}

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
  , m_address(aOptions.self.address)
  , m_dataCentre(aOptions.self.data_centre)
  , m_view(aOptions.view)
  , m_self(aOptions.self.id)
  , m_pacer(aOptions.pacer)
{
}

/// Applies endpoints that were read from the store or fetched from a peer.
void
ViewReplica::ApplyEndpoints(StoreVersion aBase,
                            StoreVersion aVersion,
                            const std::vector<EndpointChange>& aChanges,
                            Duration aAge,
                            const std::string& aSource,
                            TimePoint aNow)
{
  const Duration ageBefore = m_view.Age(aNow);
  m_view.TakeEndpoints(aBase, aVersion, aChanges, aAge, aNow);
  RecordSource(aSource, ageBefore, aNow);
  LogDepartures(aSource, aNow);
}

/// Records who refreshed the view, if it is fresher than before.
void
ViewReplica::RecordSource(const std::string& aSource,
                          Duration aAgeBefore,
                          TimePoint aNow)
{
  if (m_view.Age(aNow) < aAgeBefore) {
    m_source = aSource;
  }
}

void
ViewReplica::LogDepartures(const std::string& aSource, TimePoint aNow)
{
  for (const EndpointChange& change : m_view.TakeDepartures()) {
    LogLine("view",
            change.endpoint ? "An endpoint leaves."
                            : "An endpoint's entry is gone.",
            LogFields()
              .Add("endpoint", change.id)
              .Add("entry_version", change.version.Text())
              .Add("view_version", m_view.Version().Text())
              .Add("view_age_ms", m_view.Age(aNow))
              .Add("from", aSource));
  }
}

/// Applies evacuations that were read from the store or came from a peer.
bool
ViewReplica::TakeEvacuations(const std::vector<EvacuationChange>& aChanges,
                             std::optional<EvacuationVersion> aWholeAt,
                             const std::string& aSource,
                             TimePoint aNow)
{
  const bool changed = m_view.TakeEvacuations(aChanges, aWholeAt, aNow);
  if (changed) {
    LogEvacuations(aSource, aNow);
  }
  if (aNow >= m_nextIgnoredLog) {
    const std::size_t ignored = m_view.Evacuations().TakeIgnored();
    if (ignored > 0) {
      m_nextIgnoredLog = aNow + kIgnoredLogInterval;
      LogLine("view",
              "Evacuations are ignored: the data centre's name is empty or too "
              "long, or there are too many.",
              LogFields()
                .Add("ignored", std::uint64_t{ ignored })
                .Add("from", aSource));
    }
  }
  return changed;
}

/// Logs the evacuations in force, in one line however many there are.
void
ViewReplica::LogEvacuations(const std::string& aSource, TimePoint aNow)
{
  const auto evacuated = m_view.Evacuations().InForce();
  std::set<std::string> centres;
  const FleetConfig* config = m_view.Config();
  if (config != nullptr) {
    for (const auto& item : config->endpoints) {
      centres.insert(item.second.data_centre);
    }
  }
  std::string names;
  std::size_t named = 0;
  std::uint64_t unknown = 0;
  for (const auto& item : evacuated) {
    unknown += config != nullptr && centres.count(item.first) == 0 ? 1 : 0;
    if (++named <= kMaxLoggedNames) {
      names += (names.empty() ? "" : ",") + item.first;
    }
  }
  LogLine("view",
          "The evacuated data centres have changed.",
          LogFields()
            .Add("evacuated", std::uint64_t{ evacuated.size() })
            .Add("data_centres", names)
            .Add("without_endpoints", unknown)
            .Add("view_age_ms", m_view.Age(aNow))
            .Add("from", aSource));
}

Milliseconds
ViewReplica::Uptime(TimePoint aNow) const
{
  return m_startedAt == TimePoint{} ? Milliseconds(0)
                                    : ToMilliseconds(aNow - m_startedAt);
}

Duration
ViewReplica::RecordDelay(NodeId aSender, Milliseconds aUptime, TimePoint aNow)
{
  return m_delays.Record(aSender, aUptime, aNow);
}

/// Applies a configuration that was read from the store.
bool
ViewReplica::TakeConfig(FleetConfig aConfig)
{
  const std::uint64_t version = aConfig.version;
  if (version <= m_view.ConfigVersion()) {
    return false;
  }
  aConfig.endpoints.clear();
  aConfig.evacuated.clear(); // They are versioned on their own.
  m_configs.Add(version, EncodeFleet(aConfig));
  m_receivers.clear();
  return m_view.TakeConfig(std::move(aConfig));
}

void
ViewReplica::Tick(TimePoint aNow)
{
  if (m_startedAt == TimePoint{}) {
    m_startedAt = aNow;
    std::uniform_int_distribution<int> jitterMs(0, kFirstPeerFetchJitterMs);
    m_nextPeerFetch = aNow + kFirstPeerFetch + Milliseconds(jitterMs(m_random));
  }
  m_view.Tick(aNow);
  m_delays.Tick(aNow);
  ReadStore(aNow);
  RetryFetch(aNow);
  FetchFromPeerIfStale(aNow);
}

void
ViewReplica::ReadStore(TimePoint aNow)
{
  // The rank takes a scan of all peers, so the view's age is checked first.
  const Duration age = m_view.Age(aNow);
  const bool due =
    m_pacer.IsDue(age, 0, m_readDuration, aNow) &&
    m_pacer.IsDue(age, m_peers.Order(aNow), m_readDuration, aNow);
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
  const StoreVersion base = batch.whole ? StoreVersion() : aResult.after;
  const Duration age = aNow - aResult.asked;
  const Duration ageBefore = m_view.Age(aNow);
  if (ageBefore > kMinLoggedAge && m_view.Config() != nullptr) {
    LogLine("view",
            "The store was read, as the view was old.",
            LogFields().Add("view_age_ms", ageBefore).Add("read_ms", age));
  }
  ApplyEndpoints(base, batch.version, batch.changes, age, "store", aNow);
  m_readDuration = age;
  m_onChange(aNow, "store");
  SendUpdate(aNow);
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
  const ConfigBatch& batch = aResult.config;
  if (!batch.unreadable) {
    m_configCursor = std::max(m_configCursor, batch.version);
  }
  // The evacuations are applied first, so that a first view has them.
  const bool evacuationsChanged =
    TakeEvacuations(batch.evacuations,
                    batch.whole ? std::optional(batch.version) : std::nullopt,
                    "store",
                    aNow);
  const bool configChanged = batch.config && TakeConfig(*batch.config);
  if (evacuationsChanged || configChanged) {
    m_onChange(aNow, "store");
    SendUpdate(aNow);
  }
}

/// Sends the state of this view and its recent changes to the other daemons.
/// These verify by the digest that they lack nothing.
void
ViewReplica::SendUpdate(TimePoint aNow)
{
  const auto changes = m_view.ChangesSince(aNow - kChangeRepeatTime);
  ViewNews update;
  update.origin = m_self;
  update.sent_ms = static_cast<std::uint64_t>(Uptime(aNow).count());
  update.age_ms = AgeOnWire(m_view.Age(aNow));
  update.version = m_view.Version();
  update.digest = m_view.Digest();
  update.held_config = m_view.ConfigVersion();
  update.config_version = std::max(m_newestConfigVersion, update.held_config);
  update.evacuations =
    ToWire(m_view.Evacuations().TakeTurn(kMaxEvacuationBytes));
  // All messages go through the same relays to preserve their order.
  const auto relays = m_sender.PickRelays(kRelaysPerCentre, aNow);
  auto first = changes.begin();
  do {
    const auto size = std::min(kMaxChangesPerUpdate, changes.end() - first);
    update.changes = ToWire(std::vector<EndpointChange>(first, first + size));
    first += size;
    update.last = first == changes.end();
    SpreadLocally(update, aNow);
    m_sender.SendToRelays(update, relays);
  } while (first != changes.end());
}

/// Sends an update to the daemons of this data centre. In a large one a few
/// daemons, which differ each time, each send it on to some others, so that no
/// link carries it as often as there are daemons.
void
ViewReplica::SpreadLocally(ViewNews aUpdate, TimePoint aNow)
{
  auto addresses = m_peers.Neighbours(aNow);
  aUpdate.forward_to.clear();
  if (addresses.size() <= kMaxDirectReceivers) {
    m_sender.SendTo(addresses, std::move(aUpdate));
    return;
  }
  std::shuffle(addresses.begin(), addresses.end(), m_random);
  const auto count = addresses.size();
  const auto groups =
    static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(count))));
  for (std::size_t group = 0; group < groups; ++group) {
    const auto first = static_cast<std::ptrdiff_t>(group * count / groups);
    const auto last = static_cast<std::ptrdiff_t>((group + 1) * count / groups);
    aUpdate.forward_to.assign(addresses.begin() + first + 1,
                              addresses.begin() + last);
    m_sender.SendTo({ addresses[static_cast<std::size_t>(first)] }, aUpdate);
  }
}

void
ViewReplica::OnUpdate(const std::string& aAddress,
                      const ViewNews& aUpdate,
                      TimePoint aNow)
{
  const Duration delay =
    RecordDelay(aUpdate.origin,
                Milliseconds(static_cast<std::int64_t>(aUpdate.sent_ms)),
                aNow);
  TakeEvacuations(FromWire(aUpdate.evacuations), std::nullopt, aAddress, aNow);
  const Duration ageBefore = m_view.Age(aNow);
  const bool complete = m_view.TakeUpdate(aUpdate.version,
                                          aUpdate.digest,
                                          FromWire(aUpdate.changes),
                                          Milliseconds(aUpdate.age_ms) + delay,
                                          aNow);
  if (m_view.Age(aNow) < ageBefore) {
    m_readDuration = Milliseconds(aUpdate.age_ms);
  }
  RecordSource(aAddress, ageBefore, aNow);
  LogDepartures(aAddress, aNow);
  m_onChange(aNow, "peer");
  if (aUpdate.spread || !aUpdate.forward_to.empty()) {
    ViewNews forwarded = aUpdate;
    forwarded.held_config = m_view.ConfigVersion();
    if (aUpdate.spread) {
      SpreadLocally(std::move(forwarded), aNow);
    } else {
      const auto addresses = std::exchange(forwarded.forward_to, {});
      m_sender.SendTo(addresses, std::move(forwarded));
    }
  }
  const bool isLocal = m_peers.DataCentreAt(aAddress) == m_dataCentre;
  RecordNewerConfig(aUpdate.config_version, isLocal, aNow);
  const bool senderHasNewer = aUpdate.held_config > m_view.ConfigVersion();
  const bool lacksChanges = !complete && aUpdate.last;
  m_lacksChanges = !complete && (lacksChanges || m_lacksChanges);
  // Another data centre's daemon is asked for the few changes of an update, but
  // not for a configuration.
  if ((isLocal && senderHasNewer) || lacksChanges) {
    FetchFrom(aAddress, senderHasNewer ? "newer-config" : "changes", aNow);
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
    FetchFrom(addresses[pick(m_random)], "stale", aNow);
  }
}

void
ViewReplica::FetchFrom(const std::string& aAddress,
                       const char* aReason,
                       TimePoint aNow)
{
  if (m_pendingFetch != 0 && aNow < m_fetchDeadline) {
    return;
  }
  if (m_pendingFetch != 0) {
    LogFetch(nullptr, aNow);
  }
  m_pendingFetch = ++m_lastCallId;
  m_fetchDeadline = aNow + kPeerFetchInterval;
  m_fetchAddress = aAddress;
  m_fetchReason = aReason;
  m_fetchStarted = aNow;
  BulkCall call;
  call.id = m_pendingFetch;
  call.address = aAddress;
  call.request = FetchView{ m_view.ConfigVersion(),
                            m_fetchWhole ? StoreVersion() : m_view.Version(),
                            m_address };
  m_env.CallPeer(call);
}

/// Asks another daemon for what one that was busy did not send.
void
ViewReplica::RetryFetch(TimePoint aNow)
{
  if (m_retryAddress.empty() || aNow < m_retryAt) {
    return;
  }
  const std::string address = std::exchange(m_retryAddress, {});
  const bool behind = m_newestConfigVersion > m_view.ConfigVersion();
  if (behind || m_lacksChanges) {
    FetchFrom(address, m_fetchReason, aNow);
  }
}

/// Prepares to ask the daemon that a busy one names, or any neighbour.
void
ViewReplica::OnBusyReply(const ViewReply& aReply, TimePoint aNow)
{
  if (++m_referrals > kMaxReferrals) {
    m_referrals = 0;
    return;
  }
  m_retryAddress = aReply.other;
  if (m_retryAddress.empty()) {
    const auto addresses = m_peers.Neighbours(aNow);
    if (addresses.empty()) {
      return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
    m_retryAddress = addresses[pick(m_random)];
  }
  std::uniform_int_distribution<int> jitterMs(0, kBusyRetryJitterMs);
  m_retryAt = aNow + kBusyRetryDelay + Milliseconds(jitterMs(m_random));
}

/// Applies the configuration of a reply, or the difference to one.
void
ViewReplica::ApplyConfig(const ViewReply& aReply)
{
  if (aReply.config.empty()) {
    return;
  }
  std::optional<std::string> text = aReply.config;
  if (aReply.config_base != 0) {
    text =
      m_configs.Apply(aReply.config_base, aReply.config, aReply.config_hash);
  }
  try {
    if (!text) {
      throw ConfigError("the difference does not fit the own version");
    }
    FleetConfig config = DecodeAcceptedFleet(*text);
    if (config.version > m_view.ConfigVersion()) {
      m_configs.Add(config.version, std::move(*text));
      m_receivers.clear();
      m_view.TakeConfig(std::move(config));
    }
  } catch (const ConfigError& error) {
    LogLine("view",
            "The configuration fetched from a peer is invalid and ignored.",
            LogFields().Add("error", error.what()));
  }
}

void
ViewReplica::ApplyView(const ViewReply& aReply, TimePoint aNow)
{
  m_referrals = 0;
  TakeEvacuations(
    FromWire(aReply.evacuations), std::nullopt, m_fetchAddress, aNow);
  ApplyConfig(aReply);
  const Duration age = Milliseconds(aReply.age_ms) + (aNow - m_fetchStarted);
  if (aReply.base.IsNone()) {
    m_fetchWhole = false;
    m_lacksChanges = false;
    ApplyEndpoints(
      0, aReply.version, FromWire(aReply.endpoints), age, m_fetchAddress, aNow);
  } else {
    const Duration ageBefore = m_view.Age(aNow);
    m_fetchWhole = !m_view.TakeUpdate(
      aReply.version, aReply.digest, FromWire(aReply.endpoints), age, aNow);
    m_lacksChanges = m_fetchWhole;
    RecordSource(m_fetchAddress, ageBefore, aNow);
    LogDepartures(m_fetchAddress, aNow);
  }
  m_onChange(aNow, "peer");
  if (m_fetchWhole) {
    FetchFrom(m_fetchAddress, "changes", aNow);
  }
}

/// @param aReply nullptr if there was none in time.
void
ViewReplica::LogFetch(const ViewReply* aReply, TimePoint aNow) const
{
  LogFields fields;
  fields.Add("from", m_fetchAddress)
    .Add("reason", m_fetchReason)
    .Add("elapsed_ms", aNow - m_fetchStarted);
  if (aReply == nullptr) {
    LogLine("view", "The view could not be fetched.", fields);
    return;
  }
  LogLine("view",
          "The view was fetched.",
          fields.Add("version", aReply->version.Text())
            .Add("age_ms", std::uint64_t{ aReply->age_ms })
            .Add("endpoints", std::uint64_t{ aReply->endpoints.size() })
            .Add("config_bytes", std::uint64_t{ aReply->config.size() }));
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
  LogFetch(view, aNow);
  if (view != nullptr && view->busy) {
    OnBusyReply(*view, aNow);
  } else if (view != nullptr && view->known) {
    ApplyView(*view, aNow);
  }
}

/// Adds the configuration, as the difference to the asker's if that is known.
void
ViewReplica::AddConfig(ViewReply& aReply, std::uint64_t aBase)
{
  aReply.config = m_configs.Text();
  const auto difference = m_configs.DifferenceFrom(aBase);
  if (difference) {
    aReply.config = *difference;
    aReply.config_base = aBase;
    aReply.config_hash = StableHash(m_configs.Text());
  }
}

/// A daemon that was sent the newest configuration, other than one; empty if
/// there is none.
std::string
ViewReplica::PickReceiver(const std::string& aExcept) const
{
  std::vector<std::string> others;
  std::copy_if(m_receivers.begin(),
               m_receivers.end(),
               std::back_inserter(others),
               [&](const std::string& aItem) { return aItem != aExcept; });
  if (others.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
  return others[pick(m_random)];
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
  reply.age_ms = AgeOnWire(m_view.Age(aNow));
  reply.version = m_view.Version();
  reply.digest = m_view.Digest();
  // A view that is newer than this one gets nothing that it could use.
  reply.base = std::min(aFetch.view_version, reply.version);
  reply.endpoints = ToWire(
    reply.base.IsNone() ? m_view.Endpoints() : m_view.ChangesAfter(reply.base));
  const bool sendsConfig = config->version > aFetch.config_version;
  if (sendsConfig) {
    AddConfig(reply, aFetch.config_version);
  }
  reply.evacuations = ToWire(m_view.Evacuations().All());
  const std::size_t rows = reply.endpoints.size() + reply.evacuations.size();
  const std::size_t bytes = reply.config.size() + rows * kEndpointBytes;
  if (!m_budget.TryTake(bytes, aNow)) {
    ViewReply refusal;
    refusal.known = true;
    refusal.busy = true;
    refusal.other = PickReceiver(aFetch.address);
    return refusal;
  }
  if (sendsConfig) {
    m_receivers.push_back(aFetch.address);
    if (m_receivers.size() > kMaxReceivers) {
      m_receivers.pop_front();
    }
  }
  return reply;
}

} // namespace sapphirelane
