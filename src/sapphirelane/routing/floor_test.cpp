#include "sapphirelane/routing/floor.h"

#include <rapidcheck/catch.h>

#include <algorithm>

#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {
namespace {

class FloorFixture
{
protected:
  /// Slots that stay in choice.
  static std::uint64_t Left(const std::vector<FloorMember>& aMembers,
                            const std::vector<std::string>& aEjected)
  {
    std::uint64_t left = 0;
    for (const FloorMember& member : aMembers) {
      const bool out = std::find(aEjected.begin(), aEjected.end(), member.id) !=
                       aEjected.end();
      left += member.available && !out ? member.slots : 0;
    }
    return left;
  }

  static std::uint64_t All(const std::vector<FloorMember>& aMembers)
  {
    std::uint64_t all = 0;
    for (const FloorMember& member : aMembers) {
      all += member.slots;
    }
    return all;
  }

  static std::vector<FloorMember> DrawMembers()
  {
    std::vector<FloorMember> members;
    const int count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i) {
      members.push_back({ "e" + std::to_string(i),
                          static_cast<std::uint32_t>(*rc::gen::inRange(1, 50)),
                          *rc::gen::arbitrary<bool>(),
                          *rc::gen::arbitrary<bool>(),
                          static_cast<double>(*rc::gen::inRange(0, 100)) });
    }
    return members;
  }
};

TEST_CASE_METHOD(FloorFixture,
                 "ChooseEjections, any service, leaves the floor's capacity")
{
  rc::prop("capacity in slots stays at the floor or is not touched", [] {
    const auto members = DrawMembers();
    const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange(0, 101));
    const auto ejected = ChooseEjections(members, floor);
    const bool holds = Left(members, ejected) * 100 >= All(members) * floor;
    RC_ASSERT(holds || ejected.empty());
  });
}

TEST_CASE_METHOD(FloorFixture,
                 "ChooseEjections, one large and many small, counts slots")
{
  // Three of four endpoints stay, and yet half of the slots would be lost.
  const std::vector<FloorMember> members = { { "large", 60, true, true, 9 },
                                             { "b", 20, true, false, 0 },
                                             { "c", 20, true, false, 0 },
                                             { "d", 20, true, false, 0 } };
  CHECK(ChooseEjections(members, 60).empty());
  CHECK(ChooseEjections(members, 50) == std::vector<std::string>{ "large" });
}

TEST_CASE_METHOD(FloorFixture, "ChooseEjections, leaving ones, count as lost")
{
  const std::vector<FloorMember> members = { { "gone", 50, false, false, 0 },
                                             { "bad", 10, true, true, 1 },
                                             { "good", 40, true, false, 0 } };
  CHECK(ChooseEjections(members, 50).empty());
}

TEST_CASE_METHOD(FloorFixture,
                 "ChooseEjections, more than fits, takes the worst")
{
  const std::vector<FloorMember> members = { { "a", 10, true, true, 1 },
                                             { "b", 10, true, true, 5 },
                                             { "c", 10, true, false, 0 } };
  CHECK(ChooseEjections(members, 60) == std::vector<std::string>{ "b" });
}

/// Every registered ejector keeps the floor whatever it observes.
TEST_CASE_METHOD(FloorFixture,
                 "Ejectors, under any evidence, keep the floor's capacity")
{
  rc::prop("no ejector breaks the floor", [] {
    const auto names = EjectorRegistry::Names();
    const auto& name = *rc::gen::elementOf(names);
    auto ejector = EjectorRegistry::Make(name);
    const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange(0, 101));
    std::vector<JudgedEndpoint> endpoints;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      endpoints.push_back(
        { "e" + std::to_string(i),
          static_cast<std::uint32_t>(*rc::gen::inRange(1, 20)),
          true,
          std::chrono::hours(1) });
    }
    TimePoint now{ std::chrono::hours(5) };
    for (int step = 0; step < 120; ++step) {
      now += Milliseconds(*rc::gen::inRange(1, 400));
      const auto& endpoint = *rc::gen::elementOf(endpoints);
      const auto result = *rc::gen::element(WorkResult::Answered,
                                            WorkResult::Stalled,
                                            WorkResult::Failed,
                                            WorkResult::ProbeOk);
      ejector->Observe(
        endpoint.id, { result, Milliseconds(*rc::gen::inRange(1, 900)) }, now);
      // Now and then an endpoint leaves, which takes capacity as well.
      if (*rc::gen::inRange(0, 30) == 0) {
        endpoints[0].available = !endpoints[0].available;
      }
      ejector->Judge(endpoints, floor, now);
      std::uint64_t all = 0;
      std::uint64_t left = 0;
      bool any = false;
      for (const JudgedEndpoint& one : endpoints) {
        all += one.slots;
        const bool out = ejector->IsEjected(one.id);
        any = any || (out && one.available);
        left += one.available && !out ? one.slots : 0;
      }
      RC_ASSERT(!any || left * 100 >= all * floor);
    }
  });
}

} // namespace
} // namespace sapphirelane
