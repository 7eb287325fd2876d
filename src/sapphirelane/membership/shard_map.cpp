#include "sapphirelane/membership/shard_map.h"

#include <algorithm>
#include <array>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

namespace {

std::uint64_t
Weight(NodeId aMember, std::uint32_t aShard)
{
  const std::array<std::uint64_t, 2> parts = { aMember, aShard };
  return StableHash(
    { reinterpret_cast<const char*>(parts.data()), sizeof parts });
}

} // namespace

std::uint32_t
ShardOf(const std::string& aKey)
{
  return static_cast<std::uint32_t>(StableHash(aKey) % kShards);
}

ShardMap::ShardMap(const std::vector<NodeId>& aMembers)
  : m_ranked(kShards * kShardRanks, 0)
{
  std::vector<std::pair<std::uint64_t, NodeId>> weighed(aMembers.size());
  const std::size_t ranks = std::min(kShardRanks, aMembers.size());
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    for (std::size_t i = 0; i < aMembers.size(); ++i) {
      weighed[i] = { Weight(aMembers[i], shard), aMembers[i] };
    }
    std::partial_sort(weighed.begin(),
                      weighed.begin() + static_cast<std::ptrdiff_t>(ranks),
                      weighed.end(),
                      std::greater<>());
    for (std::size_t rank = 0; rank < ranks; ++rank) {
      m_ranked[shard * kShardRanks + rank] = weighed[rank].second;
    }
  }
}

NodeId
ShardMap::HolderAmong(const std::vector<NodeId>& aMembers, std::uint32_t aShard)
{
  std::pair<std::uint64_t, NodeId> best{ 0, 0 };
  for (NodeId member : aMembers) {
    best = std::max(best, std::make_pair(Weight(member, aShard), member));
  }
  return best.second;
}

NodeId
ShardMap::At(std::uint32_t aShard, std::size_t aRank) const
{
  const std::size_t index = aShard * kShardRanks + aRank;
  return index < m_ranked.size() ? m_ranked[index] : 0;
}

} // namespace sapphirelane
