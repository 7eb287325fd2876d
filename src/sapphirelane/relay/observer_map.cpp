#include "sapphirelane/relay/observer_map.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// Mixes two hashes (the finalizer of SplitMix64).
std::uint64_t
Weight(std::uint32_t aDaemon, std::uint32_t aEndpoint)
{
  constexpr int kHalf = 32;
  std::uint64_t mixed =
    (static_cast<std::uint64_t>(aDaemon) << kHalf | aEndpoint) +
    0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace

bool
ObserverMap::Update(Endpoints aEndpoints, std::vector<std::uint32_t> aDaemons)
{
  if (aEndpoints == m_endpoints && aDaemons == m_daemons) {
    return false;
  }
  m_endpoints = std::move(aEndpoints);
  m_daemons = std::move(aDaemons);
  m_observers.clear();
  std::vector<std::pair<std::uint64_t, std::uint32_t>> weighted;
  for (const auto& service : m_endpoints) {
    const std::size_t count = EndpointsPerDaemon(service.second.size());
    for (std::uint32_t daemon : m_daemons) {
      weighted.clear();
      for (std::uint32_t endpoint : service.second) {
        weighted.emplace_back(Weight(daemon, endpoint), endpoint);
      }
      const auto last = weighted.begin() + static_cast<std::ptrdiff_t>(count);
      std::nth_element(
        weighted.begin(), last, weighted.end(), std::greater<>());
      for (auto it = weighted.begin(); it != last; ++it) {
        m_observers[it->second].push_back(daemon);
      }
    }
  }
  return true;
}

std::size_t
ObserverMap::EndpointsPerDaemon(std::size_t aEndpoints) const
{
  if (m_daemons.size() <= m_options.observers) {
    return aEndpoints;
  }
  const std::size_t daemons = m_daemons.size();
  const std::size_t share =
    (m_options.observers * aEndpoints + daemons - 1) / daemons;
  return std::min(aEndpoints, std::max(share, m_options.min_endpoints));
}

const std::vector<std::uint32_t>&
ObserverMap::ObserversOf(std::uint32_t aEndpoint) const
{
  static const std::vector<std::uint32_t> kNone;
  auto found = m_observers.find(aEndpoint);
  return found == m_observers.end() ? kNone : found->second;
}

bool
ObserverMap::Observes(std::uint32_t aDaemon, std::uint32_t aEndpoint) const
{
  // The daemons are in ascending order, and so are the observers.
  const auto& observers = ObserversOf(aEndpoint);
  return std::binary_search(observers.begin(), observers.end(), aDaemon);
}

} // namespace sapphirelane
