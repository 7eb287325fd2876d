#ifndef SAPPHIRELANE_KERNEL_SOURCE_DUTY_H
#define SAPPHIRELANE_KERNEL_SOURCE_DUTY_H

#include <functional>
#include <memory>

#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/relay/source_call.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief Duty that makes calls of a fleet's store, one after the other.
class SourceDuty : public Duty
{
public:
  /// @return False if too many calls wait.
  virtual bool Call(SourceCall aCall) = 0;
};

/// @param aOnResult Receives each outcome, on the duty's thread.
std::unique_ptr<SourceDuty>
MakeSourceDuty(std::unique_ptr<FleetSource> aSource,
               Metrics& aMetrics,
               std::function<void(SourceResult)> aOnResult);

} // namespace sapphirelane

#endif // SAPPHIRELANE_KERNEL_SOURCE_DUTY_H
