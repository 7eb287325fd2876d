#include "sapphirelane/routing/subset.h"

#include <algorithm>
#include <numeric>

#include "sapphirelane/routing/random.h"

namespace sapphirelane {

std::size_t
SubsetSize(std::size_t aEndpoints,
           std::size_t aHosts,
           std::size_t aConnections,
           std::size_t aPool)
{
  const std::size_t hosts = std::max<std::size_t>(1, aHosts);
  const std::size_t hostsOfOne = aConnections / std::max<std::size_t>(1, aPool);
  const std::size_t size = hostsOfOne * aEndpoints / hosts;
  return std::clamp<std::size_t>(size, 1, std::max<std::size_t>(1, aEndpoints));
}

std::vector<std::string>
ChooseSubset(const std::vector<std::string>& aEndpoints,
             std::size_t aHostRank,
             std::size_t aSize)
{
  if (aSize >= aEndpoints.size()) {
    return aEndpoints;
  }
  const std::size_t hostsInRound = aEndpoints.size() / aSize;
  const std::size_t round = aHostRank / hostsInRound;
  const std::size_t place = aHostRank % hostsInRound;
  std::vector<std::size_t> order(aEndpoints.size());
  std::iota(order.begin(), order.end(), 0);
  // A hand-made shuffle: std::shuffle may differ between libraries.
  Random random(round);
  for (std::size_t i = order.size() - 1; i > 0; --i) {
    std::swap(order[i], order[random() % (i + 1)]);
  }
  std::vector<std::string> chosen;
  for (std::size_t i = 0; i < aSize; ++i) {
    chosen.push_back(aEndpoints[order[place * aSize + i]]);
  }
  return chosen;
}

} // namespace sapphirelane
