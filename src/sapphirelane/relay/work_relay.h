#ifndef SAPPHIRELANE_RELAY_WORK_RELAY_H
#define SAPPHIRELANE_RELAY_WORK_RELAY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/relay/extra_budget.h"
#include "sapphirelane/relay/quota_ledger.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/work_board.h"
#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {

/// @brief Exchanges load reports with the other daemons of a fleet.
///
/// Sends this daemon's requests in flight, spent tokens and retries, and
/// applies those of the others to the rate limiter, the retry budget and the
/// load table. In a large fleet, updates of single daemons only go to the data
/// centre of the daemon and to that of the endpoint; other data centres get
/// totals of the data centre.
class LoadExchange
{
public:
  /// @param aPeers Must outlive this object, as must the others.
  LoadExchange(MemberInfo aSelf,
               const PeerBook& aPeers,
               const UpdateSender& aSender,
               QuotaLedger& aQuota,
               ExtraBudget& aRetries);

  /// @brief Applies the endpoints, accounts and services of a configuration.
  void Load(const FleetConfig& aConfig) { m_load.Load(aConfig); }

  /// @brief Sets whether the fleet is large, and data centres exchange totals.
  void SetLarge(bool aLarge) { m_large = aLarge; }

  // This daemon's own work.
  void RecordLocalWork(const WorkReport& aReport, TimePoint aNow);
  void RecordOutcome(const std::string& aService, bool aServed, TimePoint aNow);
  void RecordSpent(const std::string& aAccount, std::int32_t aCount);

  /// @brief Sends the updates that are due.
  void Tick(TimePoint aNow);

  /// @brief Applies an update from another daemon.
  /// @return Its evidence about endpoints.
  std::vector<FleetEvidence> OnUpdate(const WorkNews& aUpdate, TimePoint aNow);

  /// @brief Removes the requests in flight of daemons that are no longer live,
  /// and those that must have ended.
  /// @return Evidence for the endpoints that they had requests at.
  std::vector<FleetEvidence> RemoveDeadDaemons(TimePoint aNow);

  /// @brief Share of a service's recent requests that the fleet did not serve.
  double Shortfall(const std::string& aService, TimePoint aNow);

private:
  /// Latest counters that one run of a daemon has reported.
  struct ReceivedCounters
  {
    using Counters = std::map<std::uint32_t, std::uint32_t>;

    std::uint32_t sequence = 0; ///< Newest message; 0 before the first.
    /// Its updates were received from its start on, so that everything that it
    /// has counted is new here.
    bool since_start = false;
    Counters spent;
    Counters requests;
    Counters extras;
    Counters ended;
    Counters unserved;

    /// @brief Records the sequence number of a received message.
    void RecordMessage(std::uint32_t aSequence);

    /// @brief Stores the new value of a counter.
    /// @return How far it has advanced; 0 for the first value from a daemon
    /// that had counted before its first message was received.
    std::uint32_t Advance(Counters& aCounters,
                          std::uint32_t aKey,
                          std::uint32_t aValue) const;
  };

  /// Totals of all daemons of this data centre.
  struct CentreTotals
  {
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, std::uint32_t> spent;
    std::map<std::uint32_t, ServiceWork> services;
    std::set<std::uint32_t> changed_accounts; ///< Not reported yet.
    std::set<std::uint32_t> changed_services; ///< Not reported yet.
  };

  void SendUpdate(std::size_t aRelays, TimePoint aNow);
  void SendToEndpointCentres(const WorkNews& aUpdate,
                             std::size_t aRelays,
                             TimePoint aNow);
  void AddToCentreTotals(const WorkNews& aUpdate);
  void SendCentreTotals(TimePoint aNow);

  MemberInfo m_self;
  const PeerBook& m_peers;
  const UpdateSender& m_sender;
  QuotaLedger& m_quota;
  ExtraBudget& m_retries;
  WorkBoard m_load;
  std::map<std::string, ShortfallMeter> m_shortfalls; ///< By service.
  std::map<NodeId, ReceivedCounters> m_received;
  std::uint32_t m_sequence = 0;
  TimePoint m_lastUpdate{};
  bool m_large = false;
  std::map<NodeId, ReceivedCounters> m_centreReceived;
  CentreTotals m_centreTotals;
  /// This daemon sends the totals of its data centre.
  bool m_aggregates = false;
  /// Times that it took over this role.
  std::uint32_t m_aggregationEpoch = 0;
  TimePoint m_lastCentreUpdate{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_WORK_RELAY_H
