#ifndef SAPPHIRELANE_PROXY_OPERATOR_API_H
#define SAPPHIRELANE_PROXY_OPERATOR_API_H

#include <atomic>

#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/dispatcher.h"
#include "sapphirelane/proxy/fleet_runtime.h"
#include "sapphirelane/proxy/operator_front.h"

namespace sapphirelane {

/// @brief Answers operators' calls; may be called from several threads.
class OperatorApi
{
public:
  OperatorApi(DispatchDuty& aDispatch,
              Dispatcher& aDispatcher,
              FleetRuntime& aFleet,
              const Metrics& aMetrics);

  OperatorReply Handle(const OperatorCall& aCall);

  /// @brief Makes /readyz say that the host is going away.
  void SetStopping() { m_stopping = true; }

private:
  OperatorReply HandleProbe(const OperatorCall& aCall);
  OperatorReply Ready();
  OperatorReply Config();
  OperatorReply Explain(const std::string& aRequest);

  DispatchDuty& m_dispatch;
  Dispatcher& m_dispatcher;
  FleetControl& m_control;
  FleetRuntime& m_fleet;
  const Metrics& m_metrics;
  std::atomic<bool> m_stopping{ false };
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_OPERATOR_API_H
