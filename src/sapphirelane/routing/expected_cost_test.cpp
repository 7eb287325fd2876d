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

TEST_CASE_METHOD(ExpectedCostFixture, "ExpectedCost, no candidates, picks none")
{
  CHECK_FALSE(m_balancer->Pick({}, {}, m_random));
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, request that cannot be retried, waits rather "
                 "than risk a failure")
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
                 "ExpectedCost, requests of other daemons, count as load")
{
  Candidate full = Idle("full");
  full.others_in_flight = 4;
  CHECK(Pick({ full, Idle("idle") }) == "idle");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, large body, stays in its data centre while "
                 "endpoints there have capacity")
{
  Candidate far = Idle("far");
  far.transfer_cost = 0.18;
  Candidate near = Idle("near");
  near.in_flight = 1;
  CHECK(Pick({ far, near }) == "near");
  near.in_flight = 8;
  CHECK(Pick({ far, near }) == "far");
}

/// Guards against requests that queue several deep at the 2 slots of an
/// endpoint known to be healthy while less certain ones are idle. In a
/// simulated day of cdmc-lane, callers timed out in such a queue; the requests
/// could be retried.
TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, healthy endpoint with a queue that would miss "
                 "the target, loses to an idle one with more failures")
{
  Candidate proven = Idle("proven");
  proven.latency = Milliseconds(290);
  proven.left = Milliseconds(1400);
  proven.failure = 0.09;
  proven.failure_cost = 0.15;
  proven.connected = true;
  Candidate idle = proven;
  idle.id = "idle";
  idle.failure = 0.3;
  idle.connected = false;
  proven.others_in_flight = 5;
  CHECK(Pick({ proven, idle }) == "idle");
  proven.others_in_flight = 1;
  CHECK(Pick({ proven, idle }) == "proven");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, deadline near, picks the endpoint with the "
                 "shortest wait")
{
  Candidate near = Idle("near");
  near.target = Milliseconds(5000);
  near.left = Milliseconds(300);
  near.in_flight = 2;
  Candidate far = near;
  far.id = "far";
  far.in_flight = 0;
  far.transfer_cost = 0.05;
  CHECK(Pick({ near, far }) == "far");
  near.left = far.left = Milliseconds(5000);
  CHECK(Pick({ near, far }) == "near");
}

TEST_CASE_METHOD(ExpectedCostFixture,
                 "ExpectedCost, equal endpoints, picks each of them")
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
