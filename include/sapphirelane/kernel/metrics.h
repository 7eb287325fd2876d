#ifndef SAPPHIRELANE_KERNEL_METRICS_H
#define SAPPHIRELANE_KERNEL_METRICS_H

#include <map>
#include <memory>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

using MetricLabels = std::map<std::string, std::string>;

/// @brief Counters, gauges and times that the daemon shows to operators.
class Metrics
{
public:
  virtual ~Metrics() = default;

  /// @brief Adds to a counter.
  virtual void Count(const std::string& aName,
                     const MetricLabels& aLabels,
                     double aAmount = 1) = 0;

  /// @brief Sets a gauge.
  virtual void Set(const std::string& aName,
                   const MetricLabels& aLabels,
                   double aValue) = 0;

  /// @brief Adds a time to a histogram of seconds.
  virtual void Observe(const std::string& aName,
                       const MetricLabels& aLabels,
                       Duration aTime) = 0;

  /// @brief Writes all values in the Prometheus text format.
  virtual std::string Text() const = 0;
};

/// @brief Makes metrics on prometheus-cpp; safe to call from any thread.
std::unique_ptr<Metrics>
MakeMetrics();

} // namespace sapphirelane

#endif // SAPPHIRELANE_KERNEL_METRICS_H
