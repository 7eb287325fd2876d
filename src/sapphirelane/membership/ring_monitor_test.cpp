#include "sapphirelane/membership/ring_monitor.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "sapphirelane/membership/shard_map.h"
#include "sapphirelane/membership/timings.h"

namespace sapphirelane {
namespace {

class RingFixture
{
protected:
  RingFixture()
  {
    for (NodeId id = 1; id <= 8; ++id) {
      m_head.members.push_back({ id, "h", "dc", "127.0.0.1:1" });
    }
    m_ring.Load(m_head, m_now);
  }

  TimePoint m_now{ std::chrono::hours(1) };
  Head m_head;
  RingMonitor m_ring{ 1 };
};

TEST_CASE_METHOD(RingFixture,
                 "RingMonitor, eight members, sends heartbeats to four")
{
  CHECK(m_ring.Listeners() == std::vector<NodeId>{ 2, 3, 4, 5 });
}

TEST_CASE_METHOD(RingFixture, "RingMonitor, a silent neighbour, is suspected")
{
  const TimePoint later = m_now + kSuspectAfter + Milliseconds(1);
  for (NodeId id : { 5, 6, 7 }) {
    m_ring.Hear(id, later);
  }
  CHECK(m_ring.Silent(later) == std::vector<NodeId>{ 8 });
}

TEST_CASE_METHOD(
  RingFixture,
  "RingMonitor, reports of one member, are not enough; of two are")
{
  m_ring.Report(2, 8, m_now);
  CHECK(m_ring.Dead(m_now).empty());
  m_ring.Report(2, 8, m_now);
  CHECK(m_ring.Dead(m_now).empty());
  m_ring.Report(3, 8, m_now);
  CHECK(m_ring.Dead(m_now) == std::vector<NodeId>{ 8 });
  const TimePoint later = m_now + kReportLife + Milliseconds(1);
  CHECK(m_ring.Dead(later).empty());
}

TEST_CASE_METHOD(RingFixture,
                 "ShardMap, a member leaves, moves only its shards, each to "
                 "the next member in rank")
{
  const std::vector<NodeId> before = { 11, 22, 33, 44, 55 };
  const std::vector<NodeId> after = { 11, 22, 44, 55 };
  const ShardMap first(before);
  const ShardMap second(after);
  std::size_t moved = 0;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    if (first.Holder(shard) == 33) {
      ++moved;
      CHECK(second.Holder(shard) == first.At(shard, 1));
    } else {
      CHECK(second.Holder(shard) == first.Holder(shard));
    }
    CHECK(ShardMap::HolderAmong(before, shard) == first.Holder(shard));
  }
  CHECK(moved > kShards / 10);
  CHECK(moved < kShards / 3);
}

} // namespace
} // namespace sapphirelane
