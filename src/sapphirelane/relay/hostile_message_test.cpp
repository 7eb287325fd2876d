#include <limits>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/relay/fleet_world.h"
#include "sapphirelane/wire/codec.h"

namespace sapphirelane {
namespace {

/// Messages of a store fleet with extreme values in every field.
std::vector<PeerMessage>
ExtremeMessages()
{
  constexpr auto kMax64 = std::numeric_limits<std::uint64_t>::max();
  constexpr auto kMax32 = std::numeric_limits<std::uint32_t>::max();
  constexpr auto kMax16 = std::numeric_limits<std::uint16_t>::max();
  const std::string text(200, '\xff');
  PresenceNews presence;
  presence.self = { kMax64, text, text, text };
  presence.started_ms = kMax64;
  presence.uptime_ms = kMax32;
  presence.neighbours = { kMax32, 0, kMax32 }; // Not sorted, and more than
  presence.ages = { 255 };                     // there are ages.
  WorkNews work;
  work.origin = kMax64;
  work.sequence = kMax32;
  work.spread = true;
  work.endpoints = { { kMax32, kMax16, kMax16, kMax16, kMax16, kMax16 } };
  work.accounts = { { kMax32, kMax32 } };
  work.services = { { kMax32, kMax32, kMax32, kMax32, kMax32 } };
  ViewNews view;
  view.spread = true;
  view.origin = kMax64;
  view.sent_ms = kMax64;
  view.age_ms = kMax32;
  view.version = kMax64;
  view.digest = kMax64;
  WireEndpoint endpoint;
  endpoint.id = "e0";
  endpoint.version = kMax64;
  endpoint.service = text;
  endpoint.address = "no address";
  endpoint.slots = 0;
  endpoint.lifetime = kMax64;
  endpoint.cold_ms = kMax32;
  view.changes = { endpoint, WireEndpoint{} };
  view.config_version = kMax64;
  view.held_config = kMax64;
  view.evacuations = { { std::string(300, 'x'), kMax64, true },
                       { "", kMax64, true },
                       { text, kMax64, false } };
  LeaveNews leave;
  leave.spread = true;
  leave.endpoint = text;
  leave.lifetime = kMax64;
  CrashNews crash;
  crash.spread = true;
  crash.request = kMax64;
  crash.process = kMax64;
  crash.worked_ms = kMax32;
  const CounterBase base = { kMax64, work.accounts, work.services };
  ColdNews cold;
  cold.spread = true;
  cold.endpoint = "e0";
  cold.lifetime = kMax64;
  cold.left_ms = kMax32;
  return { presence, work, view, leave, crash, base, cold };
}

/// Guards against one message that takes a daemon down: whatever another one
/// sends is applied or ignored.
TEST_CASE("StoreFleet, messages with extreme values, are handled and the "
          "daemon goes on")
{
  FleetWorld world(4, 2);
  world.Advance(std::chrono::seconds(3));
  for (const PeerMessage& message : ExtremeMessages()) {
    for (int times = 0; times < 3; ++times) {
      CHECK_NOTHROW(world.At(0).OnMessage("nowhere", message, world.Now()));
      CHECK_NOTHROW(world.Advance(Milliseconds(700)));
      CHECK_NOTHROW(world.At(0).TakeEvents());
    }
  }
  CHECK(world.At(0).Config() != nullptr);
}

TEST_CASE("StoreFleet, messages with random bytes changed, are handled or "
          "cannot be decoded")
{
  std::mt19937_64 random(20261205);
  FleetWorld world(4, 2);
  world.Advance(std::chrono::seconds(3));
  std::vector<std::string> encoded;
  for (const PeerMessage& message : ExtremeMessages()) {
    encoded.push_back(EncodeMessage(message));
  }
  int handled = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = encoded[random() % encoded.size()];
    for (std::uint64_t change = random() % 4; change <= 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      const PeerMessage message = DecodeMessage(bytes);
      world.At(1).OnMessage("nowhere", message, world.Now());
      ++handled;
    } catch (const WireError&) {
    }
    if (i % 1000 == 0) {
      world.Advance(Milliseconds(50));
      world.At(1).TakeEvents();
    }
  }
  CHECK(handled > 1000);
  CHECK(world.At(1).Config() != nullptr);
}

} // namespace
} // namespace sapphirelane
