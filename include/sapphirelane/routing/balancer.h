#ifndef SAPPHIRELANE_ROUTING_BALANCER_H
#define SAPPHIRELANE_ROUTING_BALANCER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Load-balancing state of one eligible endpoint, as seen by a daemon.
struct Candidate
{
  std::string id;
  std::uint32_t slots = 1;            ///< Concurrency limit of the endpoint.
  std::uint32_t in_flight = 0;        ///< Requests from this daemon.
  std::uint32_t others_in_flight = 0; ///< Requests from other daemons.
  double reported_load = 0;           ///< Reported share of slots in use.
  Duration report_age{ 0 };           ///< Age of the load report.
  Duration latency{ 0 };              ///< Smoothed time to first byte.
  Duration in_service_for{ 0 };       ///< Time since it became eligible.
  Duration target{ 0 };               ///< Latency target; 0 if none is set.
  Duration left{ 0 };       ///< Time until the deadline; 0 if none is near.
  double failure = 0;       ///< Probability that it fails the request.
  double failure_cost = 0;  ///< Cost of a failure, in lost requests.
  double transfer_cost = 0; ///< Cost of sending the body, in lost requests.
  bool cold = false;        ///< Started recently, so it responds slowly.
  bool connected = false;   ///< An idle keep-alive connection is available.
};

/// @brief Load-balancing policy: chooses the endpoint of one attempt.
class Balancer
{
public:
  static constexpr const char* kKind = "balancer";

  virtual ~Balancer() = default;

  /// @param aCandidates Eligible endpoints; may be empty.
  /// @return Index of the chosen candidate, or nothing if there is none.
  virtual std::optional<std::size_t> Pick(
    const std::vector<Candidate>& aCandidates,
    TimePoint aNow,
    Random& aRandom) = 0;
};

using BalancerRegistry = Registry<Balancer>;

/// @brief Options of the power-of-two-choices balancer.
struct TwoChoicesOptions
{
  Duration report_half_life = Milliseconds(500); ///< Decay of load reports.
  Duration slow_start = Milliseconds(10000);     ///< Slow-start duration.
  double least_start_share = 0.1; ///< Weight at the start of slow start.
};

/// @brief Power of two choices: draws two candidates at random and picks the
/// one with the lower expected wait. New endpoints get a slow start.
std::unique_ptr<Balancer>
MakeTwoChoices(TwoChoicesOptions aOptions);

/// @brief Options of the expected-cost balancer. Costs are in lost requests.
struct ExpectedCostOptions
{
  /// Cost of a response after its latency target, for the users' workloads.
  double late_cost = 0.7;
  /// Standard deviation of the natural logarithm of the response time, for the
  /// users' workloads; response times are taken to be log-normal.
  double time_spread = 0.6;
  double load_cost = 0.005;   ///< Cost of an endpoint with all slots in use.
  double cold_factor = 2;     ///< Latency multiplier of a cold endpoint.
  double connect_cost = 0.03; ///< Cost of a new connection, which uses a slot.
  double tie = 0.003;         ///< Largest cost difference that is a tie.
  Duration default_latency = Milliseconds(200); ///< If none was observed.
  Duration default_target = Milliseconds(1000); ///< If none is set.
};

/// @brief Picks the candidate with the lowest expected cost; ties are broken at
/// random.
///
/// Suits services where most endpoints are idle and some of them fail. The
/// probability of a failure, which counts in full for requests that cannot be
/// retried, is weighed against waiting for a slot and against sending a large
/// body to another data centre. Needs the in-flight counts of other daemons;
/// without them, all daemons choose the same endpoint.
std::unique_ptr<Balancer>
MakeExpectedCost(ExpectedCostOptions aOptions);

/// @brief Round robin over the candidates; a baseline.
std::unique_ptr<Balancer>
MakeRoundRobin();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_BALANCER_H
