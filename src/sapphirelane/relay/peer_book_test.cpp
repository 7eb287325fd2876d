#include "sapphirelane/relay/peer_book.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class PeerBookFixture
{
protected:
  static PresenceNews News(const std::string& aHost,
                           const std::string& aCentre,
                           NodeId aId,
                           std::uint64_t aStarted = 1)
  {
    PresenceNews news;
    news.self = { aId, aHost, aCentre, aHost + ":1" };
    news.started_ms = aStarted;
    return news;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  PeerBook m_book{ {}, { 1, "self", "a", "self:1" } };
};

TEST_CASE_METHOD(PeerBookFixture, "PeerBook, silent daemon, no longer lives")
{
  m_book.OnPresence(News("near", "a", 2), m_now);
  CHECK(m_book.Neighbours(m_now).size() == 1);
  m_now += Milliseconds(1700);
  CHECK(m_book.Neighbours(m_now).empty());
  CHECK(m_book.Live(m_now) == 1);
  CHECK(m_book.Counted(m_now) == 2); // It is missed for a while.
}

TEST_CASE_METHOD(PeerBookFixture,
                 "PeerBook, earlier run of a host, is not taken")
{
  m_book.OnPresence(News("near", "a", 3, 20), m_now);
  m_book.OnPresence(News("near", "a", 2, 10), m_now);
  CHECK(m_book.IsLive(NodeId(3), m_now));
  CHECK_FALSE(m_book.IsLive(NodeId(2), m_now));
}

TEST_CASE_METHOD(PeerBookFixture,
                 "PeerBook, host whose clock went back before it was started "
                 "again, is taken once the earlier run is silent")
{
  m_book.OnPresence(News("near", "a", 2, 5000), m_now);
  m_now += Milliseconds(1000);
  m_book.OnPresence(News("near", "a", 3, 4000), m_now);
  CHECK(m_book.IsLive(NodeId(2), m_now)); // It may be a late word of the past.
  m_now += Milliseconds(1000);
  CHECK(m_book.OnPresence(News("near", "a", 3, 4000), m_now));
  CHECK(m_book.IsLive(NodeId(3), m_now));
  CHECK_FALSE(m_book.IsLive(NodeId(2), m_now));
}

TEST_CASE_METHOD(PeerBookFixture,
                 "PeerBook, daemon named by a neighbour of its own, lives")
{
  m_book.OnListed({ "far", "b", "far:1" }, m_now);
  m_book.OnListed({ "other", "b", "other:1" }, m_now);
  auto news = News("far", "b", 4);
  news.neighbours = { ShortHash("other") };
  m_book.OnPresence(news, m_now);
  CHECK(m_book.Live(m_now) == 3);
  Random random(1);
  CHECK(m_book.Relays(2, m_now, random).size() == 2);
  CHECK(m_book.Neighbours(m_now).empty());
}

TEST_CASE_METHOD(PeerBookFixture, "PeerBook, daemon that leaves, gets no news")
{
  auto news = News("near", "a", 2);
  m_book.OnPresence(news, m_now);
  news.leaving = true;
  m_book.OnPresence(news, m_now);
  CHECK(m_book.Neighbours(m_now).empty());
  CHECK(m_book.Counted(m_now) == 1);
}

TEST_CASE_METHOD(PeerBookFixture,
                 "PeerBook, daemons lost or started again, upset the fleet for "
                 "a while, planned restarts do not")
{
  const Duration window = Milliseconds(4000);
  for (int i = 0; i < 4; ++i) {
    auto news = News("near-" + std::to_string(i), "a", 10 + i);
    news.uptime_ms = 60000;
    m_book.OnPresence(news, m_now);
  }
  CHECK(m_book.Upset(window, m_now) == 0);
  auto leaves = News("near-0", "a", 10);
  leaves.leaving = true;
  m_book.OnPresence(leaves, m_now);
  m_book.OnPresence(News("near-0", "a", 20, 2), m_now); // Planned.
  m_book.OnPresence(News("near-1", "a", 21, 2), m_now); // Killed.
  m_now += Milliseconds(1700);
  m_book.OnPresence(News("near-0", "a", 20, 2), m_now);
  m_book.OnPresence(News("near-1", "a", 21, 2), m_now);
  m_book.OnPresence(News("near-2", "a", 12), m_now);
  CHECK(m_book.Upset(window, m_now) == 0.5); // One young, one silent.
  m_now += Milliseconds(5000);
  for (int i = 0; i < 3; ++i) {
    m_book.OnPresence(
      News("near-" + std::to_string(i), "a", i < 2 ? 20 + i : 12, 2), m_now);
  }
  CHECK(m_book.Upset(window, m_now) == 0);
}

TEST_CASE_METHOD(PeerBookFixture,
                 "PeerBook, listed at a new address before it was heard, takes "
                 "the address over")
{
  m_book.OnListed({ "near", "a", "old:1" }, m_now);
  m_book.OnListed({ "near", "a", "new:1" }, m_now);
  Random random(1);
  CHECK(m_book.PresenceTargets(1, random) ==
        std::vector<std::string>{ "new:1" });
}

} // namespace
} // namespace sapphirelane
