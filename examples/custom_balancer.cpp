/// A balancer of one's own: it registers itself by name, and a daemon that is
/// linked with this file can name it in its settings under policies.balancer.
#include <iostream>

#include "sapphirelane/routing/balancer.h"

namespace {

using namespace sapphirelane; // NOLINT(google-build-using-namespace)

/// Takes the candidate with the fewest own requests.
class LeastInFlight : public Balancer
{
public:
  std::optional<std::size_t> Pick(const std::vector<Candidate>& aCandidates,
                                  TimePoint /*aNow*/,
                                  Random& /*aRandom*/) override
  {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (!best || aCandidates[i].in_flight < aCandidates[*best].in_flight) {
        best = i;
      }
    }
    return best;
  }
};

const BalancerRegistry::Registration kRegistered("least-in-flight", [] {
  return std::make_unique<LeastInFlight>();
});

} // namespace

int
main()
{
  try {
    auto balancer = BalancerRegistry::Make("least-in-flight");
    Random random(1);
    const std::vector<Candidate> candidates = { { "a", 2, 2 }, { "b", 2, 1 } };
    const auto picked = balancer->Pick(candidates, TimePoint{}, random);
    std::cout << "picked " << candidates[*picked].id << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
