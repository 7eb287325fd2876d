#include "sapphirelane/relay/load_exchange.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// Records the load updates that are sent to another data centre.
class RecordingEnv : public StoreFleetEnv
{
public:
  void Send(const std::vector<std::string>& aAddresses,
            const PeerMessage& aMessage) override
  {
    const auto* update = std::get_if<WorkNews>(&aMessage);
    if (update != nullptr &&
        aAddresses == std::vector<std::string>{ "far:1" }) {
      sent.push_back(*update);
    }
  }
  void CallSource(SourceCall /*aCall*/) override {}
  void CallPeer(BulkCall /*aCall*/) override {}

  std::vector<WorkNews> sent;
};

class LoadExchangeFixture
{
protected:
  LoadExchangeFixture()
  {
    for (const char* account : { "a", "b" }) {
      m_config.accounts[account] = { account, 10, 20, std::nullopt };
    }
    m_config.services["s"] = { "s", 50, 330 };
    m_quota.Load(m_config, m_now);
    m_exchange.Load(m_config);
    m_now += std::chrono::seconds(10); // The buckets are full.
  }

  /// An update in which a daemon reports tokens spent since its start.
  static WorkNews SpentUpdate(std::uint32_t aSequence,
                              const char* aAccount,
                              std::uint32_t aSpent)
  {
    WorkNews update;
    update.origin = 7;
    update.sequence = aSequence;
    update.accounts.push_back({ ShortHash(aAccount), aSpent });
    return update;
  }

  /// Sums of this data centre, as another daemon sends them.
  static WorkNews Sums(std::uint32_t aSequence,
                       const char* aAccount,
                       std::uint32_t aSpent)
  {
    WorkNews update = SpentUpdate(aSequence, aAccount, aSpent);
    update.origin = 70;
    update.centre = ShortHash("a");
    return update;
  }

  /// A host that comes before this daemon's in the order of its data centre.
  static std::string LowerRankedHost()
  {
    std::string host = "x";
    while (ShortHash(host) >= ShortHash("self")) {
      host += "x";
    }
    return host;
  }

  void ReceivePresence(const std::string& aHost, NodeId aId, const char* aIn)
  {
    PresenceNews update;
    update.self = { aId, aHost, aIn, aHost + ":1" };
    m_peers.OnPresence(update, m_now);
  }

  /// @return Number of requests of an account that are admitted at once.
  int AvailableTokens(const char* aAccount)
  {
    int tokens = 0;
    while (!m_quota.Take(aAccount, m_now)) {
      ++tokens;
    }
    return tokens;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  Random m_random{ 1 };
  RecordingEnv m_env;
  PeerBook m_peers{ {}, { 1, "self", "a", "self:1" } };
  UpdateSender m_sender{ m_env, m_peers, m_random };
  QuotaLedger m_quota{ {} };
  ExtraBudget m_retries{ {} };
  FleetConfig m_config;
  LoadExchange m_exchange{ { 1, "self", "a", "self:1" },
                           m_peers,
                           m_sender,
                           m_quota,
                           m_retries };
};

TEST_CASE_METHOD(LoadExchangeFixture,
                 "LoadExchange, updates received from a daemon's start, counts "
                 "all of its spent tokens")
{
  m_exchange.OnUpdate(SpentUpdate(1, "a", 3), m_now);
  m_exchange.OnUpdate(SpentUpdate(9, "b", 5), m_now);
  CHECK(AvailableTokens("a") == 17);
  CHECK(AvailableTokens("b") == 15);
}

TEST_CASE_METHOD(LoadExchangeFixture,
                 "LoadExchange, daemon that had been running before its first "
                 "update, counts only later tokens, of every account")
{
  m_exchange.OnUpdate(SpentUpdate(500, "a", 1000), m_now);
  m_exchange.OnUpdate(SpentUpdate(501, "b", 1000), m_now);
  m_exchange.OnUpdate(SpentUpdate(502, "a", 1002), m_now);
  m_exchange.OnUpdate(SpentUpdate(503, "b", 1003), m_now);
  CHECK(AvailableTokens("a") == 18);
  CHECK(AvailableTokens("b") == 17);
}

TEST_CASE_METHOD(LoadExchangeFixture,
                 "LoadExchange, message lost, duplicated or late, counts each "
                 "request once")
{
  m_exchange.OnUpdate(SpentUpdate(1, "a", 1), m_now);
  m_exchange.OnUpdate(SpentUpdate(4, "a", 6), m_now);
  m_exchange.OnUpdate(SpentUpdate(4, "a", 6), m_now);
  m_exchange.OnUpdate(SpentUpdate(3, "a", 4), m_now);
  CHECK(AvailableTokens("a") == 14);
}

TEST_CASE_METHOD(LoadExchangeFixture,
                 "LoadExchange, daemon that takes over its data centre's "
                 "totals, repeats nothing that another one has reported")
{
  // A daemon of lower rank in this data centre, and one in another.
  const std::string lowerRanked = LowerRankedHost();
  m_exchange.UpdateMembership(true, m_now);
  for (std::uint32_t step = 1; step <= 20; ++step) {
    ReceivePresence(lowerRanked, 7, "a");
    ReceivePresence("far", 8, "b");
    m_exchange.OnUpdate(SpentUpdate(step, "a", 10 * step), m_now);
    m_exchange.OnUpdate(Sums(step, "a", 10 * step), m_now);
    m_exchange.Tick(m_now);
    m_now += Milliseconds(100);
  }
  CHECK(m_env.sent.empty());
  m_now += Milliseconds(1700); // The lower-ranked daemon has failed.
  ReceivePresence("far", 8, "b");
  m_exchange.Tick(m_now);
  m_exchange.RecordSpent("a", 3);
  m_exchange.Tick(m_now += Milliseconds(200)); // Adds own counters.
  m_exchange.Tick(m_now += Milliseconds(200));
  REQUIRE(m_env.sent.size() == 1);
  REQUIRE(m_env.sent[0].accounts.size() == 1);
  CHECK(m_env.sent[0].accounts[0].spent == 3);
  const NodeId first = m_env.sent[0].origin;
  // The lower-ranked daemon comes back and fails again.
  ReceivePresence(lowerRanked, 9, "a");
  m_exchange.Tick(m_now);
  m_now += Milliseconds(1700);
  ReceivePresence("far", 8, "b");
  m_exchange.Tick(m_now);
  m_exchange.RecordSpent("a", 2);
  m_exchange.Tick(m_now += Milliseconds(200)); // Adds own counters.
  m_exchange.Tick(m_now += Milliseconds(200));
  REQUIRE(m_env.sent.size() == 2);
  CHECK(m_env.sent[1].origin != first);
  CHECK(m_env.sent[1].accounts[0].spent == 2);
}

/// Guards against reports that are lost with the daemon that adds them up.
TEST_CASE_METHOD(
  LoadExchangeFixture,
  "LoadExchange, daemon that adds up fails before its last sums, "
  "the next one sends what they lack")
{
  const std::string lowerRanked = LowerRankedHost();
  ReceivePresence(lowerRanked, 7, "a");
  ReceivePresence("far", 8, "b");
  m_exchange.UpdateMembership(true, m_now);
  m_exchange.OnUpdate(SpentUpdate(1, "a", 10), m_now);
  m_exchange.OnUpdate(Sums(1, "a", 10), m_now);
  m_exchange.OnUpdate(SpentUpdate(2, "a", 35), m_now);
  m_exchange.Tick(m_now += Milliseconds(100));
  m_now += Milliseconds(1700); // The lower-ranked daemon has failed.
  ReceivePresence("far", 8, "b");
  m_exchange.Tick(m_now);
  REQUIRE(m_env.sent.size() == 1);
  CHECK(m_env.sent[0].accounts[0].spent == 25);
}

TEST_CASE_METHOD(LoadExchangeFixture,
                 "LoadExchange, report of a request's end is lost, frees its "
                 "slot once the request must have ended")
{
  Endpoint endpoint;
  endpoint.id = "e";
  endpoint.service = "s";
  m_config.endpoints["e"] = endpoint;
  Route route;
  route.timeout = Milliseconds(3000);
  m_config.routes["r"] = route;
  m_exchange.Load(m_config);
  const auto receivePresence = [&] {
    PresenceNews update;
    update.self = { 7, "other", "a", "other:1" };
    m_peers.OnPresence(update, m_now);
  };
  receivePresence();
  WorkNews begin;
  begin.origin = 7;
  begin.sequence = 1;
  EndpointWork work;
  work.endpoint = ShortHash("e");
  work.in_flight = 1;
  begin.endpoints.push_back(work);
  const auto begun = m_exchange.OnUpdate(begin, m_now);
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].endpoints[0].in_flight == 1U);
  m_now += Milliseconds(3000);
  receivePresence();
  CHECK(m_exchange.RemoveDeadDaemons(m_now).empty()); // It may still run.
  m_now += Milliseconds(1500);
  receivePresence();
  const auto ended = m_exchange.RemoveDeadDaemons(m_now);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].endpoints[0].endpoint == "e");
  CHECK(ended[0].endpoints[0].in_flight == 0U);
}

} // namespace
} // namespace sapphirelane
