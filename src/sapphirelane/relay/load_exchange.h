#ifndef SAPPHIRELANE_RELAY_LOAD_EXCHANGE_H
#define SAPPHIRELANE_RELAY_LOAD_EXCHANGE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/relay/counter_exchange.h"
#include "sapphirelane/relay/extra_budget.h"
#include "sapphirelane/relay/observer_map.h"
#include "sapphirelane/relay/quota_ledger.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/work_board.h"
#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {

/// @brief Exchanges load reports with the other daemons of a fleet.
///
/// Sends this daemon's requests in flight, spent tokens and retries, and
/// applies those of the others to the rate limiter, the retry budget and the
/// load table. In a large fleet, reports on an endpoint only go to the daemons
/// that observe it (ObserverMap), and counters go by way of sums of data
/// centres (CounterExchange).
class LoadExchange : private CounterSink
{
public:
  /// @param aPeers Must outlive this object, as must the others.
  LoadExchange(const MemberInfo& aSelf,
               const PeerBook& aPeers,
               const UpdateSender& aSender,
               QuotaLedger& aQuota,
               ExtraBudget& aRetries);

  /// @brief Applies the endpoints, accounts and services of a configuration.
  void Load(const FleetConfig& aConfig) { m_load.Load(aConfig); }

  /// @brief Sets whether the fleet is large, and assigns the endpoints of this
  /// data centre to the daemons that are live now.
  void UpdateMembership(bool aLarge, TimePoint aNow);

  /// @brief Whether this daemon receives all reports on an endpoint.
  bool HearsWorkOf(const std::string& aEndpoint) const;

  /// @brief Changes whenever HearsWorkOf may return something else.
  std::uint64_t HearingRevision() const { return m_hearingRevision; }

  // This daemon's own work.
  void RecordLocalWork(const WorkReport& aReport, TimePoint aNow);
  void RecordOutcome(const std::string& aService, bool aServed, TimePoint aNow);
  void RecordSpent(const std::string& aAccount, std::int32_t aCount);

  /// @brief Sends the updates that are due.
  void Tick(TimePoint aNow);

  /// @brief Applies an update from another daemon.
  /// @return Its evidence about endpoints.
  std::vector<FleetEvidence> OnUpdate(const WorkNews& aUpdate, TimePoint aNow);

  /// @brief Applies the values from which another daemon's counters are to be
  /// taken.
  void OnBase(const CounterBase& aBase, TimePoint aNow);

  /// @brief Removes the requests in flight of daemons that are no longer live,
  /// and those that must have ended.
  /// @return Evidence for the endpoints that they had requests at.
  std::vector<FleetEvidence> RemoveDeadDaemons(TimePoint aNow);

  /// @brief Share of a service's recent requests that the fleet did not serve.
  double Shortfall(const std::string& aService, TimePoint aNow);

private:
  void OnSpent(std::uint32_t aAccount,
               std::uint32_t aCount,
               TimePoint aNow) override;
  void OnService(const ServiceDelta& aDelta, TimePoint aNow) override;
  void OnRefused(const WorkNews& aMessage,
                 std::uint32_t aValues,
                 TimePoint aNow) override;
  double BurstOf(std::uint32_t aAccount) const override;

  void SendUpdate(std::size_t aRelays, TimePoint aNow);
  void SendToObservers(const WorkNews& aUpdate);
  void SendToEndpointCentres(const WorkNews& aUpdate,
                             std::size_t aRelays,
                             TimePoint aNow);

  MemberInfo m_self;
  const PeerBook& m_peers;
  const UpdateSender& m_sender;
  QuotaLedger& m_quota;
  ExtraBudget& m_retries;
  WorkBoard m_load;
  std::map<std::string, ShortfallMeter> m_shortfalls; ///< By service.
  std::map<NodeId, ReceivedCounters> m_received;
  CounterExchange m_counters;
  std::uint32_t m_sequence = 0;
  TimePoint m_lastUpdate{};
  TimePoint m_nextRefusedLine{};
  std::uint64_t m_refused = 0; ///< Values of counters since the start.
  bool m_large = false;
  ObserverMap m_observers;
  std::uint64_t m_hearingRevision = 0;
  /// Addresses of the live daemons of this data centre, by hash of the host.
  std::map<std::uint32_t, std::string> m_neighbours;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_LOAD_EXCHANGE_H
