#ifndef SAPPHIRELANE_PROXY_FLEET_RUNTIME_H
#define SAPPHIRELANE_PROXY_FLEET_RUNTIME_H

#include <memory>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/operator_front.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief The fleet as one daemon runs it: its links, its store, its duties.
///
/// What concerns the fleet itself is called on the deciding thread only.
class FleetRuntime
{
public:
  virtual ~FleetRuntime() = default;

  virtual FleetControl& Control() = 0;

  /// @brief Adds the duties of the links and the store.
  virtual void AddDuties(Kernel& aKernel) = 0;

  /// @brief Tells others that this host is there, or that it is leaving; from
  /// any thread.
  virtual void Announce(bool aLeaving) = 0;

  virtual void Tick(TimePoint aNow) = 0;

  /// @brief Sets gauges of how the fleet stands.
  virtual void Measure(Metrics& aMetrics, TimePoint aNow) = 0;

  /// @brief Hands over what this daemon holds for others.
  virtual void BeginStop(TimePoint aNow) = 0;
  virtual bool IsStopped(TimePoint aNow) = 0;

  /// @brief Answers operators' calls below /v1/; from any thread.
  virtual OperatorReply HandleOperator(const OperatorCall& aCall) = 0;
};

/// @brief Makes a daemon of the fleet that keeps its own configuration.
/// @throws Error if a port cannot be bound.
std::unique_ptr<FleetRuntime>
MakeNodeRuntime(const EntrySettings& aSettings,
                DispatchDuty& aDispatch,
                Metrics& aMetrics);

/// @brief Makes a daemon of a fleet around a store that others own.
/// @throws Error if a port cannot be bound.
std::unique_ptr<FleetRuntime>
MakeStoreFleetRuntime(const EntrySettings& aSettings,
                      std::unique_ptr<FleetSource> aSource,
                      DispatchDuty& aDispatch,
                      Metrics& aMetrics);

/// @brief Answer with a JSON body.
OperatorReply
JsonReply(int aStatus, const std::string& aJson);

/// @brief Answer that says what was wrong.
OperatorReply
FaultReply(int aStatus, const std::string& aDetail);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_FLEET_RUNTIME_H
