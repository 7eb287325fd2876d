#include <algorithm>
#include <cmath>

#include "sapphirelane/routing/balancer.h"

namespace sapphirelane {

namespace {

class ExpectedCost : public Balancer
{
public:
  explicit ExpectedCost(ExpectedCostOptions aOptions)
    : m_options(aOptions)
  {
  }

  std::optional<std::size_t> Pick(const std::vector<Candidate>& aCandidates,
                                  TimePoint /*aNow*/,
                                  Random& aRandom) override
  {
    if (aCandidates.empty()) {
      return std::nullopt;
    }
    std::vector<double> costs;
    costs.reserve(aCandidates.size());
    for (const Candidate& candidate : aCandidates) {
      costs.push_back(Cost(candidate));
    }
    const double minCost = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> tied;
    for (std::size_t i = 0; i < costs.size(); ++i) {
      if (costs[i] <= minCost + m_options.tie) {
        tied.push_back(i);
      }
    }
    std::uniform_int_distribution<std::size_t> distribution(0, tied.size() - 1);
    return tied[distribution(aRandom)];
  }

private:
  /// Expected cost in lost requests. A response after the deadline
  /// costs a whole request, one after the latency target only the late cost.
  double Cost(const Candidate& aCandidate) const
  {
    const double slots = std::max(1U, aCandidate.slots);
    const double inFlight = aCandidate.in_flight + aCandidate.others_in_flight;
    const double queuedTurns = std::max(0.0, inFlight + 1 - slots) / slots;
    const double meanSeconds = Latency(aCandidate) * (1 + queuedTurns);
    const Duration target = aCandidate.target > Duration::zero()
                              ? aCandidate.target
                              : m_options.default_target;
    const double probDeadlineMissed =
      aCandidate.left > Duration::zero()
        ? ProbabilityOfLonger(aCandidate.left, meanSeconds)
        : 0;
    const double probTargetMissed =
      std::max(probDeadlineMissed, ProbabilityOfLonger(target, meanSeconds));
    const double connectCost =
      aCandidate.connected ? 0 : m_options.connect_cost;
    return connectCost + aCandidate.failure * aCandidate.failure_cost +
           aCandidate.transfer_cost + m_options.late_cost * probTargetMissed +
           (1 - m_options.late_cost) * probDeadlineMissed +
           m_options.load_cost * std::min(1.0, inFlight / slots);
  }

  /// Tail probability of a log-normal response time.
  /// @param aMeanSeconds Mean response time.
  /// @return Probability that a response takes longer than aTime.
  double ProbabilityOfLonger(Duration aTime, double aMeanSeconds) const
  {
    const double stddev = m_options.time_spread;
    const double logRatio = std::log(ToSeconds(aTime) / aMeanSeconds) / stddev;
    return std::erfc((logRatio + stddev / 2) / std::sqrt(2.0)) / 2;
  }

  double Latency(const Candidate& aCandidate) const
  {
    const double seconds = ToSeconds(aCandidate.latency > Duration::zero()
                                       ? aCandidate.latency
                                       : m_options.default_latency);
    return aCandidate.cold ? seconds * m_options.cold_factor : seconds;
  }

  ExpectedCostOptions m_options;
};

const BalancerRegistry::Registration kExpectedCost("expected-cost", [] {
  return MakeExpectedCost({});
});

} // namespace

std::unique_ptr<Balancer>
MakeExpectedCost(ExpectedCostOptions aOptions)
{
  return std::make_unique<ExpectedCost>(aOptions);
}

} // namespace sapphirelane
