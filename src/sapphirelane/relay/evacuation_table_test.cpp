#include "sapphirelane/relay/evacuation_table.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/fleet_view.h"

namespace sapphirelane {
namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

/// Guards against a late or repeated message that brings an evacuation back, or
/// ends one that was ordered after it.
TEST_CASE("EvacuationTable, messages out of order, keeps the highest version")
{
  EvacuationTable table;
  CHECK(table.Take({ { "a", 5, true } }, kNow));
  CHECK(table.Take({ { "a", 7, false } }, kNow));
  CHECK_FALSE(table.Take({ { "a", 5, true }, { "a", 7, true } }, kNow));
  CHECK(table.InForce().empty());
  CHECK(table.Take({ { "a", 9, true } }, kNow + Milliseconds(3)));
  CHECK_FALSE(table.Take({ { "a", 7, false } }, kNow));
  CHECK_FALSE(table.Take({ { "a", 10, true } }, kNow + Milliseconds(9)));
  CHECK(table.InForce().at("a") == kNow + Milliseconds(3));
}

/// Guards against an end that is heard of before the evacuation itself.
TEST_CASE("EvacuationTable, end before the beginning, keeps the end")
{
  EvacuationTable table;
  CHECK_FALSE(table.Take({ { "a", 7, false } }, kNow));
  CHECK_FALSE(table.Take({ { "a", 5, true } }, kNow));
  CHECK(table.InForce().empty());
}

/// Guards against an evacuation that stays in force as its removal was read by
/// nobody, and against a snapshot that ends one that began after it.
TEST_CASE("EvacuationTable, full snapshot without a row, ends what is older")
{
  EvacuationTable table;
  table.Take({ { "old", 5, true }, { "new", 12, true } }, kNow);
  CHECK(table.TakeWhole({ { "kept", 6, true } }, 10, kNow));
  CHECK(table.InForce().count("old") == 0);
  CHECK(table.InForce().count("new") == 1);
  CHECK(table.InForce().count("kept") == 1);
  CHECK_FALSE(table.Take({ { "old", 5, true } }, kNow));
  CHECK_FALSE(table.Take({ { "old", 10, true } }, kNow));
}

/// Guards against memory and messages that grow with rows of a faulty writer,
/// and against an order that is forgotten to make room.
TEST_CASE("EvacuationTable, hundreds of rows and very long names, is bounded "
          "and forgets none in force")
{
  EvacuationTable table({ 8, 16 });
  table.Take({ { "kept", 1, true }, { "ended", 2, false } }, kNow);
  table.Take({ { std::string(17, 'x'), 3, true }, { "", 3, true } }, kNow);
  CHECK(table.TakeIgnored() == 2);
  for (std::uint64_t i = 0; i < 300; ++i) {
    table.Take({ { "n" + std::to_string(i), 10 + i, true } }, kNow);
  }
  CHECK(table.All().size() == 8);
  CHECK(table.InForce().size() == 8);
  CHECK(table.InForce().count("kept") == 1);
  CHECK(table.TakeIgnored() == 293);
  CHECK(table.TakeIgnored() == 0);
}

/// Guards against evacuations that never fit into an update.
TEST_CASE("EvacuationTable, more than fit into a message, take turns")
{
  EvacuationTable table;
  for (std::uint64_t i = 0; i < 100; ++i) {
    table.Take({ { "n" + std::to_string(i), i, i % 2 == 0 } }, kNow);
  }
  EvacuationTable other;
  for (int turn = 0; turn < 10; ++turn) {
    const auto part = table.TakeTurn(300);
    CHECK(part.size() <= 20);
    other.Take(part, kNow);
  }
  CHECK(other.All().size() == 100);
  CHECK(other.InForce().size() == table.InForce().size());
  CHECK(table.TakeTurn(1).size() == 1);
  CHECK(table.TakeTurn(1 << 20).size() == 100);
  CHECK(EvacuationTable().TakeTurn(300).empty());
}

/// Guards against requests to an evacuated data centre after the store came
/// back from a copy that is older than the operator's row.
TEST_CASE("EvacuationTable, evacuation is missing after a rollback of the "
          "store, is held until it is written again or a while has passed",
          "[era]")
{
  EvacuationTable table;
  table.Take({ { "a", { 1, 90 }, true } }, kNow);
  CHECK_FALSE(table.TakeWhole({}, { 2, 80 }, kNow));
  CHECK(table.InForce().count("a") == 1);
  const TimePoint later = kNow + std::chrono::seconds(7);
  SECTION("written again, stays in force")
  {
    CHECK_FALSE(table.Take({ { "a", { 2, 85 }, true } }, kNow));
    CHECK_FALSE(table.Tick(later));
    CHECK(table.InForce().count("a") == 1);
  }
  SECTION("not written again, ends")
  {
    CHECK_FALSE(table.Tick(kNow + std::chrono::seconds(5)));
    CHECK(table.Tick(later));
    CHECK(table.InForce().empty());
  }
  SECTION("ended in the new era, ends at once")
  {
    CHECK(table.Take({ { "a", { 2, 85 }, false } }, kNow));
    CHECK(table.InForce().empty());
  }
}

/// Guards against a daemon that has its first configuration, and so sends
/// requests, before it applies what it has heard of evacuations.
TEST_CASE("FleetView, evacuation before and after the configuration, is part "
          "of it")
{
  FleetView view({});
  CHECK(view.TakeEvacuations({ { "a", 3, true } }, std::nullopt, kNow));
  FleetConfig config;
  config.version = 1;
  view.TakeConfig(config);
  view.TakeEndpoints(0, 9, {}, Duration(0), kNow);
  REQUIRE(view.Config() != nullptr);
  CHECK(view.Config()->evacuated == std::set<std::string>{ "a" });
  const auto revision = view.Config()->endpoint_revision;
  view.TakeEvacuations({ { "b", 4, true } }, std::nullopt, kNow);
  CHECK(view.Config()->evacuated == std::set<std::string>{ "a", "b" });
  CHECK(view.Config()->endpoint_revision != revision);
  config.version = 2;
  config.evacuated = { "c" };
  view.TakeConfig(config);
  CHECK(view.Config()->evacuated == std::set<std::string>{ "a", "b" });
}

} // namespace
} // namespace sapphirelane
