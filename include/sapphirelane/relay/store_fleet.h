#ifndef SAPPHIRELANE_RELAY_STORE_FLEET_H
#define SAPPHIRELANE_RELAY_STORE_FLEET_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/node_env.h"
#include "sapphirelane/relay/extra_budget.h"
#include "sapphirelane/relay/fleet_view.h"
#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/quota_ledger.h"
#include "sapphirelane/relay/read_pacer.h"
#include "sapphirelane/relay/source_call.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Network and store access of a store fleet; tests use a fake.
class StoreFleetEnv
{
public:
  virtual ~StoreFleetEnv() = default;

  /// @brief Sends a datagram to each address; it may be lost, delayed or
  /// duplicated.
  virtual void Send(const std::vector<std::string>& aAddresses,
                    const PeerMessage& aMessage) = 0;

  /// @brief Starts a store call; StoreFleet::OnSourceResult gets its result.
  virtual void CallSource(SourceCall aCall) = 0;

  /// @brief Starts a bulk call to a peer; StoreFleet::OnBulkReply gets its
  /// reply or failure.
  virtual void CallPeer(BulkCall aCall) = 0;
};

/// @brief Options of a daemon in a store fleet.
struct StoreFleetOptions
{
  MemberInfo self;
  std::uint64_t started_ms = 0;   ///< Wall clock at the start of this run.
  std::vector<std::string> seeds; ///< Addresses of peers; may be stale.
  FleetViewOptions view;
  ReadPacerOptions pacer;
  PeerBookOptions peers;
  QuotaOptions quota;
  ExtraBudgetOptions extras;
  /// The fleet starts for the first time; no daemon has run before.
  bool new_fleet = false;
  std::uint64_t seed = 1; ///< Of the random number generator.
};

/// @brief Status of a daemon in a store fleet, for operators and metrics.
struct StoreFleetStatus
{
  std::uint64_t config_version = 0;
  std::size_t endpoints = 0;
  Duration view_age{ 0 };
  std::size_t live = 1;    ///< Live daemons, this one included.
  std::size_t counted = 1; ///< Members: live daemons and those missing lately.
  bool store_answers = false;  ///< The latest store call succeeded.
  std::uint64_t store_era = 0; ///< Newest era of the store that is known.
  /// Evacuated data centres, with the time for which this daemon has known.
  std::map<std::string, Duration> evacuated;
};

/// @brief Daemon in a fleet whose configuration and endpoints come from an
/// external linearizable store.
///
/// A few daemons read the store and forward what they read to the others. Fleet
/// state that changes with each request, such as spent rate limit tokens,
/// retries, requests in flight and endpoint failures, is exchanged between the
/// daemons by messages and is not persisted.
class StoreFleet : public FleetControl
{
public:
  /// @brief Runs periodic work; called every few milliseconds.
  virtual void Tick(TimePoint aNow) = 0;

  /// @brief Handles a datagram from the daemon at aAddress.
  virtual void OnMessage(const std::string& aAddress,
                         const PeerMessage& aMessage,
                         TimePoint aNow) = 0;

  /// @brief Handles the result of a call started by StoreFleetEnv::CallSource.
  virtual void OnSource(const SourceResult& aResult, TimePoint aNow) = 0;

  /// @brief Handles the reply to a call started by StoreFleetEnv::CallPeer;
  /// aReply is empty if the call failed.
  virtual void OnBulkReply(std::uint64_t aCall,
                           const BulkReply& aReply,
                           TimePoint aNow) = 0;

  /// @brief Answers a bulk request of another daemon.
  virtual BulkMessage ServeBulk(const BulkMessage& aRequest,
                                TimePoint aNow) = 0;

  /// @brief Announces to the other daemons and the store that this one leaves.
  virtual void BeginStop(TimePoint aNow) = 0;

  virtual StoreFleetStatus Status(TimePoint aNow) const = 0;
};

/// @param aEnv Must outlive the fleet.
std::unique_ptr<StoreFleet>
MakeStoreFleet(StoreFleetOptions aOptions, StoreFleetEnv& aEnv);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_STORE_FLEET_H
