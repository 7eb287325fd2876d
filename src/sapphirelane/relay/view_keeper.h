#ifndef SAPPHIRELANE_RELAY_VIEW_KEEPER_H
#define SAPPHIRELANE_RELAY_VIEW_KEEPER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/relay/config_history.h"
#include "sapphirelane/relay/delay_estimator.h"
#include "sapphirelane/relay/fleet_view.h"
#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/read_pacer.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/store_fleet.h"
#include "sapphirelane/relay/transfer_budget.h"

namespace sapphirelane {

/// @brief Keeps this daemon's replica of the store up to date.
///
/// Reads the store when ReadPacer says so, sends what was read to the other
/// daemons, applies their updates, and fetches what its view lacks from a peer
/// when updates are missing or the store cannot be reached.
class ViewReplica
{
public:
  /// Called after the view may have changed, with the source of the update:
  /// "store" or "peer".
  using OnChange = std::function<void(TimePoint, const char*)>;

  /// @param aEnv Must outlive this object, as must the others.
  ViewReplica(const StoreFleetOptions& aOptions,
              StoreFleetEnv& aEnv,
              const PeerBook& aPeers,
              const UpdateSender& aSender,
              Random& aRandom,
              OnChange aOnChange);

  const FleetView& View() const { return m_view; }

  /// @brief Time since the first tick.
  Milliseconds Uptime(TimePoint aNow) const;

  /// @brief Records a message with its sender's uptime; see DelayEstimator.
  Duration RecordDelay(NodeId aSender, Milliseconds aUptime, TimePoint aNow);

  /// @brief "store", or the address of the daemon that last refreshed the view.
  const std::string& Source() const { return m_source; }

  void Tick(TimePoint aNow);

  // Results of store calls.
  void OnEndpointsRead(const SourceResult& aResult, TimePoint aNow);
  void OnConfigRead(const SourceResult& aResult, TimePoint aNow);

  // Messages from other daemons.
  void OnUpdate(const std::string& aAddress,
                const ViewNews& aUpdate,
                TimePoint aNow);
  void OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow);

  /// @brief Answers another daemon's request for the view.
  ViewReply AnswerFetch(const FetchView& aFetch, TimePoint aNow);

private:
  void ApplyEndpoints(StoreVersion aBase,
                      StoreVersion aVersion,
                      const std::vector<EndpointChange>& aChanges,
                      Duration aAge,
                      const std::string& aSource,
                      TimePoint aNow);
  void RecordSource(const std::string& aSource,
                    Duration aAgeBefore,
                    TimePoint aNow);
  void LogDepartures(const std::string& aSource, TimePoint aNow);
  bool TakeEvacuations(const std::vector<EvacuationChange>& aChanges,
                       std::optional<EvacuationVersion> aWholeAt,
                       const std::string& aSource,
                       TimePoint aNow);
  void LogEvacuations(const std::string& aSource, TimePoint aNow);
  void ReadStore(TimePoint aNow);
  void ReadConfig();
  void SendUpdate(TimePoint aNow);
  void SpreadLocally(ViewNews aUpdate, TimePoint aNow);
  void RecordNewerConfig(std::uint64_t aVersion, bool aIsLocal, TimePoint aNow);
  void FetchFromPeerIfStale(TimePoint aNow);
  void FetchFrom(const std::string& aAddress,
                 const char* aReason,
                 TimePoint aNow);
  void RetryFetch(TimePoint aNow);
  void OnBusyReply(const ViewReply& aReply, TimePoint aNow);
  void LogFetch(const ViewReply* aReply, TimePoint aNow) const;
  bool TakeConfig(FleetConfig aConfig);
  void ApplyConfig(const ViewReply& aReply);
  void ApplyView(const ViewReply& aReply, TimePoint aNow);
  void AddConfig(ViewReply& aReply, std::uint64_t aBase);
  std::string PickReceiver(const std::string& aExcept) const;

  StoreFleetEnv& m_env;
  const PeerBook& m_peers;
  const UpdateSender& m_sender;
  Random& m_random;
  OnChange m_onChange;
  std::vector<std::string> m_seeds;
  std::string m_address;
  std::string m_dataCentre;
  FleetView m_view;
  std::string m_source; ///< See Source.
  DelayEstimator m_delays;
  NodeId m_self;
  TimePoint m_startedAt{}; ///< Time of the first tick.
  ReadPacer m_pacer;
  Duration m_readDuration{ 0 }; ///< Of the latest known read.
  bool m_readingConfig = false;
  bool m_readEndpointsNext = false; ///< After the configuration.
  StoreVersion m_configCursor;
  std::uint64_t m_newestConfigVersion = 0; ///< Reported by a daemon.
  TimePoint m_nextConfigRead{};
  std::uint64_t m_lastCallId = 0;
  std::uint64_t m_pendingFetch = 0; ///< Id of the call; 0 for none.
  std::string m_fetchAddress;       ///< Of the daemon that is asked.
  const char* m_fetchReason = "";
  TimePoint m_fetchStarted{};
  TimePoint m_fetchDeadline{};
  TimePoint m_nextPeerFetch{};
  bool m_fetchWhole = false;   ///< What was fetched did not complete the view.
  bool m_lacksChanges = false; ///< Since an update that did not complete it.
  std::string m_retryAddress;  ///< Daemon to ask next; empty for none.
  TimePoint m_retryAt{};
  int m_referrals = 0;          ///< Daemons in a row that were busy.
  TimePoint m_nextIgnoredLog{}; ///< Of evacuations.
  ConfigHistory m_configs;
  TransferBudget m_budget;
  /// Daemons that were sent the newest configuration.
  std::deque<std::string> m_receivers;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_VIEW_KEEPER_H
