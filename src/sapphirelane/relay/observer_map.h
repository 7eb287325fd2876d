#ifndef SAPPHIRELANE_RELAY_OBSERVER_MAP_H
#define SAPPHIRELANE_RELAY_OBSERVER_MAP_H

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace sapphirelane {

/// @brief Options of ObserverMap.
struct ObserverMapOptions
{
  /// Daemons on average that receive the load reports of one endpoint.
  std::size_t observers = 16;
  /// Endpoints of a service that each daemon observes at least, if it has them.
  std::size_t min_endpoints = 6;
};

/// @brief Assigns the endpoints of a data centre to the daemons there that
/// receive all load reports of them.
///
/// Load pattern: hundreds of daemons with a few requests a second each, before
/// endpoints with few slots. If each request were reported to every daemon of
/// the data centre, the messages would grow with its square. A daemon instead
/// sends most of its requests to the endpoints that it observes. Of each
/// service it observes those with the highest hash of daemon and endpoint, so
/// that the sets of two daemons overlap at random, and a daemon or endpoint
/// that comes or goes changes few of them. In a small data centre every daemon
/// observes all endpoints.
class ObserverMap
{
public:
  /// Hashes of the endpoints of each service, by hash of the service.
  using Endpoints = std::map<std::uint32_t, std::set<std::uint32_t>>;

  explicit ObserverMap(ObserverMapOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Sets the endpoints and daemons of the data centre.
  /// @param aDaemons Hashes of their hosts, sorted.
  /// @return False if nothing has changed.
  bool Update(Endpoints aEndpoints, std::vector<std::uint32_t> aDaemons);

  /// @brief Hashes of the daemons that observe an endpoint; empty if it is in
  /// another data centre.
  const std::vector<std::uint32_t>& ObserversOf(std::uint32_t aEndpoint) const;

  bool Observes(std::uint32_t aDaemon, std::uint32_t aEndpoint) const;

private:
  std::size_t EndpointsPerDaemon(std::size_t aEndpoints) const;

  ObserverMapOptions m_options;
  Endpoints m_endpoints;
  std::vector<std::uint32_t> m_daemons;
  std::unordered_map<std::uint32_t, std::vector<std::uint32_t>> m_observers;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_OBSERVER_MAP_H
