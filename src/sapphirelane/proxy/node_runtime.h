#ifndef SAPPHIRELANE_PROXY_NODE_RUNTIME_H
#define SAPPHIRELANE_PROXY_NODE_RUNTIME_H

#include <memory>
#include <optional>
#include <string>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/membership/node.h"
#include "sapphirelane/proxy/fleet_runtime.h"

namespace sapphirelane {

/// @brief Runs a fleet node in a daemon: connects it to peer links, the
/// platform's store and their threads.
///
/// The node itself is called on the dispatch thread only.
class NodeRuntime
  : public FleetRuntime
  , public NodeEnv
{
public:
  NodeRuntime(const EntrySettings& aSettings,
              DispatchDuty& aDispatch,
              Metrics& aMetrics);

  // FleetRuntime.

  FleetControl& Control() override { return *m_node; }
  void AddDuties(Kernel& aKernel) override;
  void Announce(bool aLeaving) override;
  void Tick(TimePoint aNow) override;
  void Measure(Metrics& aMetrics, TimePoint aNow) override;
  void BeginStop(TimePoint aNow) override { m_node->BeginStop(aNow); }
  bool IsStopped(TimePoint aNow) override { return m_node->IsStopped(aNow); }
  OperatorReply HandleOperator(const OperatorCall& aCall) override;

  // NodeEnv, on the dispatch thread.

  void Send(const std::string& aAddress, const PeerMessage& aMessage) override;
  void CallStore(StoreCall aCall) override;
  void CallPeer(BulkCall aCall) override;

private:
  OperatorReply Status();
  OperatorReply History();
  OperatorReply Propose(const std::string& aBody);
  OperatorReply Withdraw(const std::string& aKey);

  void ProposeStaticFleet(TimePoint aNow);
  BulkMessage ServeBulkRequest(NodeId aFrom, const BulkMessage& aRequest);

  EntrySettings m_settings;
  DispatchDuty& m_dispatch;
  std::string m_address;
  std::unique_ptr<Node> m_node;
  std::optional<FleetConfig> m_staticFleet; ///< Proposed once at the start.
  std::unique_ptr<DatagramDuty> m_ownedDatagrams;
  std::unique_ptr<Duty> m_ownedServer;
  std::unique_ptr<BulkCallerDuty> m_ownedCaller;
  std::unique_ptr<StoreDuty> m_ownedStore;
  DatagramDuty* m_datagrams = nullptr;
  BulkCallerDuty* m_caller = nullptr;
  StoreDuty* m_store = nullptr;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_NODE_RUNTIME_H
