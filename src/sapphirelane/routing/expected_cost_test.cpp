#include <set>

#include <catch2/catch.hpp>

#include "sapphirelane/routing/balancer.h"

namespace sapphirelane {
namespace {

class ExpectedCostFixture
{
protected:
  static Candidate Idle(const std::string& aId)
  {
    Candidate candidate;
    candidate.id = aId;
    candidate.slots = 2;
    candidate.latency = Milliseconds(200);
    candidate.target = Milliseconds(800);
    return candidate;
  }

  std::string Pick(const std::vector<Candidate>& aCandidates)
  {
    return aCandidates[*m_balancer->Pick(aCandidates, {}, m_random)].id;
  }

  Random m_random{ 1 };
  std::unique_ptr<Balancer> m_balancer = MakeExpectedCost({});
};

TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost, nobody, picks nobody")
{
  CHECK_FALSE(m_balancer->Pick({}, {}, m_random));
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, work that cannot be repeated, waits rather "
                 "than go to a doubtful endpoint")
{
  Candidate busy = Idle("busy");
  busy.others_in_flight = 2;
  Candidate doubtful = Idle("doubtful");
  doubtful.failure = 0.3;
  doubtful.failure_cost = 1;
  CHECK(Pick({ busy, doubtful }) == "busy");
  doubtful.failure_cost = 0.02;
  CHECK(Pick({ busy, doubtful }) == "doubtful");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, other daemons' requests, count as load")
{
  Candidate full = Idle("full");
  full.others_in_flight = 4;
  CHECK(Pick({ full, Idle("idle") }) == "idle");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, large body, stays in its data centre while "
                 "there is room")
{
  Candidate far = Idle("far");
  far.transfer_cost = 0.18;
  Candidate near = Idle("near");
  near.in_flight = 1;
  CHECK(Pick({ far, near }) == "near");
  near.in_flight = 8;
  CHECK(Pick({ far, near }) == "far");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, equal endpoints, draws from all")
{
  std::vector<Candidate> equal;
  for (const char* id : { "a", "b", "c" }) {
    equal.push_back(Idle(id));
  }
  std::set<std::string> picked;
  for (int i = 0; i < 50; ++i) {
    picked.insert(Pick(equal));
  }
  CHECK(picked.size() == 3);
}

} // namespace
} // namespace sapphirelane
