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

/// @brief What a daemon knows of an endpoint that may be chosen.
struct Candidate
{
  std::string id;
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;        ///< Requests of this daemon.
  std::uint32_t others_in_flight = 0; ///< Requests of other daemons.
  double reported_load = 0;           ///< Share of slots in use, as reported.
  Duration report_age{ 0 };           ///< Age of the report.
  Duration latency{ 0 };              ///< Smoothed time to the first byte.
  Duration in_service_for{ 0 };       ///< Since the endpoint became eligible.
  Duration target{ 0 };               ///< Latency aimed at; 0 for none.
  Duration left{ 0 };       ///< Time that the caller still waits; 0 for long.
  double failure = 0;       ///< Probability that it fails the request.
  double failure_cost = 0;  ///< What a failure loses, in requests.
  double transfer_cost = 0; ///< Of sending it there, in requests.
  bool cold = false;        ///< Works slowly, as it has just started.
  bool connected = false;   ///< A kept connection is free.
};

/// @brief Chooses the endpoint of one attempt.
class Balancer
{
public:
  static constexpr const char* kKind = "balancer";

  virtual ~Balancer() = default;

  /// @param aCandidates Endpoints that may get work; may be empty.
  /// @return Index of the chosen candidate, or nothing if there is none.
  virtual std::optional<std::size_t> Pick(
    const std::vector<Candidate>& aCandidates,
    TimePoint aNow,
    Random& aRandom) = 0;
};

using BalancerRegistry = Registry<Balancer>;

/// @brief Options of the two-choices balancer.
struct TwoChoicesOptions
{
  Duration report_half_life = Milliseconds(500); ///< Weight of old reports.
  Duration slow_start = Milliseconds(10000);     ///< Ramp of a new endpoint.
  double least_start_share = 0.1; ///< Weight at the start of the ramp.
};

/// @brief Draws two candidates at random and takes the less loaded.
std::unique_ptr<Balancer>
MakeTwoChoices(TwoChoicesOptions aOptions);

/// @brief Options of the expected-cost balancer. Costs are in requests lost.
struct ExpectedCostOptions
{
  double late_cost =
    0.7; ///< Of an answer past its target, of the users' kinds.
  /// Deviation of the logarithm of the time to an answer; of the users' work.
  double time_spread = 0.6;
  double load_cost = 0.005;   ///< Of all slots of an endpoint being in use.
  double cold_factor = 2;     ///< Times as long that a cold endpoint takes.
  double connect_cost = 0.03; ///< Of a new connection, which takes a slot.
  double tie = 0.003;         ///< Costs this close are drawn from at random.
  Duration default_latency = Milliseconds(200); ///< Where none is known.
  Duration default_target = Milliseconds(1000); ///< Where none is set.
};

/// @brief Takes the candidate that is expected to lose least.
///
/// Answers requests that find most endpoints idle and some of them failing: it
/// weighs the probability of a failure, which counts in full for work that
/// cannot be repeated, against waiting for a slot and against sending a large
/// body to another data centre. Needs to know other daemons' requests in
/// flight; without them, daemons choose the same endpoint.
std::unique_ptr<Balancer>
MakeExpectedCost(ExpectedCostOptions aOptions);

/// @brief Takes the candidates in turn; a baseline.
std::unique_ptr<Balancer>
MakeRoundRobin();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_BALANCER_H
