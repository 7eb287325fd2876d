#include "sapphirelane/config/change_set.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class ChangeSetFixture
{
protected:
  ChangeSetFixture()
  {
    m_config.accounts["a"] = { "a", 10, 20 };
    m_config.accounts["b"] = { "b", 10, 20 };
  }

  ChangeSet RateChange(const std::string& aAccount, double aRate) const
  {
    FleetConfig next = m_config;
    next.accounts[aAccount].rate = aRate;
    return { "id", "operator", Difference(m_config, next) };
  }

  FleetConfig m_config;
};

TEST_CASE_METHOD(ChangeSetFixture,
                 "Apply, two changes of different rows, keeps both")
{
  const ChangeSet first = RateChange("a", 11);
  const ChangeSet second = RateChange("b", 12);
  const FleetConfig result = Apply(Apply(m_config, first), second);
  CHECK(result.accounts.at("a").rate == 11);
  CHECK(result.accounts.at("b").rate == 12);
  CHECK(result.version == 2);
}

TEST_CASE_METHOD(ChangeSetFixture,
                 "Apply, two changes of one row, refuses and names the row")
{
  const FleetConfig result = Apply(m_config, RateChange("a", 11));
  try {
    Apply(result, RateChange("a", 12));
    FAIL("the second change was accepted");
  } catch (const ChangeConflict& conflict) {
    CHECK(conflict.Key() == "account/a");
  }
}

TEST_CASE_METHOD(ChangeSetFixture, "Apply, a result that is unsound, refuses")
{
  ChangeSet change;
  change.rows = { { "route/r",
                    nullptr,
                    { { "path", "/x" },
                      { "service", "none" },
                      { "mode", "safe" },
                      { "open", false },
                      { "timeout_ms", 100 },
                      { "callers", nlohmann::json::array() } } } };
  CHECK_THROWS_WITH(Apply(m_config, change),
                    "route \"r\": service \"none\" does not exist");
}

TEST_CASE_METHOD(ChangeSetFixture,
                 "FaultsOf, two routes with one path, names both")
{
  m_config.services["s"] = { "s", 50 };
  for (const char* id : { "one", "two" }) {
    Route& route = m_config.routes[id];
    route.id = id;
    route.path = "/same";
    route.service = "s";
    route.timeout = Milliseconds(100);
  }
  CHECK(FaultsOf(m_config) ==
        std::vector<std::string>{
          "route \"two\": path \"/same\" is that of route \"one\"" });
}

TEST_CASE_METHOD(ChangeSetFixture, "FaultsOf, an id with a slash, is a fault")
{
  m_config.accounts["a/b"] = { "a/b", 10, 20 };
  REQUIRE(FaultsOf(m_config).size() == 1);
  CHECK(FaultsOf(m_config).front() ==
        "id \"a/b\": expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
}

TEST_CASE_METHOD(ChangeSetFixture, "RowOf, every row, is the one of RowsOf")
{
  m_config.services["s"] = { "s", 50 };
  m_config.keys["k"] = { "k", "a", "digest" };
  m_config.hosts["h"] = { "h", LifeState::Leaving };
  for (const auto& [key, row] : RowsOf(m_config)) {
    CHECK(RowOf(m_config, key) == row);
  }
  CHECK(RowOf(m_config, "account/none").is_null());
  CHECK_THROWS_AS(RowOf(m_config, "planet/x"), ConfigError);
  CHECK_THROWS_AS(RowOf(m_config, "account"), ConfigError);
}

TEST_CASE_METHOD(ChangeSetFixture, "EncodeFleet, decoded, gives the same rows")
{
  m_config.version = 7;
  const FleetConfig copy = DecodeFleet(EncodeFleet(m_config));
  CHECK(Difference(m_config, copy).empty());
  CHECK(copy.version == 7);
}

TEST_CASE_METHOD(ChangeSetFixture, "DecodeFleet, text cut off, is an error")
{
  const std::string text = EncodeFleet(m_config);
  CHECK_THROWS_AS(DecodeFleet(text.substr(0, text.size() / 2)), ConfigError);
}

TEST_CASE_METHOD(ChangeSetFixture,
                 "FindRoute, several prefixes, takes the longest whole one")
{
  for (const char* path : { "/a", "/a/b", "/ab" }) {
    m_config.routes[path] = { path, path };
  }
  CHECK(FindRoute(m_config, "", "/a/b/c")->path == "/a/b");
  CHECK(FindRoute(m_config, "", "/a/x")->path == "/a");
  CHECK(FindRoute(m_config, "", "/abc") == nullptr);
}

/// Guards against an evacuation that is lost on the way through a change set or
/// through the text that daemons exchange, and against one that an unreadable
/// row ends: the key says all.
TEST_CASE_METHOD(ChangeSetFixture,
                 "Apply, evacuation of a data centre, is kept until its row is "
                 "removed")
{
  ChangeSet begin;
  begin.rows = { { "evacuations/north", nullptr, nlohmann::json::object() } };
  const FleetConfig evacuated = Apply(m_config, begin);
  CHECK(evacuated.evacuated == std::set<std::string>{ "north" });
  CHECK(DecodeFleet(EncodeFleet(evacuated)).evacuated == evacuated.evacuated);
  CHECK(Difference(evacuated, m_config).size() == 1);
  ChangeSet end;
  end.rows = { { "evacuations/north", nlohmann::json::object(), nullptr } };
  CHECK(Apply(evacuated, end).evacuated.empty());
  FleetConfig config;
  for (const nlohmann::json& row :
       { nlohmann::json("no object"), nlohmann::json(0) }) {
    config.evacuated.clear();
    SetRow(config, "evacuations/north", row);
    CHECK(config.evacuated.count("north") == 1);
  }
}

TEST_CASE_METHOD(ChangeSetFixture,
                 "Apply, evacuation under a very long name, refuses")
{
  ChangeSet change;
  change.rows = { { "evacuations/" + std::string(256, 'x'),
                    nullptr,
                    nlohmann::json::object() } };
  CHECK_THROWS_AS(Apply(m_config, change), ConfigError);
}

TEST_CASE(
  "FleetConfig, cold start of a service, is kept in its row and checked")
{
  FleetConfig config;
  config.services["s"] = { "s", 50, 0, 3.5, Milliseconds(12000) };
  const FleetConfig read = DecodeFleet(EncodeFleet(config));
  CHECK(read.services.at("s").cold_per_second == 3.5);
  CHECK(read.services.at("s").cold_start == Milliseconds(12000));
  CHECK(FaultsOf(config).empty());
  config.services["s"].cold_per_second = -1;
  CHECK(FaultsOf(config) == std::vector<std::string>{
                              "service \"s\": cold_per_second is below 0" });
  config.services["s"].cold_per_second = 1;
  for (const Milliseconds time : { Milliseconds(-1), Milliseconds(600001) }) {
    config.services["s"].cold_start = time;
    CHECK(FaultsOf(config) ==
          std::vector<std::string>{
            "service \"s\": cold_start_ms is not 0 to 600000" });
  }
}

} // namespace
} // namespace sapphirelane
