#ifndef SAPPHIRELANE_MEMBERSHIP_NODE_H
#define SAPPHIRELANE_MEMBERSHIP_NODE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/head_writer.h"
#include "sapphirelane/membership/node_env.h"
#include "sapphirelane/membership/withdrawal_desk.h"

namespace sapphirelane {

/// @brief Settings of a node, fixed for its lifetime.
struct NodeOptions
{
  MemberInfo self;
  std::vector<std::string> seeds; ///< Addresses at which to find the fleet.
  Milliseconds dedup_window{ 600000 };
  std::uint64_t seed = 1; ///< Seed of the random number generator.
  bool joins = true;      ///< The node becomes a member of the map.
};

/// @brief State of a node, for the status page and the metrics.
struct NodeStatus
{
  NodeId id = 0;
  std::string host;
  std::uint64_t seq = 0;
  std::uint64_t config_version = 0;
  std::uint64_t map_epoch = 0;
  bool fresh = false;
  Duration evidence_age{ 0 };
  bool store_answers = false;
  bool member = false;
  std::size_t members = 0;
  std::size_t witnesses = 0;
  std::size_t shards_held = 0;
  std::size_t claims = 0;
  std::size_t withdrawals = 0;
  /// Evacuated data centres, with the time for which this daemon has known.
  std::map<std::string, Duration> evacuated;
};

/// @brief Control plane of one daemon: membership, configuration, tokens,
/// run-once claims and key revocations, as a deterministic state machine.
///
/// Has no thread and no clock of its own. All effects go through NodeEnv; the
/// caller passes in each message and result with the current time.
class Node : public FleetControl
{
public:
  // Input events.

  virtual void OnMessage(NodeId aFrom,
                         const std::string& aAddress,
                         const PeerMessage& aMessage,
                         TimePoint aNow) = 0;
  virtual void OnStore(const StoreResult& aResult, TimePoint aNow) = 0;
  virtual void OnBulkReply(std::uint64_t aCall,
                           const BulkReply& aReply,
                           TimePoint aNow) = 0;
  virtual BulkMessage ServeBulk(NodeId aFrom,
                                const BulkMessage& aRequest,
                                TimePoint aNow) = 0;
  virtual void Tick(TimePoint aNow) = 0;

  // Operator requests.

  /// @brief Proposes a change of the configuration.
  /// @param aDone Called once with the outcome.
  virtual void Propose(const ChangeSet& aChange,
                       TimePoint aNow,
                       HeadWriter::Done aDone) = 0;

  /// @brief Revokes a key at once on all daemons that can be reached, and has
  /// the revocation written to the configuration.
  /// @param aDone Called within seconds with how far it has spread.
  virtual void Withdraw(const std::string& aKeyId,
                        TimePoint aNow,
                        WithdrawalDesk::Done aDone) = 0;

  virtual NodeStatus Status(TimePoint aNow) = 0;
  virtual const std::optional<Head>& CurrentHead() const = 0;
  virtual std::vector<KeptChange> History() const = 0;

  // Graceful shutdown.

  /// @brief Starts to hand over shards, claims and voting slots, and to leave
  /// the map.
  virtual void BeginStop(TimePoint aNow) = 0;

  /// @brief Tells whether the hand-over is complete, or its time limit is over.
  virtual bool IsStopped(TimePoint aNow) const = 0;
};

/// @brief Creates a node.
/// @param aEnv Must outlive the node.
std::unique_ptr<Node>
MakeNode(const NodeOptions& aOptions, NodeEnv& aEnv);

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_NODE_H
