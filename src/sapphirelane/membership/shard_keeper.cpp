#include "sapphirelane/membership/shard_keeper.h"

#include <algorithm>

#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

std::vector<ShardMove>
ToMoves(const std::map<NodeId, std::vector<std::uint32_t>>& aByTarget)
{
  std::vector<ShardMove> moves;
  moves.reserve(aByTarget.size());
  for (const auto& entry : aByTarget) {
    moves.push_back({ entry.first, entry.second });
  }
  return moves;
}

} // namespace

ShardKeeper::ShardKeeper(NodeId aSelf, Duration aDedupWindow)
  : m_self(aSelf)
  , m_window(aDedupWindow)
  , m_shards(kShards)
{
}

std::vector<ShardMove>
ShardKeeper::Load(const std::optional<Head>& aEarlier,
                  const Head& aHead,
                  TimePoint aNow)
{
  NoteDeparted(aHead, aNow);
  const bool sameMap = aEarlier && aEarlier->map_epoch == aHead.map_epoch;
  if (sameMap) {
    return {};
  }
  // With a map skipped, another holder may have acted in between.
  const bool next = aEarlier && aEarlier->map_epoch + 1 == aHead.map_epoch;
  m_epoch = aHead.map_epoch;
  m_members = MemberIds(aHead);
  m_departed = aHead.departed;
  m_map = ShardMap(m_members);
  std::map<NodeId, std::vector<std::uint32_t>> moves;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    Shard& state = m_shards[shard];
    const NodeId holder = m_map.Holder(shard);
    const bool acted = IsActing(shard, aNow);
    if (holder == m_self && !m_gaveUp) {
      if (!acted || !next) {
        BeginWaiting(shard, aHead, next, aNow);
      }
      continue;
    }
    if (acted && next && holder != 0) {
      moves[holder].push_back(shard);
    }
    state.phase = Phase::None;
  }
  return ToMoves(moves);
}

void
ShardKeeper::NoteDeparted(const Head& aHead, TimePoint aNow)
{
  std::map<std::pair<NodeId, std::uint64_t>, TimePoint> since;
  for (const Departed& departed : aHead.departed) {
    since[{ departed.id, departed.map_epoch }] = DepartedSince(departed, aNow);
    m_retired.erase(departed.id);
  }
  m_departedSince = since;
}

TimePoint
ShardKeeper::DepartedSince(const Departed& aDeparted, TimePoint aNow) const
{
  auto known = m_departedSince.find({ aDeparted.id, aDeparted.map_epoch });
  return known == m_departedSince.end() ? aNow : known->second;
}

void
ShardKeeper::BeginWaiting(std::uint32_t aShard,
                          const Head& aHead,
                          bool aKnowsEarlier,
                          TimePoint aNow)
{
  Shard& state = m_shards[aShard];
  state.phase = Phase::Waiting;
  state.acts_from = aNow + kFreshFor + kDriftMargin;
  state.empty_since = state.acts_from;
  if (aHead.map_epoch == 1) {
    // The first map has no earlier holders.
    state.acts_from = aNow;
    state.empty_since = aNow;
  }
  // The earlier holder had its own claims remembered by another member, so
  // that its loss alone leaves no claim unknown.
  NodeId exempt = 0;
  const std::vector<NodeId> earlier = EarlierMemberIds(aHead);
  if (aKnowsEarlier && earlier.size() > 1) {
    exempt = ShardMap::HolderAmong(earlier, aShard);
  }
  BeginRecovery(state, exempt, aHead, aNow);
}

void
ShardKeeper::BeginRecovery(Shard& aShard,
                           NodeId aExempt,
                           const Head& aHead,
                           TimePoint aNow)
{
  aShard.complete = false;
  aShard.unsafe_until = aNow;
  for (const Departed& departed : aHead.departed) {
    const bool exempt =
      departed.id == aExempt && departed.map_epoch == aHead.map_epoch;
    if (!departed.clean && !exempt) {
      aShard.unsafe_until =
        std::max(aShard.unsafe_until, DepartedSince(departed, aNow) + m_window);
    }
  }
  aShard.untold.clear();
  for (NodeId member : m_members) {
    if (member != m_self) {
      aShard.untold.insert(member);
    }
  }
}

std::vector<ShardMove>
ShardKeeper::GiveUp(TimePoint aNow)
{
  std::map<NodeId, std::vector<std::uint32_t>> moves;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    const NodeId target = NextInRank(shard);
    if (IsActing(shard, aNow) && target != 0) {
      moves[target].push_back(shard);
    }
    m_shards[shard].phase = Phase::None;
  }
  m_gaveUp = true;
  return ToMoves(moves);
}

NodeId
ShardKeeper::NextInRank(std::uint32_t aShard) const
{
  for (std::size_t rank = 0; rank < kShardRanks; ++rank) {
    const NodeId member = m_map.At(aShard, rank);
    if (member != 0 && member != m_self && m_retired.count(member) == 0) {
      return member;
    }
  }
  return 0;
}

bool
ShardKeeper::Receive(NodeId aFrom,
                     bool aRetires,
                     std::uint64_t aMapEpoch,
                     const WireShard& aShard,
                     TimePoint aNow)
{
  if (aMapEpoch != m_epoch || aShard.shard >= kShards || m_gaveUp) {
    return false;
  }
  if (aRetires) {
    Retire(aFrom);
  }
  if (Holder(aShard.shard) != m_self) {
    return false;
  }
  Shard& state = m_shards[aShard.shard];
  if (state.phase == Phase::Acting && state.acts_from <= aNow) {
    return true;
  }
  const bool recovered = state.complete;
  state.phase = Phase::Acting;
  state.acts_from = aNow;
  state.empty_since = aNow - Milliseconds(aShard.empty_age_ms);
  if (aShard.claims_complete || recovered) {
    state.complete = true;
    state.untold.clear();
    return true;
  }
  // The earlier holder did not know all claims itself.
  Head head;
  head.map_epoch = m_epoch;
  head.departed = m_departed;
  BeginRecovery(state, 0, head, aNow);
  return true;
}

void
ShardKeeper::Retire(NodeId aMember)
{
  const bool member =
    std::find(m_members.begin(), m_members.end(), aMember) != m_members.end();
  if (member && aMember != m_self) {
    m_retired.insert(aMember);
  }
}

bool
ShardKeeper::IsActing(std::uint32_t aShard, TimePoint aNow)
{
  Shard& state = m_shards[aShard];
  if (state.phase == Phase::Waiting && aNow >= state.acts_from) {
    state.phase = Phase::Acting;
  }
  return state.phase == Phase::Acting;
}

TimePoint
ShardKeeper::EmptySince(std::uint32_t aShard) const
{
  return m_shards[aShard].empty_since;
}

bool
ShardKeeper::ClaimsComplete(std::uint32_t aShard, TimePoint aNow) const
{
  const Shard& state = m_shards[aShard];
  return state.complete || (state.untold.empty() && aNow >= state.unsafe_until);
}

std::vector<std::uint32_t>
ShardKeeper::Recovering() const
{
  std::vector<std::uint32_t> shards;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    const Shard& state = m_shards[shard];
    if (state.phase != Phase::None && !state.untold.empty()) {
      shards.push_back(shard);
    }
  }
  return shards;
}

void
ShardKeeper::OnClaims(NodeId aMember, const std::vector<std::uint32_t>& aShards)
{
  for (std::uint32_t shard : aShards) {
    if (shard < kShards) {
      m_shards[shard].untold.erase(aMember);
    }
  }
}

std::set<NodeId>
ShardKeeper::Untold() const
{
  std::set<NodeId> untold;
  for (const Shard& state : m_shards) {
    if (state.phase != Phase::None) {
      untold.insert(state.untold.begin(), state.untold.end());
    }
  }
  return untold;
}

NodeId
ShardKeeper::Holder(std::uint32_t aShard) const
{
  for (std::size_t rank = 0; rank < kShardRanks; ++rank) {
    const NodeId member = m_map.At(aShard, rank);
    if (m_retired.count(member) == 0) {
      return member;
    }
  }
  return m_map.Holder(aShard);
}

WireShard
ShardKeeper::Describe(std::uint32_t aShard, TimePoint aNow) const
{
  const Duration empty = aNow - m_shards[aShard].empty_since;
  WireShard wire;
  wire.shard = aShard;
  wire.claims_complete = ClaimsComplete(aShard, aNow);
  wire.empty_age_ms = static_cast<std::uint64_t>(
    std::max<Milliseconds::rep>(0, ToMilliseconds(empty).count()));
  return wire;
}

std::vector<Departed>
ShardKeeper::StillDeparted(const Head& aHead, TimePoint aNow) const
{
  std::vector<Departed> still;
  for (const Departed& departed : aHead.departed) {
    const Duration age = aNow - DepartedSince(departed, aNow);
    if (age <= m_window + kFreshFor) {
      still.push_back(departed);
    }
  }
  return still;
}

std::size_t
ShardKeeper::Held(TimePoint aNow)
{
  std::size_t held = 0;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    held += IsActing(shard, aNow) ? 1 : 0;
  }
  return held;
}

} // namespace sapphirelane
