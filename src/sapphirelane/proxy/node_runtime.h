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

/// @brief Runs a node in a daemon: its links, its platform, its duties.
///
/// The node itself is called on the deciding thread only.
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

  // NodeEnv, on the deciding thread.

  void Send(const std::string& aAddress, const PeerMessage& aMessage) override;
  void CallStore(StoreCall aCall) override;
  void CallPeer(BulkCall aCall) override;

private:
  OperatorReply Status();
  OperatorReply History();
  OperatorReply Propose(const std::string& aBody);
  OperatorReply Withdraw(const std::string& aKey);

  void ProposeFixedFleet(TimePoint aNow);
  BulkMessage Serve(NodeId aFrom, const BulkMessage& aRequest);

  EntrySettings m_settings;
  DispatchDuty& m_dispatch;
  std::string m_address;
  std::unique_ptr<Node> m_node;
  std::optional<FleetConfig> m_fixedFleet; ///< To be proposed at the start.
  std::unique_ptr<DatagramDuty> m_datagramsOwned;
  std::unique_ptr<Duty> m_serverOwned;
  std::unique_ptr<BulkCallerDuty> m_callerOwned;
  std::unique_ptr<StoreDuty> m_storeOwned;
  DatagramDuty* m_datagrams = nullptr;
  BulkCallerDuty* m_caller = nullptr;
  StoreDuty* m_store = nullptr;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_NODE_RUNTIME_H
