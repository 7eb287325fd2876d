#include "sapphirelane/routing/balancer.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

constexpr double kMinLatencySeconds = 0.001;

class TwoChoices : public Balancer
{
public:
  explicit TwoChoices(TwoChoicesOptions aOptions)
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
    if (aCandidates.size() == 1) {
      return 0;
    }
    std::uniform_int_distribution<std::size_t> first(0, aCandidates.size() - 1);
    std::uniform_int_distribution<std::size_t> second(0,
                                                      aCandidates.size() - 2);
    const std::size_t left = first(aRandom);
    std::size_t right = second(aRandom);
    if (right >= left) {
      ++right;
    }
    const double leftCost = Cost(aCandidates[left]);
    const double rightCost = Cost(aCandidates[right]);
    return leftCost <= rightCost ? left : right;
  }

private:
  /// Expected wait: load, from own requests and the decayed load report,
  /// times latency.
  double Cost(const Candidate& aCandidate) const
  {
    const double age = ToSeconds(aCandidate.report_age);
    const double halfLife = ToSeconds(m_options.report_half_life);
    const double reportWeight = std::exp2(-age / halfLife);
    const double ownLoad = static_cast<double>(aCandidate.in_flight + 1) /
                           static_cast<double>(aCandidate.slots);
    const double load = ownLoad + reportWeight * aCandidate.reported_load;
    const double latency =
      std::max(kMinLatencySeconds, ToSeconds(aCandidate.latency));
    return load * latency / SlowStartWeight(aCandidate);
  }

  /// Slow-start weight.
  double SlowStartWeight(const Candidate& aCandidate) const
  {
    const double ramp =
      ToSeconds(aCandidate.in_service_for) / ToSeconds(m_options.slow_start);
    return std::clamp(ramp, m_options.least_start_share, 1.0);
  }

  TwoChoicesOptions m_options;
};

class RoundRobin : public Balancer
{
public:
  std::optional<std::size_t> Pick(const std::vector<Candidate>& aCandidates,
                                  TimePoint /*aNow*/,
                                  Random& /*aRandom*/) override
  {
    if (aCandidates.empty()) {
      return std::nullopt;
    }
    return m_next++ % aCandidates.size();
  }

private:
  std::size_t m_next = 0;
};

const BalancerRegistry::Registration kTwoChoices("two-choices", [] {
  return MakeTwoChoices({});
});
const BalancerRegistry::Registration kRoundRobin("round-robin", [] {
  return MakeRoundRobin();
});

} // namespace

std::unique_ptr<Balancer>
MakeTwoChoices(TwoChoicesOptions aOptions)
{
  return std::make_unique<TwoChoices>(aOptions);
}

std::unique_ptr<Balancer>
MakeRoundRobin()
{
  return std::make_unique<RoundRobin>();
}

} // namespace sapphirelane
