#include "sapphirelane/relay/work_relay.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// Drops everything that is sent.
class SilentEnv : public StoreFleetEnv
{
public:
  void Send(const std::string& /*aAddress*/,
            const PeerMessage& /*aMessage*/) override
  {
  }
  void CallSource(SourceCall /*aCall*/) override {}
  void CallPeer(BulkCall /*aCall*/) override {}
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
  SilentEnv m_env;
  PeerBook m_peers{ {}, { 1, "self", "a", "self:1" } };
  Spreader m_spreader{ m_env, m_peers, m_random };
  QuotaLedger m_quota{ {} };
  ExtraBudget m_extras{ {} };
  FleetConfig m_config;
  WorkRelay m_relay{ { 1, "self", "a", "self:1" },
                     m_peers,
                     m_spreader,
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

} // namespace
} // namespace sapphirelane
