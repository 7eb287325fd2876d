#include "sapphirelane/relay/work_relay.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// Keeps the news of work that are sent to another data centre.
class RecordingEnv : public StoreFleetEnv
{
public:
  void Send(const std::vector<std::string>& aAddresses,
            const PeerMessage& aMessage) override
  {
    const auto* news = std::get_if<WorkNews>(&aMessage);
    if (news != nullptr && aAddresses == std::vector<std::string>{ "far:1" }) {
      sent.push_back(*news);
    }
  }
  void CallSource(SourceCall /*aCall*/) override {}
  void CallPeer(BulkCall /*aCall*/) override {}

  std::vector<WorkNews> sent;
};

class WorkRelayFixture
{
protected:
  WorkRelayFixture()
  {
    for (const char* account : { "a", "b" }) {
      m_config.accounts[account] = { account, 10, 20, std::nullopt };
    }
    m_config.services["s"] = { "s", 50, 330 };
    m_quota.Load(m_config, m_now);
    m_relay.Load(m_config);
    m_now += std::chrono::seconds(10); // The buckets are full.
  }

  /// A daemon's word that it has let requests through since its start.
  static WorkNews Spent(std::uint32_t aSequence,
                        const char* aAccount,
                        std::uint32_t aSpent)
  {
    WorkNews news;
    news.origin = 7;
    news.sequence = aSequence;
    news.accounts.push_back({ ShortHash(aAccount), aSpent });
    return news;
  }

  /// @return Requests of an account that are let through at once.
  int Left(const char* aAccount)
  {
    int left = 0;
    while (!m_quota.Take(aAccount, m_now)) {
      ++left;
    }
    return left;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  Random m_random{ 1 };
  RecordingEnv m_env;
  PeerBook m_peers{ {}, { 1, "self", "a", "self:1" } };
  UpdateSender m_sender{ m_env, m_peers, m_random };
  QuotaLedger m_quota{ {} };
  ExtraBudget m_extras{ {} };
  FleetConfig m_config;
  WorkRelay m_relay{ { 1, "self", "a", "self:1" },
                     m_peers,
                     m_sender,
                     m_quota,
                     m_extras };
};

TEST_CASE_METHOD(WorkRelayFixture,
                 "WorkRelay, daemon heard from its start, counts all it has "
                 "let through")
{
  m_relay.OnNews(Spent(1, "a", 3), m_now);
  m_relay.OnNews(Spent(9, "b", 5), m_now);
  CHECK(Left("a") == 17);
  CHECK(Left("b") == 15);
}

TEST_CASE_METHOD(WorkRelayFixture,
                 "WorkRelay, daemon that ran long before it is heard, counts "
                 "what it lets through from then on, of every account")
{
  m_relay.OnNews(Spent(500, "a", 1000), m_now);
  m_relay.OnNews(Spent(501, "b", 1000), m_now);
  m_relay.OnNews(Spent(502, "a", 1002), m_now);
  m_relay.OnNews(Spent(503, "b", 1003), m_now);
  CHECK(Left("a") == 18);
  CHECK(Left("b") == 17);
}

TEST_CASE_METHOD(WorkRelayFixture,
                 "WorkRelay, message lost, doubled or late, counts each "
                 "request once")
{
  m_relay.OnNews(Spent(1, "a", 1), m_now);
  m_relay.OnNews(Spent(4, "a", 6), m_now);
  m_relay.OnNews(Spent(4, "a", 6), m_now);
  m_relay.OnNews(Spent(3, "a", 4), m_now);
  CHECK(Left("a") == 14);
}

TEST_CASE_METHOD(WorkRelayFixture,
                 "WorkRelay, daemon that begins to tell of its data centre, "
                 "tells nothing that another one has told")
{
  // A neighbour that comes before this daemon, and one elsewhere.
  std::string before = "x";
  while (ShortHash(before) >= ShortHash("self")) {
    before += "x";
  }
  const auto hear = [&](const std::string& aHost, NodeId aId, const char* aIn) {
    PresenceNews news;
    news.self = { aId, aHost, aIn, aHost + ":1" };
    m_peers.OnPresence(news, m_now);
  };
  m_relay.SetLarge(true);
  for (std::uint32_t step = 1; step <= 20; ++step) {
    hear(before, 7, "a");
    hear("far", 8, "b");
    m_relay.OnNews(Spent(step, "a", 10 * step), m_now);
    m_relay.Tick(m_now);
    m_now += Milliseconds(100);
  }
  CHECK(m_env.sent.empty());
  m_now += Milliseconds(1700); // The neighbour has died.
  hear("far", 8, "b");
  m_relay.Tick(m_now);
  m_relay.NoteSpent("a", 3);
  m_relay.Tick(m_now += Milliseconds(200)); // Notes this daemon's own.
  m_relay.Tick(m_now += Milliseconds(200));
  REQUIRE(m_env.sent.size() == 1);
  REQUIRE(m_env.sent[0].accounts.size() == 1);
  CHECK(m_env.sent[0].accounts[0].spent == 3);
  const NodeId first = m_env.sent[0].origin;
  // The neighbour comes back, and dies again.
  hear(before, 9, "a");
  m_relay.Tick(m_now);
  m_now += Milliseconds(1700);
  hear("far", 8, "b");
  m_relay.Tick(m_now);
  m_relay.NoteSpent("a", 2);
  m_relay.Tick(m_now += Milliseconds(200)); // Notes this daemon's own.
  m_relay.Tick(m_now += Milliseconds(200));
  REQUIRE(m_env.sent.size() == 2);
  CHECK(m_env.sent[1].origin != first);
  CHECK(m_env.sent[1].accounts[0].spent == 2);
}

} // namespace
} // namespace sapphirelane
