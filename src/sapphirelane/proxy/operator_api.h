#ifndef SAPPHIRELANE_PROXY_OPERATOR_API_H
#define SAPPHIRELANE_PROXY_OPERATOR_API_H

#include <atomic>

#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/dispatcher.h"
#include "sapphirelane/proxy/fleet_runtime.h"
#include "sapphirelane/proxy/operator_front.h"

namespace sapphirelane {

/// @brief Handles operators' requests; thread-safe.
class OperatorApi
{
public:
  OperatorApi(DispatchDuty& aDispatch,
              Dispatcher& aDispatcher,
              FleetRuntime& aFleet,
              const Metrics& aMetrics);

  OperatorReply Handle(const OperatorCall& aRequest);

  /// @brief Makes /readyz report that the host is shutting down.
  void SetStopping() { m_stopping = true; }

private:
  OperatorReply HandleUnauthenticated(const OperatorCall& aRequest);
  OperatorReply HandleReadiness();
  OperatorReply HandleConfig();
  OperatorReply HandleExplain(const std::string& aRequestId);

  DispatchDuty& m_dispatch;
  Dispatcher& m_dispatcher;
  FleetControl& m_control;
  FleetRuntime& m_fleet;
  const Metrics& m_metrics;
  std::atomic<bool> m_stopping{ false };
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_OPERATOR_API_H
