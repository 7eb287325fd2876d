#ifndef SAPPHIRELANE_RELAY_WORK_BOARD_H
#define SAPPHIRELANE_RELAY_WORK_BOARD_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Requests in flight at each endpoint, by daemon, and this daemon's own
/// load report for the others.
///
/// Daemons report absolute numbers rather than differences, so that the next
/// update corrects a lost or duplicated one.
class WorkBoard
{
public:
  /// @brief Applies the endpoints, accounts and services of a configuration.
  void Load(const FleetConfig& aConfig);

  /// @brief Applies another daemon's update, in which EndpointWork::begun
  /// counts only what has begun since its update before.
  /// @return Its evidence about endpoints that are known here, by service.
  std::vector<FleetEvidence> Take(const WorkNews& aUpdate, TimePoint aNow);

  /// @brief Removes the requests in flight of a daemon that is no longer live.
  /// @return Evidence for the endpoints that it had requests at.
  std::vector<FleetEvidence> Drop(NodeId aNode, TimePoint aNow);

  /// @brief Removes requests in flight whose latest report is older than any
  /// request lasts: they have ended, and the report of it was lost.
  /// @return Evidence for their endpoints.
  std::vector<FleetEvidence> DropEnded(TimePoint aNow);

  /// @brief Daemons that have requests in flight.
  std::vector<NodeId> Nodes() const;

  /// @brief Id of an account by its hash; empty if unknown.
  std::string AccountOf(std::uint32_t aHash) const;

  /// @brief Id of a service by its hash; empty if unknown.
  std::string ServiceOf(std::uint32_t aHash) const;

  /// @brief Data centre of an endpoint by its hash; empty if unknown.
  std::string CentreOf(std::uint32_t aHash) const;

  // This daemon's own report.

  /// @brief Records requests of this daemon at an endpoint.
  void NoteOwn(const WorkReport& aReport);

  /// @brief Records that a request of a service ended.
  void NoteOutcome(const std::string& aService, bool aServed);

  /// @brief Records tokens of an account that were spent, or returned if
  /// aCount is negative.
  void NoteSpent(const std::string& aAccount, std::int32_t aCount);

  /// @brief Returns true if anything changed since the last report.
  bool HasNews() const;

  /// @brief Returns what has changed since the last call.
  WorkNews TakeNews();

  /// @brief Returns the changes at endpoints only.
  WorkNews TakeEndpointNews();

  /// @brief Returns the changes of accounts and services only.
  WorkNews TakeCounterNews();

  /// @brief Returns all counters of accounts and services, changed or not.
  WorkNews AllCounters() const;

  /// @brief Whether a report on endpoints, or on accounts and services, is due.
  bool HasEndpointNews() const { return !m_changedEndpoints.empty(); }
  bool HasCounterNews() const;
  bool HasSpentNews() const { return !m_changedAccounts.empty(); }

  /// @brief Hashes of the endpoints of a data centre, by hash of the service.
  std::map<std::uint32_t, std::set<std::uint32_t>> EndpointsOf(
    const std::string& aCentre) const;

private:
  struct EndpointInfo
  {
    std::string service;
    std::string endpoint;
    std::string data_centre;
  };

  /// Requests of one daemon at one endpoint.
  struct ReportedWork
  {
    std::uint32_t in_flight = 0;
    TimePoint reported_at{};
  };

  std::uint32_t TotalInFlight(std::uint32_t aEndpoint) const;

  std::unordered_map<std::uint32_t, EndpointInfo> m_endpoints;
  std::unordered_map<std::uint32_t, std::string> m_accounts;
  std::unordered_map<std::uint32_t, std::string> m_services;
  /// Requests in flight, by endpoint and daemon.
  std::unordered_map<std::uint32_t, std::map<NodeId, ReportedWork>> m_inFlight;
  Duration m_maxRequestTime{ 0 }; ///< Of all routes; 0 if not known.

  std::map<std::uint32_t, EndpointWork>
    m_changedEndpoints; ///< Not reported yet.
  /// Attempts of this daemon at each endpoint since its start.
  std::unordered_map<std::uint32_t, std::uint32_t> m_begun;
  std::map<std::uint32_t, std::uint32_t> m_localSpent;
  std::map<std::uint32_t, ServiceWork> m_localServices;
  std::set<std::uint32_t> m_changedAccounts;
  std::set<std::uint32_t> m_changedServices;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_WORK_BOARD_H
