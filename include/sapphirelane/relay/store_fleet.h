#ifndef SAPPHIRELANE_RELAY_STORE_FLEET_H
#define SAPPHIRELANE_RELAY_STORE_FLEET_H

#include <cstdint>
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

/// @brief What a store fleet needs of the world; a fake stands in in tests.
class StoreFleetEnv
{
public:
  virtual ~StoreFleetEnv() = default;

  /// @brief Sends a datagram to each address; it may be lost, late or doubled.
  virtual void Send(const std::vector<std::string>& aAddresses,
                    const PeerMessage& aMessage) = 0;

  /// @brief Starts a call of the store; its result follows.
  virtual void CallSource(SourceCall aCall) = 0;

  /// @brief Starts a bulk call; its reply or its failure follows.
  virtual void CallPeer(BulkCall aCall) = 0;
};

/// @brief Options of a daemon of a store fleet.
struct StoreFleetOptions
{
  MemberInfo self;
  std::uint64_t started_ms = 0;   ///< Wall clock at the start of this run.
  std::vector<std::string> seeds; ///< Peers' addresses, perhaps stale.
  FleetViewOptions view;
  ReadPacerOptions pacer;
  PeerBookOptions peers;
  QuotaOptions quota;
  ExtraBudgetOptions extras;
  std::uint64_t seed = 1; ///< Of the choices made at random.
};

/// @brief How a daemon of a store fleet stands, for operators and metrics.
struct StoreFleetStatus
{
  std::uint64_t config_version = 0;
  std::size_t endpoints = 0;
  Duration view_age{ 0 };
  std::size_t live = 1;    ///< Daemons, itself included.
  std::size_t counted = 1; ///< Daemons that should be there.
  bool store_answers = false;
};

/// @brief The fleet of daemons around a linearizable store that others own.
///
/// The store says what is configured and which endpoints there are; a few
/// daemons read it and tell the others. What is counted and judged together,
/// such as rates, further attempts and failing endpoints, spreads between the
/// daemons as messages; nothing of it is kept.
class StoreFleet : public FleetControl
{
public:
  virtual void Tick(TimePoint aNow) = 0;
  virtual void OnMessage(const std::string& aAddress,
                         const PeerMessage& aMessage,
                         TimePoint aNow) = 0;
  virtual void OnSource(const SourceResult& aResult, TimePoint aNow) = 0;
  virtual void OnBulkReply(std::uint64_t aCall,
                           const BulkReply& aReply,
                           TimePoint aNow) = 0;
  virtual BulkMessage ServeBulk(const BulkMessage& aRequest,
                                TimePoint aNow) = 0;

  /// @brief Tells the others that this daemon goes away.
  virtual void BeginStop(TimePoint aNow) = 0;

  virtual StoreFleetStatus Status(TimePoint aNow) const = 0;
};

/// @param aEnv Outlives the fleet.
std::unique_ptr<StoreFleet>
MakeStoreFleet(StoreFleetOptions aOptions, StoreFleetEnv& aEnv);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_STORE_FLEET_H
