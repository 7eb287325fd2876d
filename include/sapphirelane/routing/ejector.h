#ifndef SAPPHIRELANE_ROUTING_EJECTOR_H
#define SAPPHIRELANE_ROUTING_EJECTOR_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief What one piece of work told of an endpoint.
enum class WorkResult
{
  Answered, ///< The first byte of an answer came.
  Stalled,  ///< No first byte within the time expected of the service.
  Failed,   ///< Connection refused, reset or broken off, or a server error.
  Shed,     ///< It said that it did not run the request.
  ProbeOk,  ///< A health probe was answered; real work it is not.
};

/// @brief Number of pieces of work with one result.
struct Observation
{
  WorkResult result = WorkResult::Answered;
  Duration elapsed{ 0 };   ///< Time to the first byte, or waited so far.
  std::uint32_t count = 1; ///< More than one when a peer reports a sum.
};

/// @brief One endpoint of the service that is judged.
struct JudgedEndpoint
{
  std::string id;
  std::uint32_t slots = 1;
  bool available = true;        ///< False while leaving.
  Duration in_service_for{ 0 }; ///< A cold start is judged with patience.
};

/// @brief One endpoint put out of choice or back.
struct EjectionChange
{
  std::string endpoint;
  bool ejected = false;
  std::string reason;
};

/// @brief Judges the endpoints of one service from work done on them.
class Ejector
{
public:
  static constexpr const char* kKind = "ejector";

  virtual ~Ejector() = default;

  /// @brief Takes in evidence about an endpoint.
  virtual void Observe(const std::string& aEndpoint,
                       const Observation& aObservation,
                       TimePoint aNow) = 0;

  /// @brief Decides anew which endpoints are out of choice.
  /// @param aFloor Percent of slots that must stay in choice.
  /// @return What changed since the last call.
  virtual std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aFloor,
    TimePoint aNow) = 0;

  /// @brief Tells whether an endpoint is out of choice.
  virtual bool IsEjected(const std::string& aEndpoint) const = 0;

  /// @brief Tells whether an ejected endpoint may get one trial of safe work.
  virtual bool WantsTrial(const std::string& aEndpoint,
                          TimePoint aNow) const = 0;

  /// @brief Time after which work on this service counts as stalled.
  virtual Duration StallAfter(TimePoint aNow) const = 0;

  /// @brief Probability that an endpoint fails the next request.
  virtual double FailureOf(const std::string& /*aEndpoint*/,
                           TimePoint /*aNow*/) const
  {
    return 0;
  }

  /// @brief Forgets an endpoint that has started anew.
  virtual void Reset(const std::string& /*aEndpoint*/) {}
};

using EjectorRegistry = Registry<Ejector>;

/// @brief Options of the peer-comparison ejector.
struct PeerComparisonOptions
{
  Duration window = Milliseconds(1000); ///< Evidence older than this fades.
  double least_bad = 6;      ///< Cumulative sum that makes a suspect.
  double good_weight = 0.8;  ///< What a good result takes off that sum.
  double contrast = 3;       ///< Times worse than the rest of the service.
  double most_strain = 0.02; ///< Bad share of the others above which the
                             ///< service is short of slots, not one endpoint.
  double stall_factor = 8;   ///< Stall threshold in service latencies.
  Duration least_stall = Milliseconds(200);
  Duration most_stall = Milliseconds(2000);
  Duration first_ejection = Milliseconds(5000);
  Duration longest_ejection = Milliseconds(300000);
  Duration cold_start = Milliseconds(10000); ///< Stalls forgiven this long.
  Duration memory = Milliseconds(600000);    ///< Good time that clears history.
  std::uint32_t trials = 3; ///< Good trials in a row that end an ejection.
  Duration trial_gap = Milliseconds(500); ///< Between two trials.
};

/// @brief Compares an endpoint's real work with the rest of its service.
///
/// An endpoint is a suspect when the cumulative sum of its bad results, less
/// the good ones, grows, and its share of bad results is several times that of
/// the other endpoints together, so that a fault of the whole service ejects
/// nobody. Each new ejection of the same
/// endpoint lasts twice as long, and ends only after good trials.
std::unique_ptr<Ejector>
MakePeerComparison(PeerComparisonOptions aOptions);

/// @brief Options of the spell ejector.
struct SpellOptions
{
  Duration first_sick = Milliseconds(2000); ///< Length of a spell, assumed.
  Duration least_sick = Milliseconds(500);
  Duration most_sick = Milliseconds(15000);
  Duration first_sound = Milliseconds(20000); ///< Between spells, assumed.
  Duration least_sound = Milliseconds(2000);
  Duration most_sound = Milliseconds(600000);
  double sick_failure = 0.7; ///< Share of requests failed in a spell, assumed.
  double sound_failure = 0.02; ///< Share of requests failed otherwise, assumed.
  double shed_weight = 0.5;    ///< Weight of a shed request as a failure.
  double stall_factor = 5;     ///< Stall threshold in service latencies.
  Duration least_stall = Milliseconds(400);
  Duration most_stall = Milliseconds(3000);
};

/// @brief Believes that each endpoint is sound or in a spell of failures.
///
/// Answers endpoints that fail most of their requests for a few seconds, again
/// and again, while their probes are answered. Each result moves the odds of a
/// spell by its likelihood; between results the odds drift back at the rate at
/// which spells have begun and ended in this service, so an endpoint is tried
/// again when its spell is likely to be over. Ejects nobody: the balancer
/// weighs the probability, so that a service is never left without endpoints.
std::unique_ptr<Ejector>
MakeSpellEjector(SpellOptions aOptions);

/// @brief Options of the consecutive-failures ejector.
struct ConsecutiveFailuresOptions
{
  std::uint32_t failures = 5;
  Duration ejection = Milliseconds(30000);
  Duration stall = Milliseconds(1000);
};

/// @brief Ejects after failures in a row, for a fixed time; a baseline.
std::unique_ptr<Ejector>
MakeConsecutiveFailures(ConsecutiveFailuresOptions aOptions);

/// @brief Options of the fixed-latency ejector.
struct FixedLatencyOptions
{
  Duration threshold = Milliseconds(100);
  std::uint32_t slow_in_a_row = 5;
  Duration ejection = Milliseconds(5000);
};

/// @brief Ejects after slow answers in a row; a baseline.
std::unique_ptr<Ejector>
MakeFixedLatency(FixedLatencyOptions aOptions);

/// @brief Believes probes alone, so never ejects what answers them; baseline.
std::unique_ptr<Ejector>
MakeProbeOnly();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_EJECTOR_H
