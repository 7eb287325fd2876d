#ifndef SAPPHIRELANE_ROUTING_SUBSET_H
#define SAPPHIRELANE_ROUTING_SUBSET_H

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirelane {

/// @brief Subset size that keeps the connections of each endpoint within its
/// limit.
///
/// Every host gets at least one endpoint, even if that exceeds the limit.
///
/// @param aEndpoints Number of endpoints of the service.
/// @param aHosts Number of entry hosts in service.
/// @param aMaxConnections Connections that one endpoint accepts.
/// @param aPoolSize Connections that one host keeps to one endpoint.
/// @return Number of endpoints for each host, at least 1.
std::size_t
SubsetSize(std::size_t aEndpoints,
           std::size_t aHosts,
           std::size_t aMaxConnections,
           std::size_t aPoolSize);

/// @brief Deterministic subsetting: chooses the endpoints that a host connects
/// to so that the hosts together load them evenly.
///
/// Endpoints are assigned round robin, host after host, so the numbers of hosts
/// of any two endpoints differ by at most one.
///
/// @param aEndpoints Endpoint ids in the same order on every host.
/// @param aHostRank Index of the host in the sorted list of hosts.
/// @param aSize Subset size, see SubsetSize.
std::vector<std::string>
ChooseSubset(const std::vector<std::string>& aEndpoints,
             std::size_t aHostRank,
             std::size_t aSize);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_SUBSET_H
