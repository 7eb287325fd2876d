#ifndef SAPPHIRELANE_PROXY_NODE_RUNTIME_H
#define SAPPHIRELANE_PROXY_NODE_RUNTIME_H

#include <memory>
#include <string>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/membership/node.h"
#include "sapphirelane/proxy/dispatch_duty.h"

namespace sapphirelane {

/// @brief Runs a node in a daemon: its links, its platform, its duties.
///
/// The node itself is called on the deciding thread only.
class NodeRuntime : public NodeEnv
{
public:
  NodeRuntime(const EntrySettings& aSettings,
              DispatchDuty& aDispatch,
              Metrics& aMetrics);

  Node& Get() { return *m_node; }

  /// @brief Adds the duties of the links and the platform.
  void AddDuties(Kernel& aKernel);

  /// @brief Tells the platform's host list about this host.
  void Announce(bool aLeaving);

  // NodeEnv, on the deciding thread.

  void Send(const std::string& aAddress, const PeerMessage& aMessage) override;
  void CallStore(StoreCall aCall) override;
  void CallPeer(BulkCall aCall) override;

private:
  BulkMessage Serve(NodeId aFrom, const BulkMessage& aRequest);

  EntrySettings m_settings;
  DispatchDuty& m_dispatch;
  std::string m_address;
  std::unique_ptr<Node> m_node;
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
