#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <map>

#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/membership/schedule_world.h"
#include "sapphirelane/membership/shard_map.h"

namespace sapphirelane {
namespace {

class ScheduleFixture
{
protected:
  ScheduleFixture()
  {
    StartSecrets();
    const bool traceEnabled = std::getenv("SCHEDULE_TRACE") != nullptr;
    SetLogSink([traceEnabled](const std::string& aLine) {
      if (traceEnabled) {
        std::cerr << "        " << aLine << "\n";
      }
    });
  }

  ~ScheduleFixture() { SetLogSink(nullptr); }

  /// Runs schedules with consecutive seeds and fails at the first one that
  /// violates a guarantee.
  void RunSchedules(std::uint64_t aFirstSeed, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      ScheduleOptions options;
      options.seed = aFirstSeed + i;
      options.daemons = 3 + options.seed % 3;
      options.loss = options.seed % 2 == 0 ? 0.02 : 0.2;
      ScheduleWorld world(options);
      world.Run();
      m_served += world.Served();
      m_runOnceRuns += world.RunOnceRuns();
      m_crashes += world.Takeovers();
      m_accepted += world.Accepted();
      if (!world.Faults().empty()) {
        FAIL("seed " << options.seed << ": " << world.Faults().front());
      }
    }
  }

  std::size_t m_served = 0;
  std::size_t m_runOnceRuns = 0;
  std::size_t m_crashes = 0;
  std::size_t m_accepted = 0;
};

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

TEST_CASE_METHOD(ScheduleFixture,
                 "Fleet, under generated faults, keeps rate, run-once, "
                 "freshness and accepted changes",
                 "[schedules]")
{
  const std::uint64_t count = FromEnvironment("SCHEDULES", 2500);
  const std::uint64_t seed = FromEnvironment("SCHEDULE_SEED", 1);
  RunSchedules(seed, count);
  // Guards against schedules that hardly exercise the fleet.
  CHECK(m_served > 50 * count);
  CHECK(m_runOnceRuns > 5 * count);
  CHECK(m_crashes > count / 5);
  CHECK(m_accepted > count / 2);
}

/// A simulation without random faults, into which a test injects its own.
class NodeFixture : public ScheduleFixture
{
protected:
  static ScheduleOptions NoFaults()
  {
    ScheduleOptions options;
    options.loss = 0;
    options.doubling = 0;
    options.slow = 0;
    options.lost_answer = 0;
    options.faults = false;
    return options;
  }

  /// Requests a token on every running daemon and counts the requests served.
  std::size_t RequestAndCountServed()
  {
    const std::size_t before = m_world.ServedOf("large");
    for (std::size_t i = 0; i < m_world.Count(); ++i) {
      if (m_world.IsAlive(i)) {
        m_world.RequestToken(i, "large");
      }
    }
    m_world.Advance(Milliseconds(500));
    return m_world.ServedOf("large") - before;
  }

  std::size_t CountRunning() const
  {
    std::size_t running = 0;
    for (std::size_t i = 0; i < m_world.Count(); ++i) {
      running += m_world.IsAlive(i) ? 1 : 0;
    }
    return running;
  }

  bool IsFresh(std::size_t aDaemon)
  {
    return m_world.NodeAt(aDaemon).IsFresh(m_world.NowAt(aDaemon));
  }

  ScheduleWorld m_world{ NoFaults() };
};

TEST_CASE_METHOD(NodeFixture, "Fleet, no faults, serves on every daemon")
{
  CHECK(RequestAndCountServed() == 4);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, platform unavailable for an hour, stays fresh and "
                 "serves")
{
  m_world.SetOutage(true);
  for (int minute = 0; minute < 60; ++minute) {
    m_world.Advance(std::chrono::seconds(59));
    CHECK(RequestAndCountServed() == 4);
  }
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, platform unavailable and no majority of witnesses, "
                 "refuses")
{
  m_world.SetOutage(true);
  m_world.Crash(0);
  m_world.Crash(1);
  m_world.Advance(std::chrono::seconds(4));
  CHECK_FALSE(IsFresh(2));
  CHECK(RequestAndCountServed() == 0);
}

TEST_CASE_METHOD(NodeFixture, "Fleet, one daemon crashes, others take over")
{
  m_world.Crash(1);
  m_world.Advance(std::chrono::seconds(8));
  CHECK(RequestAndCountServed() == CountRunning());
  CHECK(m_world.NodeAt(0).CurrentHead()->members.size() == 3);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, planned stop while the platform is unavailable, "
                 "continues to serve")
{
  m_world.SetOutage(true);
  m_world.Stop(2);
  m_world.Advance(std::chrono::seconds(1));
  REQUIRE(CountRunning() == 3);
  CHECK(RequestAndCountServed() == 3);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, planned stops of most witnesses while the platform is "
                 "unavailable, stays fresh by their transferred slots")
{
  m_world.SetOutage(true);
  m_world.Advance(std::chrono::seconds(5));
  for (std::size_t i = 0; i < 3; ++i) {
    m_world.Stop(i);
    m_world.Advance(std::chrono::seconds(5));
    REQUIRE_FALSE(m_world.IsAlive(i));
  }
  m_world.Advance(std::chrono::seconds(60));
  CHECK(IsFresh(3));
  CHECK(RequestAndCountServed() == 1);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a witness stops and its successor crashes, refuses "
                 "when no majority of voting slots is left")
{
  m_world.SetOutage(true);
  m_world.Advance(std::chrono::seconds(5));
  m_world.Stop(0);
  m_world.Advance(std::chrono::seconds(5));
  // Of the three daemons left, two hold a majority of the four voting slots
  // only if one of them holds the transferred slot.
  std::size_t fresh = 0;
  for (std::size_t lost = 1; lost < 4; ++lost) {
    m_world.Pause(lost, std::chrono::seconds(20));
    m_world.Advance(std::chrono::seconds(10));
    for (std::size_t i = 1; i < 4; ++i) {
      fresh += i != lost && IsFresh(i) ? 1 : 0;
    }
    m_world.Advance(std::chrono::seconds(20));
  }
  // With the holder of two slots paused, two of four are left: no majority, so
  // no daemon is fresh. In the other two cases both daemons are.
  CHECK(fresh == 4);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a daemon paused past its lease, is not fresh at once")
{
  m_world.Pause(3, std::chrono::seconds(6));
  m_world.Advance(std::chrono::seconds(5));
  CHECK_FALSE(IsFresh(3));
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a daemon that receives nothing, loses its lease; the "
                 "others serve")
{
  for (std::size_t other = 0; other < 3; ++other) {
    m_world.CutOneWay(other, 3, std::chrono::seconds(60));
  }
  m_world.SetOutage(true);
  m_world.Advance(std::chrono::seconds(4));
  CHECK_FALSE(IsFresh(3));
  CHECK(IsFresh(0));
}

TEST_CASE_METHOD(
  NodeFixture,
  "Fleet, link cut one way between two members, serves via relays")
{
  m_world.CutOneWay(0, 1, std::chrono::seconds(60));
  m_world.Advance(std::chrono::seconds(4));
  CHECK(RequestAndCountServed() == 4);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a claim whose holder crashes, is not granted again")
{
  std::size_t ran = 0;
  for (int i = 0; i < 40; ++i) {
    m_world.RequestClaim(static_cast<std::size_t>(i % 4),
                         "key-" + std::to_string(i));
  }
  m_world.Advance(std::chrono::seconds(1));
  ran = m_world.RunOnceRuns();
  REQUIRE(ran > 20);
  m_world.Crash(1);
  m_world.Advance(std::chrono::seconds(8));
  for (int i = 0; i < 40; ++i) {
    m_world.RequestClaim(0, "key-" + std::to_string(i));
  }
  m_world.RequestClaim(0, "a new key");
  m_world.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 40; ++i) {
    CHECK(m_world.RunsOf("key-" + std::to_string(i)) <= 1);
  }
  CHECK(m_world.RunsOf("a new key") == 1);
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a daemon that stops while its claims are answered, "
                 "leaves every one that ran with two others")
{
  // A claim that was granted after its claimant had handed its claims over must
  // not run: only its holder would know of it.
  const auto key = [](int aIndex) { return "stop-" + std::to_string(aIndex); };
  for (int i = 0; i < 60; ++i) {
    m_world.RequestClaim(0, key(i));
  }
  // The requests have reached their holders and the answers are in flight.
  m_world.Advance(Milliseconds(3));
  m_world.Stop(0);
  m_world.Advance(std::chrono::seconds(4));
  REQUIRE_FALSE(m_world.IsAlive(0));
  REQUIRE(m_world.RunOnceRuns() > 20);
  CollectClaims all;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    all.shards.push_back(shard);
  }
  std::map<std::string, int> known;
  for (std::size_t i = 1; i < m_world.Count(); ++i) {
    const BulkMessage reply =
      m_world.NodeAt(i).ServeBulk(1, all, m_world.NowAt(i));
    for (const WireClaim& claim : std::get<ClaimsReply>(reply).claims) {
      ++known[claim.id];
    }
  }
  for (int i = 0; i < 60; ++i) {
    INFO(key(i));
    const bool ran = m_world.RunsOf(key(i)) == 1;
    CHECK((!ran || known[ClaimIdOf("account", key(i))] >= 2));
  }
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, two daemons lost within the window, runs nothing "
                 "twice and refuses claims it cannot decide")
{
  for (int i = 0; i < 40; ++i) {
    m_world.RequestClaim(static_cast<std::size_t>(i % 4),
                         "key-" + std::to_string(i));
  }
  m_world.Advance(std::chrono::seconds(1));
  m_world.Crash(1);
  m_world.Crash(2);
  m_world.Advance(std::chrono::seconds(10));
  for (int i = 0; i < 40; ++i) {
    m_world.RequestClaim(0, "key-" + std::to_string(i));
  }
  m_world.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 40; ++i) {
    CHECK(m_world.RunsOf("key-" + std::to_string(i)) <= 1);
  }
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, two operators change different rows at once, keeps "
                 "both")
{
  m_world.Propose(0, "one");
  m_world.Propose(1, "two");
  m_world.Advance(std::chrono::seconds(3));
  for (std::size_t i = 0; i < 4; ++i) {
    const auto& hosts = m_world.NodeAt(i).Config()->hosts;
    CHECK(hosts.count("one") == 1);
    CHECK(hosts.count("two") == 1);
  }
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, two operators change one row at once, refuses one")
{
  std::vector<WriteResult> results;
  for (std::size_t i = 0; i < 2; ++i) {
    ChangeSet change;
    change.id = "race-" + std::to_string(i);
    const auto rows = RowsOf(*m_world.NodeAt(i).Config());
    const auto before = rows.at("account/large");
    auto after = before;
    after["rate"] = 30.0 + static_cast<double>(i);
    change.rows = { { "account/large", before, after } };
    m_world.NodeAt(i).Propose(
      change, m_world.NowAt(i), [&](const WriteResult& aResult, TimePoint) {
        results.push_back(aResult);
      });
  }
  m_world.Advance(std::chrono::seconds(4));
  REQUIRE(results.size() == 2);
  const bool first = results[0].verdict == WriteVerdict::Accepted;
  const WriteResult& loser = results[first ? 1 : 0];
  CHECK(loser.verdict == WriteVerdict::Refused);
  CHECK(loser.detail == "row \"account/large\" was changed meanwhile");
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a change, is in force on every daemon within 3 s")
{
  m_world.Propose(2, "row");
  m_world.Advance(std::chrono::seconds(3));
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(m_world.NodeAt(i).Config()->hosts.count("row") == 1);
  }
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a daemon that starts while the platform is "
                 "unavailable, fetches the newest version from the others")
{
  m_world.Propose(2, "row");
  m_world.Advance(std::chrono::seconds(3));
  m_world.SetOutage(true);
  const std::size_t late = m_world.Start();
  m_world.Advance(std::chrono::seconds(4));
  REQUIRE(m_world.NodeAt(late).Config() != nullptr);
  CHECK(m_world.NodeAt(late).Config()->hosts.count("row") == 1);
  CHECK(IsFresh(late));
}

TEST_CASE_METHOD(NodeFixture,
                 "Fleet, a key revoked while the platform is unavailable, is "
                 "rejected on every daemon and removed later")
{
  ChangeSet change;
  change.id = "key";
  change.rows = { { "key/k",
                    nullptr,
                    { { "account", "large" },
                      { "digest", std::string(64, 'a') } } } };
  m_world.NodeAt(0).Propose(
    change, m_world.NowAt(0), [](const WriteResult&, TimePoint) {});
  m_world.Advance(std::chrono::seconds(3));
  REQUIRE(m_world.NodeAt(3).Keys().Find(std::string(64, 'a')));
  m_world.SetOutage(true);
  WithdrawResult result;
  m_world.NodeAt(1).Withdraw(
    "k", m_world.NowAt(1), [&](const WithdrawResult& aResult, TimePoint) {
      result = aResult;
    });
  m_world.Advance(std::chrono::seconds(3));
  CHECK(result.in_force == 4);
  CHECK_FALSE(result.kept);
  const std::size_t late = m_world.Start();
  m_world.Advance(std::chrono::seconds(3));
  for (std::size_t i = 0; i <= late; ++i) {
    CHECK_FALSE(m_world.NodeAt(i).Keys().Find(std::string(64, 'a')));
  }
  m_world.SetOutage(false);
  m_world.Advance(std::chrono::seconds(10));
  CHECK(m_world.NodeAt(2).Config()->keys.count("k") == 0);
}

/// Guards against an evacuation that some daemons do not learn of, and against
/// a time of knowing it that starts anew with each version.
TEST_CASE_METHOD(NodeFixture,
                 "Fleet, evacuation of a data centre, is known on every daemon "
                 "within 3 s until its row is removed")
{
  const auto propose = [this](const nlohmann::json& aBefore,
                              const nlohmann::json& aAfter) {
    ChangeSet change;
    change.id = aAfter.is_null() ? "restore" : "evacuate";
    change.rows = { { "evacuations/north", aBefore, aAfter } };
    m_world.NodeAt(0).Propose(
      change, m_world.NowAt(0), [](const WriteResult&, TimePoint) {});
    m_world.Advance(std::chrono::seconds(3));
  };
  propose(nullptr, nlohmann::json::object());
  m_world.Propose(2, "row");
  m_world.Advance(std::chrono::seconds(3));
  for (std::size_t i = 0; i < 4; ++i) {
    const auto status = m_world.NodeAt(i).Status(m_world.NowAt(i));
    REQUIRE(status.evacuated.count("north") == 1);
    CHECK(status.evacuated.at("north") > std::chrono::seconds(3));
    CHECK(m_world.NodeAt(i).Config()->evacuated.count("north") == 1);
  }
  propose(nlohmann::json::object(), nullptr);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(m_world.NodeAt(i).Status(m_world.NowAt(i)).evacuated.empty());
    CHECK(m_world.NodeAt(i).Config()->evacuated.empty());
  }
}

} // namespace
} // namespace sapphirelane
