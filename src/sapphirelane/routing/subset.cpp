#include "sapphirelane/routing/subset.h"

#include <algorithm>

namespace sapphirelane {

std::size_t
SubsetSize(std::size_t aEndpoints,
           std::size_t aHosts,
           std::size_t aMaxConnections,
           std::size_t aPoolSize)
{
  const std::size_t hosts = std::max<std::size_t>(1, aHosts);
  const std::size_t hostsPerEndpoint =
    aMaxConnections / std::max<std::size_t>(1, aPoolSize);
  const std::size_t size = hostsPerEndpoint * aEndpoints / hosts;
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
  std::vector<std::string> chosen;
  chosen.reserve(aSize);
  for (std::size_t i = 0; i < aSize; ++i) {
    chosen.push_back(aEndpoints[(aHostRank * aSize + i) % aEndpoints.size()]);
  }
  return chosen;
}

} // namespace sapphirelane
