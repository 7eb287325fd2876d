#include "sapphirelane/routing/subset.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

#include "sapphirelane/routing/balancer.h"
#include "sapphirelane/routing/retry_policy.h"

namespace sapphirelane {
namespace {

class SubsetFixture
{
protected:
  static std::vector<std::string> Endpoints(std::size_t aCount)
  {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < aCount; ++i) {
      ids.push_back("e" + std::to_string(i));
    }
    return ids;
  }
};

TEST_CASE_METHOD(
  SubsetFixture,
  "SubsetSize, any fleet, keeps each endpoint's connections within limit")
{
  rc::prop("hosts x pool size stays within the connection limit", [] {
    const auto endpoints = *rc::gen::inRange<std::size_t>(1, 60);
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 800);
    const auto poolSize = *rc::gen::inRange<std::size_t>(1, 9);
    const auto maxConnections = *rc::gen::inRange<std::size_t>(300, 400);
    const auto ids = Endpoints(endpoints);
    const std::size_t size =
      SubsetSize(endpoints, hosts, maxConnections, poolSize);
    std::map<std::string, std::size_t> hostsPerEndpoint;
    for (std::size_t host = 0; host < hosts; ++host) {
      for (const std::string& id : ChooseSubset(ids, host, size)) {
        ++hostsPerEndpoint[id];
      }
    }
    const std::size_t evenShare = (hosts * size + endpoints - 1) / endpoints;
    std::size_t maxHosts = 0;
    for (const auto& entry : hostsPerEndpoint) {
      maxHosts = std::max(maxHosts, entry.second);
    }
    RC_ASSERT(maxHosts == evenShare);
    // Every host gets at least one endpoint, which can exceed the limit of the
    // fleet, and an endpoint accepts whole pools only.
    if (hosts <= maxConnections / poolSize * endpoints) {
      RC_ASSERT(maxHosts * poolSize <= maxConnections);
    }
  });
}

TEST_CASE_METHOD(SubsetFixture, "ChooseSubset, same host, gets the same subset")
{
  const auto ids = Endpoints(30);
  CHECK(ChooseSubset(ids, 7, 5) == ChooseSubset(ids, 7, 5));
  CHECK(ChooseSubset(ids, 7, 5).size() == 5);
}

TEST_CASE_METHOD(SubsetFixture,
                 "RetryBudget, every request fails, limits attempts to a share")
{
  auto policy = MakeRetryBudget({});
  const TimePoint now{ std::chrono::hours(1) };
  std::size_t attempts = 0;
  constexpr std::size_t kRequests = 10000;
  for (std::size_t i = 0; i < kRequests; ++i) {
    policy->OnRequest(now);
    std::uint32_t made = 1;
    while (policy->TakeExtra(made, now + std::chrono::seconds(1), now)) {
      ++made;
    }
    attempts += made;
  }
  // At most 1.2 attempts per request in a full outage.
  CHECK(static_cast<double>(attempts) <= 1.2 * kRequests);
  CHECK(attempts > kRequests);
}

TEST_CASE_METHOD(SubsetFixture,
                 "RetryBudget, close to the deadline, allows no attempt")
{
  auto policy = MakeRetryBudget({});
  const TimePoint now{ std::chrono::hours(1) };
  CHECK_FALSE(policy->TakeExtra(1, now + Milliseconds(5), now));
}

TEST_CASE_METHOD(SubsetFixture,
                 "TwoChoices, a loaded endpoint, gets no requests")
{
  auto balancer = MakeTwoChoices({});
  Random random(1);
  std::vector<Candidate> candidates(3);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i] = { "e" + std::to_string(i), 4 };
    candidates[i].latency = Milliseconds(20);
    candidates[i].in_service_for = std::chrono::hours(1);
  }
  candidates[1].in_flight = 4;
  std::vector<int> picks(3, 0);
  for (int i = 0; i < 300; ++i) {
    ++picks[*balancer->Pick(candidates, TimePoint{}, random)];
  }
  CHECK(picks[1] == 0);
  CHECK(picks[0] > 100);
  CHECK(picks[2] > 100);
}

TEST_CASE_METHOD(SubsetFixture,
                 "TwoChoices, a cold endpoint, gets a slow start")
{
  auto balancer = MakeTwoChoices({});
  Random random(1);
  std::vector<Candidate> candidates(2);
  candidates[0] = { "warm", 4, 2 };
  candidates[0].in_service_for = std::chrono::hours(1);
  candidates[1] = { "cold", 4, 0 };
  candidates[1].in_service_for = Milliseconds(100);
  CHECK(*balancer->Pick(candidates, TimePoint{}, random) == 0);
}

} // namespace
} // namespace sapphirelane
