#include "sapphirelane/proxy/node_runtime.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"

namespace sapphirelane {

namespace {

NodeOptions
MakeNodeOptions(const EntrySettings& aSettings, const std::string& aAddress)
{
  NodeOptions options;
  options.self.id = RandomBits() | 1U;
  options.self.host = aSettings.host;
  options.self.data_centre = aSettings.data_centre;
  options.self.address = aAddress;
  options.seeds = aSettings.seeds;
  options.dedup_window = aSettings.limits.dedup_window;
  options.seed = RandomBits();
  return options;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  if (!stream) {
    throw ConfigError(aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace

NodeRuntime::NodeRuntime(const EntrySettings& aSettings,
                         DispatchDuty& aDispatch,
                         Metrics& aMetrics)
  : m_settings(aSettings)
  , m_dispatch(aDispatch)
  , m_address(aSettings.listen.address + ":" +
              std::to_string(aSettings.listen.peers))
{
  if (!m_settings.static_fleet.empty()) {
    m_staticFleet = DecodeFleet(ReadFile(m_settings.static_fleet));
  }
  const NodeOptions options = MakeNodeOptions(aSettings, m_address);
  m_node = MakeNode(options, *this);
  PeerLinkOptions link;
  link.address = aSettings.listen.address;
  link.port = aSettings.listen.peers;
  link.secret = aSettings.fleet_secret;
  link.self = options.self.id;
  m_ownedDatagrams = MakeDatagramDuty(
    link,
    aMetrics,
    [this](NodeId aFrom, std::string aAddress, PeerMessage aMessage) {
      // If the ring is full, the datagram is dropped, as on a network.
      m_dispatch.Post([this,
                       aFrom,
                       address = std::move(aAddress),
                       message = std::move(aMessage)](TimePoint aNow) {
        m_node->OnMessage(aFrom, address, message, aNow);
      });
    });
  m_datagrams = m_ownedDatagrams.get();
  m_ownedServer = MakeBulkServer(
    link, aMetrics, [this](NodeId aFrom, const BulkMessage& aRequest) {
      return ServeBulkRequest(aFrom, aRequest);
    });
  m_ownedCaller = MakeBulkCaller(
    link, aMetrics, [this](std::uint64_t aCall, BulkReply aReply) {
      m_dispatch.PostWaiting(
        [this, aCall, reply = std::move(aReply)](TimePoint aNow) {
          m_node->OnBulkReply(aCall, reply, aNow);
        });
    });
  m_caller = m_ownedCaller.get();
  m_ownedStore = MakeStoreDuty(
    PlatformRegistry::Make(aSettings.platform.adapter, aSettings.platform),
    aMetrics,
    [this](StoreResult aResult) {
      m_dispatch.PostWaiting(
        [this, result = std::move(aResult)](TimePoint aNow) {
          m_node->OnStore(result, aNow);
        });
    });
  m_store = m_ownedStore.get();
}

void
NodeRuntime::AddDuties(Kernel& aKernel)
{
  aKernel.Add(std::move(m_ownedStore));
  aKernel.Add(std::move(m_ownedCaller));
  aKernel.Add(std::move(m_ownedServer));
  aKernel.Add(std::move(m_ownedDatagrams));
}

void
NodeRuntime::Announce(bool aLeaving)
{
  m_store->Announce({ m_settings.host, m_address, aLeaving });
}

void
NodeRuntime::Tick(TimePoint aNow)
{
  m_node->Tick(aNow);
  ProposeStaticFleet(aNow);
}

void
NodeRuntime::Measure(Metrics& aMetrics, TimePoint aNow)
{
  const NodeStatus status = m_node->Status(aNow);
  aMetrics.Set("fresh", {}, status.fresh ? 1 : 0);
  aMetrics.Set("head", {}, static_cast<double>(status.seq));
  aMetrics.Set("members", {}, static_cast<double>(status.members));
  aMetrics.Set("shards_held", {}, static_cast<double>(status.shards_held));
  aMetrics.Set("claims", {}, static_cast<double>(status.claims));
  aMetrics.Set("platform_answers", {}, status.store_answers ? 1 : 0);
}

/// Proposes the static configuration from the settings once a base version is
/// known.
void
NodeRuntime::ProposeStaticFleet(TimePoint aNow)
{
  const FleetConfig* config = m_node->Config();
  if (!m_staticFleet || config == nullptr) {
    return;
  }
  ChangeSet change;
  change.id = "static-fleet";
  change.author = m_settings.static_fleet;
  change.rows = Difference(*config, *m_staticFleet);
  m_staticFleet.reset();
  m_node->Propose(change, aNow, [](const WriteResult& aResult, auto) {
    if (!aResult.detail.empty()) {
      LogLine("entry", "The static fleet is not usable: " + aResult.detail);
    }
  });
}

void
NodeRuntime::Send(const std::string& aAddress, const PeerMessage& aMessage)
{
  m_datagrams->Send(aAddress, aMessage);
}

void
NodeRuntime::CallStore(StoreCall aCall)
{
  const std::uint64_t id = aCall.id;
  if (!m_store->Call(std::move(aCall))) {
    m_dispatch.Post([this, id](TimePoint aNow) {
      StoreResult result;
      result.id = id;
      m_node->OnStore(result, aNow);
    });
  }
}

void
NodeRuntime::CallPeer(BulkCall aCall)
{
  const std::uint64_t id = aCall.id;
  if (!m_caller->Call(std::move(aCall))) {
    m_dispatch.Post([this, id](TimePoint aNow) {
      m_node->OnBulkReply(id, std::nullopt, aNow);
    });
  }
}

BulkMessage
NodeRuntime::ServeBulkRequest(NodeId aFrom, const BulkMessage& aRequest)
{
  return m_dispatch.Call<BulkMessage>([this, aFrom, aRequest](TimePoint aNow) {
    return m_node->ServeBulk(aFrom, aRequest, aNow);
  });
}

std::unique_ptr<FleetRuntime>
MakeNodeRuntime(const EntrySettings& aSettings,
                DispatchDuty& aDispatch,
                Metrics& aMetrics)
{
  return std::make_unique<NodeRuntime>(aSettings, aDispatch, aMetrics);
}

} // namespace sapphirelane
