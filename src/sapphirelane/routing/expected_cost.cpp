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
    const double least = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> close;
    for (std::size_t i = 0; i < costs.size(); ++i) {
      if (costs[i] <= least + m_options.tie) {
        close.push_back(i);
      }
    }
    std::uniform_int_distribution<std::size_t> draw(0, close.size() - 1);
    return close[draw(aRandom)];
  }

private:
  double Cost(const Candidate& aCandidate) const
  {
    const double slots = std::max(1U, aCandidate.slots);
    const double ahead = aCandidate.in_flight + aCandidate.others_in_flight;
    const double waiting = std::max(0.0, ahead + 1 - slots) / slots;
    const double time = Latency(aCandidate) * (1 + waiting);
    const Duration target = aCandidate.target > Duration::zero()
                              ? aCandidate.target
                              : m_options.default_target;
    const double lost = aCandidate.left > Duration::zero()
                          ? LongerThan(aCandidate.left, time)
                          : 0;
    const double late = std::max(lost, LongerThan(target, time));
    const double connect = aCandidate.connected ? 0 : m_options.connect_cost;
    return connect + aCandidate.failure * aCandidate.failure_cost +
           aCandidate.transfer_cost + m_options.late_cost * late +
           (1 - m_options.late_cost) * lost +
           m_options.load_cost * std::min(1.0, ahead / slots);
  }

  /// @return Probability that an answer takes longer than a time.
  /// @param aMean Mean time to it, in seconds.
  double LongerThan(Duration aTime, double aMean) const
  {
    const double spread = m_options.time_spread;
    const double ratio = std::log(ToSeconds(aTime) / aMean) / spread;
    return std::erfc((ratio + spread / 2) / std::sqrt(2.0)) / 2;
  }

  double Latency(const Candidate& aCandidate) const
  {
    const double known = ToSeconds(aCandidate.latency > Duration::zero()
                                     ? aCandidate.latency
                                     : m_options.default_latency);
    return aCandidate.cold ? known * m_options.cold_factor : known;
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
