#include "sapphirelane/kernel/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sapphirelane {

namespace {

constexpr const char* kPrefix = "sapphirelane_";

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries kTimeBounds = {
  0.001, 0.002, 0.004, 0.006, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10
};

class PrometheusMetrics : public Metrics
{
public:
  void Count(const std::string& aName,
             const MetricLabels& aLabels,
             double aAmount) override
  {
    prometheus::BuildCounter()
      .Name(kPrefix + aName)
      .Register(m_registry)
      .Add(aLabels)
      .Increment(aAmount);
  }

  void Set(const std::string& aName,
           const MetricLabels& aLabels,
           double aValue) override
  {
    prometheus::BuildGauge()
      .Name(kPrefix + aName)
      .Register(m_registry)
      .Add(aLabels)
      .Set(aValue);
  }

  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               Duration aTime) override
  {
    prometheus::BuildHistogram()
      .Name(kPrefix + aName)
      .Register(m_registry)
      .Add(aLabels, kTimeBounds)
      .Observe(ToSeconds(aTime));
  }

  std::string Text() const override
  {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

private:
  // Registering a name again is refused unless the registry merges.
  prometheus::Registry m_registry{
    prometheus::Registry::InsertBehavior::Merge
  };
};

} // namespace

std::unique_ptr<Metrics>
MakeMetrics()
{
  return std::make_unique<PrometheusMetrics>();
}

} // namespace sapphirelane
