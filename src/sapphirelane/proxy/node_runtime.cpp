#include "sapphirelane/proxy/node_runtime.h"

#include <utility>

#include "sapphirelane/base/secret.h"

namespace sapphirelane {

namespace {

NodeOptions
OptionsOf(const EntrySettings& aSettings, const std::string& aAddress)
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

} // namespace

NodeRuntime::NodeRuntime(const EntrySettings& aSettings,
                         DispatchDuty& aDispatch,
                         Metrics& aMetrics)
  : m_settings(aSettings)
  , m_dispatch(aDispatch)
  , m_address(aSettings.listen.address + ":" +
              std::to_string(aSettings.listen.peers))
{
  const NodeOptions options = OptionsOf(aSettings, m_address);
  m_node = MakeNode(options, *this);
  PeerLinkOptions link;
  link.address = aSettings.listen.address;
  link.port = aSettings.listen.peers;
  link.secret = aSettings.fleet_secret;
  link.self = options.self.id;
  m_datagramsOwned = MakeDatagramDuty(
    link,
    aMetrics,
    [this](NodeId aFrom, std::string aAddress, PeerMessage aMessage) {
      // A full ring drops the datagram, as a network might.
      m_dispatch.Post([this,
                       aFrom,
                       address = std::move(aAddress),
                       message = std::move(aMessage)](TimePoint aNow) {
        m_node->OnMessage(aFrom, address, message, aNow);
      });
    });
  m_datagrams = m_datagramsOwned.get();
  m_serverOwned = MakeBulkServer(
    link, aMetrics, [this](NodeId aFrom, const BulkMessage& aRequest) {
      return Serve(aFrom, aRequest);
    });
  m_callerOwned = MakeBulkCaller(
    link, aMetrics, [this](std::uint64_t aCall, BulkReply aReply) {
      m_dispatch.PostWaiting(
        [this, aCall, reply = std::move(aReply)](TimePoint aNow) {
          m_node->OnBulkReply(aCall, reply, aNow);
        });
    });
  m_caller = m_callerOwned.get();
  m_storeOwned = MakeStoreDuty(
    PlatformRegistry::Make(aSettings.platform.adapter, aSettings.platform),
    aMetrics,
    [this](StoreResult aResult) {
      m_dispatch.PostWaiting(
        [this, result = std::move(aResult)](TimePoint aNow) {
          m_node->OnStore(result, aNow);
        });
    });
  m_store = m_storeOwned.get();
}

void
NodeRuntime::AddDuties(Kernel& aKernel)
{
  aKernel.Add(std::move(m_storeOwned));
  aKernel.Add(std::move(m_callerOwned));
  aKernel.Add(std::move(m_serverOwned));
  aKernel.Add(std::move(m_datagramsOwned));
}

void
NodeRuntime::Announce(bool aLeaving)
{
  m_store->Announce({ m_settings.host, m_address, aLeaving });
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
NodeRuntime::Serve(NodeId aFrom, const BulkMessage& aRequest)
{
  return m_dispatch.Call<BulkMessage>([this, aFrom, aRequest](TimePoint aNow) {
    return m_node->ServeBulk(aFrom, aRequest, aNow);
  });
}

} // namespace sapphirelane
