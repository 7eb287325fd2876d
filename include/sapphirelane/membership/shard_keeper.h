#ifndef SAPPHIRELANE_MEMBERSHIP_SHARD_KEEPER_H
#define SAPPHIRELANE_MEMBERSHIP_SHARD_KEEPER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/head.h"
#include "sapphirelane/membership/shard_map.h"

namespace sapphirelane {

/// @brief Shards to hand over to one member.
struct ShardMove
{
  NodeId target = 0;
  std::vector<std::uint32_t> shards;
};

/// @brief Which shards this daemon holds, and since when it may act on them.
///
/// A daemon that learns that it holds a shard waits until every earlier holder
/// has seen the newer map or lapsed. It need not wait when the earlier holder
/// itself hands the shard over. All times are this daemon's own.
class ShardKeeper
{
public:
  ShardKeeper(NodeId aSelf, Duration aDedupWindow);

  /// @brief Takes over a newer head.
  /// @return Shards to hand over: this daemon acted on them until now.
  std::vector<ShardMove> Load(const std::optional<Head>& aEarlier,
                              const Head& aHead,
                              TimePoint aNow);

  /// @brief Gives up everything, to stop for good.
  /// @return Shards to hand over to the next in rank.
  std::vector<ShardMove> GiveUp(TimePoint aNow);

  /// @brief Takes a shard from its earlier holder.
  /// @param aFrom The holder that hands over and has stopped acting.
  /// @return False if the hand-over does not fit the map that is held.
  bool Receive(NodeId aFrom,
               bool aRetires,
               std::uint64_t aMapEpoch,
               const WireShard& aShard,
               TimePoint aNow);

  /// @brief Notes that a member stops for good, by its own word.
  void Retire(NodeId aMember);
  const std::set<NodeId>& Retired() const { return m_retired; }

  /// @brief Tells whether this daemon may act on a shard; the caller checks
  /// freshness as well.
  bool IsActing(std::uint32_t aShard, TimePoint aNow);

  /// @brief Since when a bucket that was never used was empty.
  TimePoint EmptySince(std::uint32_t aShard) const;

  /// @brief Tells whether every claim of a shard made before is known.
  bool ClaimsComplete(std::uint32_t aShard, TimePoint aNow) const;

  /// @brief Shards whose claims must be asked of the other members.
  std::vector<std::uint32_t> Recovering() const;

  /// @brief Notes that a member has told its claims of some shards.
  void OnClaims(NodeId aMember, const std::vector<std::uint32_t>& aShards);

  /// @brief Members that have not told their claims of some shard yet.
  std::set<NodeId> Untold() const;

  const ShardMap& Map() const { return m_map; }
  std::uint64_t MapEpoch() const { return m_epoch; }

  /// @brief Holder of a shard as far as this daemon knows.
  NodeId Holder(std::uint32_t aShard) const;

  /// @brief What to tell the next holder of a shard.
  WireShard Describe(std::uint32_t aShard, TimePoint aNow) const;

  /// @brief Departed members that no longer matter, for the next map.
  std::vector<Departed> StillDeparted(const Head& aHead, TimePoint aNow) const;

  /// @brief Number of shards acted on.
  std::size_t Held(TimePoint aNow);

private:
  enum class Phase
  {
    None,
    Waiting,
    Acting,
  };

  struct Shard
  {
    Phase phase = Phase::None;
    TimePoint acts_from{};
    TimePoint empty_since{};
    bool complete = false;
    TimePoint unsafe_until{}; ///< A lost member may know of claims.
    std::set<NodeId> untold;  ///< Members still to be asked.
  };

  void NoteDeparted(const Head& aHead, TimePoint aNow);
  TimePoint DepartedSince(const Departed& aDeparted, TimePoint aNow) const;
  void BeginWaiting(std::uint32_t aShard,
                    const Head& aHead,
                    bool aKnowsEarlier,
                    TimePoint aNow);
  void BeginRecovery(Shard& aShard,
                     NodeId aExempt,
                     const Head& aHead,
                     TimePoint aNow);
  NodeId NextInRank(std::uint32_t aShard) const;

  NodeId m_self;
  Duration m_window;
  ShardMap m_map;
  std::uint64_t m_epoch = 0;
  std::vector<NodeId> m_members;
  std::vector<Departed> m_departed;
  /// When this daemon learned of each departure, by member and map epoch.
  std::map<std::pair<NodeId, std::uint64_t>, TimePoint> m_departedSince;
  std::set<NodeId> m_retired;
  std::vector<Shard> m_shards;
  bool m_gaveUp = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_SHARD_KEEPER_H
