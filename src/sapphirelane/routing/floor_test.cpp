#include "sapphirelane/routing/floor.h"

#include <rapidcheck/catch.h>

#include <algorithm>

#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {
namespace {

class MinCapacityFixture
{
protected:
  /// Slots that stay eligible.
  static std::uint64_t EligibleSlots(const std::vector<FloorMember>& aMembers,
                                     const std::vector<std::string>& aEjected)
  {
    std::uint64_t eligibleSlots = 0;
    for (const FloorMember& member : aMembers) {
      const bool ejectedNow =
        std::find(aEjected.begin(), aEjected.end(), member.id) !=
        aEjected.end();
      eligibleSlots += member.available && !ejectedNow ? member.slots : 0;
    }
    return eligibleSlots;
  }

  static std::uint64_t TotalSlots(const std::vector<FloorMember>& aMembers)
  {
    std::uint64_t totalSlots = 0;
    for (const FloorMember& member : aMembers) {
      totalSlots += member.slots;
    }
    return totalSlots;
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

TEST_CASE_METHOD(MinCapacityFixture,
                 "ChooseEjections, any service, keeps the minimum capacity")
{
  rc::prop("eligible slots stay above the minimum or nothing is ejected", [] {
    const auto members = DrawMembers();
    const auto minHealthyPercent =
      static_cast<std::uint32_t>(*rc::gen::inRange(0, 101));
    const auto ejected = ChooseEjections(members, minHealthyPercent);
    const bool isKept = EligibleSlots(members, ejected) * 100 >=
                        TotalSlots(members) * minHealthyPercent;
    RC_ASSERT(isKept || ejected.empty());
  });
}

TEST_CASE_METHOD(
  MinCapacityFixture,
  "ChooseEjections, one large endpoint and many small, counts slots")
{
  // Ejecting one of four endpoints would lose half of the slots.
  const std::vector<FloorMember> members = { { "large", 60, true, true, 9 },
                                             { "b", 20, true, false, 0 },
                                             { "c", 20, true, false, 0 },
                                             { "d", 20, true, false, 0 } };
  CHECK(ChooseEjections(members, 60).empty());
  CHECK(ChooseEjections(members, 50) == std::vector<std::string>{ "large" });
}

TEST_CASE_METHOD(MinCapacityFixture,
                 "ChooseEjections, draining endpoints, count as lost")
{
  const std::vector<FloorMember> members = { { "gone", 50, false, false, 0 },
                                             { "bad", 10, true, true, 1 },
                                             { "good", 40, true, false, 0 } };
  CHECK(ChooseEjections(members, 50).empty());
}

TEST_CASE_METHOD(
  MinCapacityFixture,
  "ChooseEjections, more suspects than allowed, ejects the worst")
{
  const std::vector<FloorMember> members = { { "a", 10, true, true, 1 },
                                             { "b", 10, true, true, 5 },
                                             { "c", 10, true, false, 0 } };
  CHECK(ChooseEjections(members, 60) == std::vector<std::string>{ "b" });
}

/// Covers every registered ejector.
TEST_CASE_METHOD(MinCapacityFixture,
                 "Ejectors, any results, keep the minimum capacity")
{
  rc::prop("no ejector goes below the minimum capacity", [] {
    const auto names = EjectorRegistry::Names();
    const auto& name = *rc::gen::elementOf(names);
    auto ejector = EjectorRegistry::Make(name);
    const auto minHealthyPercent =
      static_cast<std::uint32_t>(*rc::gen::inRange(0, 101));
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
      // Drain an endpoint now and then, which reduces capacity as well.
      if (*rc::gen::inRange(0, 30) == 0) {
        endpoints[0].available = !endpoints[0].available;
      }
      ejector->Judge(endpoints, minHealthyPercent, now);
      std::uint64_t totalSlots = 0;
      std::uint64_t eligibleSlots = 0;
      bool anyEjected = false;
      for (const JudgedEndpoint& one : endpoints) {
        totalSlots += one.slots;
        const bool ejectedNow = ejector->IsEjected(one.id);
        anyEjected = anyEjected || (ejectedNow && one.available);
        eligibleSlots += one.available && !ejectedNow ? one.slots : 0;
      }
      RC_ASSERT(!anyEjected ||
                eligibleSlots * 100 >= totalSlots * minHealthyPercent);
    }
  });
}

} // namespace
} // namespace sapphirelane
