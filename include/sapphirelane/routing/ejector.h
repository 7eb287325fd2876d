#ifndef SAPPHIRELANE_ROUTING_EJECTOR_H
#define SAPPHIRELANE_ROUTING_EJECTOR_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Result of a request or a health probe, as evidence on an endpoint.
enum class WorkResult
{
  Answered, ///< The first byte of a response arrived.
  Stalled,  ///< No first byte within the stall timeout of the service.
  Failed,   ///< Connection refused, reset or closed early, or a server error.
  Shed,     ///< The endpoint reported that it did not run the request.
  ProbeOk,  ///< A health probe succeeded; says nothing of real requests.
};

/// @brief One or more requests or probes of an endpoint with the same result.
struct Observation
{
  WorkResult result = WorkResult::Answered;
  Duration elapsed{ 0 };   ///< Time to first byte, or time waited so far.
  std::uint32_t count = 1; ///< More than one in a report of another daemon.
};

/// @brief One endpoint of the service that an ejector evaluates.
struct JudgedEndpoint
{
  std::string id;
  std::uint32_t slots = 1;      ///< Concurrency limit of the endpoint.
  bool available = true;        ///< False while it drains.
  Duration in_service_for{ 0 }; ///< Time since it became eligible.
};

/// @brief An endpoint that was ejected or became eligible again.
struct EjectionChange
{
  std::string endpoint;
  bool ejected = false;
  std::string reason; ///< Shown to the operator.
};

/// @brief Outlier ejection: decides from the results of requests which
/// endpoints of one service get no requests for a while.
class Ejector
{
public:
  static constexpr const char* kKind = "ejector";

  virtual ~Ejector() = default;

  /// @brief Records results of an endpoint.
  virtual void Observe(const std::string& aEndpoint,
                       const Observation& aObservation,
                       TimePoint aNow) = 0;

  /// @brief Re-evaluates which endpoints are ejected.
  /// @param aEndpoints All endpoints of the service.
  /// @param aMinHealthyPercent Percent of slots that must stay eligible.
  /// @return Changes since the last call.
  virtual std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aMinHealthyPercent,
    TimePoint aNow) = 0;

  /// @brief Tells whether an endpoint is ejected.
  virtual bool IsEjected(const std::string& aEndpoint) const = 0;

  /// @brief Tells whether an ejected endpoint may get one trial request, which
  /// has to be safe to retry.
  virtual bool WantsTrial(const std::string& aEndpoint,
                          TimePoint aNow) const = 0;

  /// @brief Time without a first byte after which a request to this service
  /// counts as stalled.
  /// @param aTarget Latency target of the request; 0 if it has none.
  virtual Duration StallAfter(Duration aTarget, TimePoint aNow) const = 0;

  /// @brief Probability that the next request to an endpoint fails.
  virtual double FailureOf(const std::string& /*aEndpoint*/,
                           TimePoint /*aNow*/) const
  {
    return 0;
  }

  /// @brief Drops the state of an endpoint that has restarted.
  virtual void Reset(const std::string& /*aEndpoint*/) {}
};

using EjectorRegistry = Registry<Ejector>;

/// @brief Options of the peer-comparison ejector.
struct PeerComparisonOptions
{
  Duration window = Milliseconds(1000); ///< Decay time constant of results.
  double least_bad = 6;      ///< Cumulative sum that makes a suspect.
  double good_weight = 0.8;  ///< Decrease of that sum with each success.
  double contrast = 3;       ///< Smallest ratio of the failure share to that of
                             ///< the other endpoints.
  double most_strain = 0.02; ///< Failure share of the other endpoints above
                             ///< which the whole service is overloaded, so
                             ///< that none of them becomes a suspect.
  double stall_factor = 8;   ///< Stall timeout as a multiple of the latency.
  Duration least_stall = Milliseconds(200);
  Duration most_stall = Milliseconds(2000);
  Duration first_ejection = Milliseconds(5000);
  Duration longest_ejection = Milliseconds(300000);
  Duration cold_start = Milliseconds(10000); ///< No ejection before this.
  Duration memory = Milliseconds(600000);    ///< Healthy time that resets the
                                             ///< ejection time.
  std::uint32_t trials = 3; ///< Consecutive successes that end an ejection.
  Duration trial_gap = Milliseconds(500); ///< Interval between two trials.
};

/// @brief Ejects endpoints whose requests fail more often than those of the
/// other endpoints of the service.
///
/// An endpoint is a suspect when its cumulative sum (CUSUM) of failures minus
/// weighted successes passes a threshold and its failure share is several times
/// that of the other endpoints together. The comparison keeps a fault of the
/// whole service from ejecting endpoints. Each further ejection of an endpoint
/// lasts twice as long, and ends only after successful trials.
std::unique_ptr<Ejector>
MakePeerComparison(PeerComparisonOptions aOptions);

/// @brief Options of the fault-episode ejector. Durations, rates and the stall
/// timeout are adapted to the service within these bounds.
struct SpellOptions
{
  Duration first_sick = Milliseconds(2000); ///< Initial mean episode length.
  Duration least_sick = Milliseconds(500);
  Duration most_sick = Milliseconds(15000);
  Duration first_sound = Milliseconds(20000); ///< Initial mean time between.
  Duration least_sound = Milliseconds(2000);
  Duration most_sound = Milliseconds(600000);
  double sick_failure = 0.7;   ///< Initial failure rate in an episode.
  double sound_failure = 0.02; ///< Initial failure rate otherwise.
  double shed_weight = 0.5; ///< Weight of a shed request relative to a failure.
  double stall_factor = 5;  ///< Stall timeout as a multiple of the latency.
  Duration least_stall = Milliseconds(400);
  Duration most_stall = Milliseconds(3000);
};

/// @brief Estimates the probability that an endpoint is in a fault episode.
///
/// Detects endpoints that repeatedly fail most of their requests for a few
/// seconds while their health probes succeed. Models an endpoint as healthy or
/// degraded (two hidden states). Each result updates the odds of
/// an episode by its likelihood ratio (Bayes' rule); between results the odds
/// return to the base rate at the rate at which episodes begin and end in this
/// service, so that an endpoint gets requests again when its episode is likely
/// to be over. Never ejects an endpoint: the balancer weighs the probability,
/// so that a service is never left without endpoints.
std::unique_ptr<Ejector>
MakeSpellEjector(SpellOptions aOptions);

/// @brief Options of the consecutive-failures ejector.
struct ConsecutiveFailuresOptions
{
  std::uint32_t failures = 5; ///< Consecutive failures before an ejection.
  Duration ejection = Milliseconds(30000);
  Duration stall = Milliseconds(1000);
};

/// @brief Ejects for a fixed time after consecutive failures; a baseline.
std::unique_ptr<Ejector>
MakeConsecutiveFailures(ConsecutiveFailuresOptions aOptions);

/// @brief Options of the fixed-latency ejector.
struct FixedLatencyOptions
{
  Duration threshold = Milliseconds(100); ///< Slower responses count.
  std::uint32_t slow_in_a_row = 5; ///< Slow responses before an ejection.
  Duration ejection = Milliseconds(5000);
};

/// @brief Ejects for a fixed time after consecutive slow responses; a baseline.
std::unique_ptr<Ejector>
MakeFixedLatency(FixedLatencyOptions aOptions);

/// @brief Ignores the results of requests, so never ejects an endpoint whose
/// probes succeed; a baseline.
std::unique_ptr<Ejector>
MakeProbeOnly();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_EJECTOR_H
