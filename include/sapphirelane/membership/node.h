#ifndef SAPPHIRELANE_MEMBERSHIP_NODE_H
#define SAPPHIRELANE_MEMBERSHIP_NODE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/head_writer.h"
#include "sapphirelane/membership/node_env.h"
#include "sapphirelane/membership/withdrawal_desk.h"

namespace sapphirelane {

/// @brief What a node is told at its start.
struct NodeOptions
{
  MemberInfo self;
  std::vector<std::string> seeds;
  Milliseconds dedup_window{ 600000 };
  std::uint64_t seed = 1; ///< Of its random choices.
  bool joins = true;      ///< Becomes a member of the map.
};

/// @brief What a node tells operators of itself.
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
};

/// @brief One daemon's share of the fleet's control; a state machine.
///
/// Holds no thread and no clock. The world is behind NodeEnv; whatever comes
/// back is handed in with the present time.
class Node : public FleetControl
{
public:
  // What comes in.

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

  // For operators.

  /// @brief Has a change accepted; the result follows.
  virtual void Propose(const ChangeSet& aChange,
                       TimePoint aNow,
                       HeadWriter::Done aDone) = 0;

  /// @brief Withdraws a key at once; the result follows within seconds.
  virtual void Withdraw(const std::string& aKeyId,
                        TimePoint aNow,
                        WithdrawalDesk::Done aDone) = 0;

  virtual NodeStatus Status(TimePoint aNow) = 0;
  virtual const std::optional<Head>& CurrentHead() const = 0;
  virtual std::vector<KeptChange> History() const = 0;

  // Planned stop.

  /// @brief Hands everything over and leaves the map.
  virtual void BeginStop(TimePoint aNow) = 0;

  /// @brief Tells whether the hand-over is done, as well as it can be.
  virtual bool IsStopped(TimePoint aNow) const = 0;
};

/// @param aEnv Outlives the node.
std::unique_ptr<Node>
MakeNode(const NodeOptions& aOptions, NodeEnv& aEnv);

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_NODE_H
