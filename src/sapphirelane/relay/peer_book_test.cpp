#include "sapphirelane/relay/peer_book.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class PeerTableFixture
{
protected:
  static PresenceNews Presence(const std::string& aHost,
                               const std::string& aCentre,
                               NodeId aId,
                               std::uint64_t aStarted = 1)
  {
    PresenceNews update;
    update.self = { aId, aHost, aCentre, aHost + ":1" };
    update.started_ms = aStarted;
    return update;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  PeerBook m_peers{ {}, { 1, "self", "a", "self:1" } };
};

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, silent daemon, is no longer live")
{
  m_peers.OnPresence(Presence("near", "a", 2), m_now);
  CHECK(m_peers.Neighbours(m_now).size() == 1);
  m_now += Milliseconds(1700);
  CHECK(m_peers.Neighbours(m_now).empty());
  CHECK(m_peers.Live(m_now) == 1);
  CHECK(m_peers.Counted(m_now) == 2); // It stays a member for a while.
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, heartbeat of an earlier run, is ignored")
{
  m_peers.OnPresence(Presence("near", "a", 3, 20), m_now);
  m_peers.OnPresence(Presence("near", "a", 2, 10), m_now);
  CHECK(m_peers.IsLive(NodeId(3), m_now));
  CHECK_FALSE(m_peers.IsLive(NodeId(2), m_now));
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, clock set back before a restart, accepts the new "
                 "run once the earlier one is silent")
{
  m_peers.OnPresence(Presence("near", "a", 2, 5000), m_now);
  m_now += Milliseconds(1000);
  m_peers.OnPresence(Presence("near", "a", 3, 4000), m_now);
  // The heartbeat may be a delayed one of an earlier run.
  CHECK(m_peers.IsLive(NodeId(2), m_now));
  m_now += Milliseconds(1000);
  CHECK(m_peers.OnPresence(Presence("near", "a", 3, 4000), m_now));
  CHECK(m_peers.IsLive(NodeId(3), m_now));
  CHECK_FALSE(m_peers.IsLive(NodeId(2), m_now));
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, daemon listed as live in its data centre, is live")
{
  m_peers.OnListed({ "far", "b", "far:1" }, m_now);
  m_peers.OnListed({ "other", "b", "other:1" }, m_now);
  auto update = Presence("far", "b", 4);
  update.neighbours = { ShortHash("other") };
  update.ages = { 0 };
  m_peers.OnPresence(update, m_now);
  CHECK(m_peers.Live(m_now) == 3);
  Random random(1);
  CHECK(m_peers.Relays(2, m_now, random).size() == 2);
  CHECK(m_peers.Neighbours(m_now).empty());
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, daemon that leaves, is no member")
{
  auto update = Presence("near", "a", 2);
  m_peers.OnPresence(update, m_now);
  update.leaving = true;
  m_peers.OnPresence(update, m_now);
  CHECK(m_peers.Neighbours(m_now).empty());
  CHECK(m_peers.Counted(m_now) == 1);
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, daemons failed or restarted, count as churn for a "
                 "while unless they announced it")
{
  const Duration window = Milliseconds(4000);
  for (int i = 0; i < 4; ++i) {
    auto update = Presence("near-" + std::to_string(i), "a", 10 + i);
    update.uptime_ms = 60000;
    m_peers.OnPresence(update, m_now);
  }
  CHECK(m_peers.Upset(window, m_now) == 0);
  auto departure = Presence("near-0", "a", 10);
  departure.leaving = true;
  m_peers.OnPresence(departure, m_now);
  m_peers.OnPresence(Presence("near-0", "a", 20, 2), m_now); // Announced.
  m_peers.OnPresence(Presence("near-1", "a", 21, 2), m_now); // Killed.
  m_now += Milliseconds(1700);
  m_peers.OnPresence(Presence("near-0", "a", 20, 2), m_now);
  m_peers.OnPresence(Presence("near-1", "a", 21, 2), m_now);
  m_peers.OnPresence(Presence("near-2", "a", 12), m_now);
  // One daemon has restarted, one is silent.
  CHECK(m_peers.Upset(window, m_now) == 0.5);
  m_now += Milliseconds(5000);
  for (int i = 0; i < 3; ++i) {
    m_peers.OnPresence(
      Presence("near-" + std::to_string(i), "a", i < 2 ? 20 + i : 12, 2),
      m_now);
  }
  CHECK(m_peers.Upset(window, m_now) == 0);
}

TEST_CASE_METHOD(PeerTableFixture,
                 "PeerTable, host listed at a new address before its first "
                 "heartbeat, uses the new address")
{
  m_peers.OnListed({ "near", "a", "old:1" }, m_now);
  m_peers.OnListed({ "near", "a", "new:1" }, m_now);
  Random random(1);
  CHECK(m_peers.PresenceTargets(1, random) ==
        std::vector<std::string>{ "new:1" });
}

} // namespace
} // namespace sapphirelane
