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

/// @brief Connects a daemon to its fleet: peer links, store access and their
/// threads.
///
/// Unless noted otherwise, functions are called on the dispatch thread only.
class FleetRuntime
{
public:
  virtual ~FleetRuntime() = default;

  virtual FleetControl& Control() = 0;

  /// @brief Adds the threads of the peer links and the store to the kernel.
  virtual void AddDuties(Kernel& aKernel) = 0;

  /// @brief Announces that this host has joined or is leaving; from any thread.
  virtual void Announce(bool aLeaving) = 0;

  virtual void Tick(TimePoint aNow) = 0;

  /// @brief Sets the gauges of the fleet's state.
  virtual void Measure(Metrics& aMetrics, TimePoint aNow) = 0;

  /// @brief Starts to transfer what this daemon holds for the fleet to others.
  virtual void BeginStop(TimePoint aNow) = 0;

  /// @brief Tells whether the transfer is complete.
  virtual bool IsStopped(TimePoint aNow) = 0;

  /// @brief Handles operators' calls below /v1/; from any thread.
  virtual OperatorReply HandleOperator(const OperatorCall& aCall) = 0;
};

/// @brief Creates the runtime of a fleet that keeps its own configuration.
/// @throws Error if a port cannot be bound.
std::unique_ptr<FleetRuntime>
MakeNodeRuntime(const EntrySettings& aSettings,
                DispatchDuty& aDispatch,
                Metrics& aMetrics);

/// @brief Creates the runtime of a fleet that reads its configuration from an
/// external store.
/// @throws Error if a port cannot be bound.
std::unique_ptr<FleetRuntime>
MakeStoreFleetRuntime(const EntrySettings& aSettings,
                      std::unique_ptr<FleetSource> aSource,
                      DispatchDuty& aDispatch,
                      Metrics& aMetrics);

/// @brief Creates a reply with a JSON body.
OperatorReply
JsonReply(int aStatus, const std::string& aJson);

/// @brief Creates an error reply.
OperatorReply
FaultReply(int aStatus, const std::string& aDetail);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_FLEET_RUNTIME_H
