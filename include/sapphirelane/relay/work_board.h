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

/// @brief What the daemons of a fleet have in hand at each endpoint.
///
/// Each daemon tells the number it has there, not its changes, so that a lost
/// or doubled message is mended by the next one.
class WorkBoard
{
public:
  /// @brief Takes over which endpoints and accounts there are.
  void Load(const FleetConfig& aConfig);

  /// @brief Takes in another daemon's word.
  /// @return What it tells of endpoints that are known here.
  std::vector<FleetEvidence> Take(const WorkNews& aNews);

  /// @brief Forgets a daemon that is gone.
  std::vector<FleetEvidence> Drop(NodeId aNode);

  /// @brief Daemons that have requests in hand.
  std::vector<NodeId> Nodes() const;

  /// @brief Id of an account by its hash; empty if not known.
  std::string AccountOf(std::uint32_t aHash) const;
  std::string ServiceOf(std::uint32_t aHash) const;

  /// @brief Data centre of an endpoint by its hash; empty if not known.
  std::string CentreOf(std::uint32_t aHash) const;

  // What this daemon tells the others.

  /// @brief Notes this daemon's own work.
  void NoteOwn(const WorkReport& aReport);
  void NoteOutcome(const std::string& aService, bool aServed);
  void NoteSpent(const std::string& aAccount, std::int32_t aCount);

  /// @brief Tells whether there is anything to tell.
  bool HasNews() const;

  /// @brief Gives what has changed since the last call.
  WorkNews TakeNews();

private:
  struct Place
  {
    std::string service;
    std::string endpoint;
    std::string data_centre;
  };

  std::uint32_t Sum(std::uint32_t aEndpoint) const;

  std::unordered_map<std::uint32_t, Place> m_endpoints;
  std::unordered_map<std::uint32_t, std::string> m_accounts;
  std::unordered_map<std::uint32_t, std::string> m_services;
  /// Requests in hand, by endpoint and daemon.
  std::unordered_map<std::uint32_t, std::map<NodeId, std::uint32_t>> m_inFlight;

  std::map<std::uint32_t, EndpointWork> m_ownEndpoints; ///< Not told yet.
  std::map<std::uint32_t, std::uint32_t> m_ownSpent;
  std::map<std::uint32_t, ServiceWork> m_ownServices;
  std::set<std::uint32_t> m_newAccounts;
  std::set<std::uint32_t> m_newServices;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_WORK_BOARD_H
