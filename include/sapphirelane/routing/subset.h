#ifndef SAPPHIRELANE_ROUTING_SUBSET_H
#define SAPPHIRELANE_ROUTING_SUBSET_H

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirelane {

/// @brief Size of the subset that keeps an endpoint's connections in bounds.
/// @param aEndpoints Endpoints of the service.
/// @param aHosts Entry hosts in service.
/// @param aConnections Connections that one endpoint accepts.
/// @param aPool Connections that one host keeps to one endpoint.
/// @return Number of endpoints for each host, at least 1.
std::size_t
SubsetSize(std::size_t aEndpoints,
           std::size_t aHosts,
           std::size_t aConnections,
           std::size_t aPool);

/// @brief Chooses a host's endpoints so that all hosts load them evenly.
///
/// The endpoints are dealt out in a circle, host after host, so that the
/// numbers of hosts of two endpoints differ by one at the most.
///
/// @param aEndpoints Endpoint ids in the same order on every host.
/// @param aHostRank The host's place in the ordered list of hosts.
/// @param aSize Endpoints wanted.
std::vector<std::string>
ChooseSubset(const std::vector<std::string>& aEndpoints,
             std::size_t aHostRank,
             std::size_t aSize);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_SUBSET_H
