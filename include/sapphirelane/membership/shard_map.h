#ifndef SAPPHIRELANE_MEMBERSHIP_SHARD_MAP_H
#define SAPPHIRELANE_MEMBERSHIP_SHARD_MAP_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Shards that accounts, claims and services are divided into.
constexpr std::uint32_t kShards = 1024;

/// @brief Members that a shard is ranked for: its holder and the next ones.
constexpr std::size_t kShardRanks = 3;

/// @brief Shard of an account's budget or a claim.
std::uint32_t
ShardOf(const std::string& aKey);

/// @brief Ranks members for each shard by rendezvous hashing.
///
/// When a member leaves, each of its shards goes to the member that was next
/// in rank, and no other shard moves.
class ShardMap
{
public:
  ShardMap() = default;
  explicit ShardMap(const std::vector<NodeId>& aMembers);

  /// @brief The member of a rank for a shard; 0 if there is none.
  NodeId At(std::uint32_t aShard, std::size_t aRank) const;

  /// @brief The holder of one shard among some members, without a map.
  static NodeId HolderAmong(const std::vector<NodeId>& aMembers,
                            std::uint32_t aShard);

  /// @brief The holder of a shard; 0 if there are no members.
  NodeId Holder(std::uint32_t aShard) const { return At(aShard, 0); }

private:
  std::vector<NodeId> m_ranked; ///< kShardRanks entries for each shard.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_SHARD_MAP_H
