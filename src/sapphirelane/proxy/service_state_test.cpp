#include "sapphirelane/proxy/service_state.h"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

namespace sapphirelane {
namespace {

/// One service's state under a load of requests, in virtual time.
class ServiceLoadFixture
{
protected:
  ServiceLoadFixture() { Make(12, 2); }

  void Make(int aEndpoints, std::uint32_t aSlots)
  {
    m_config = {};
    m_config.services["s"] = { "s", 50, 0 };
    for (int i = 0; i < aEndpoints; ++i) {
      Add("e" + std::to_string(100 + i), aSlots);
    }
    ServiceStateOptions options;
    options.ahead = 4;
    options.data_centre = "here";
    m_state = std::make_unique<ServiceState>(
      MakeExpectedCost({}), MakeSpellEjector({}), options);
    m_state->Load(m_config, "s", 0, 1, m_now);
  }

  void Add(const std::string& aId, std::uint32_t aSlots)
  {
    Endpoint endpoint;
    endpoint.id = aId;
    endpoint.service = "s";
    endpoint.address = "127.0.0.1:9000";
    endpoint.slots = aSlots;
    endpoint.connections = 1000;
    endpoint.data_centre = "here";
    m_config.endpoints[aId] = endpoint;
    ++m_config.endpoint_revision;
  }

  /// Sends requests at a steady pace and notes where they go.
  std::set<std::string> Send(int aRequests, const PlaceRequest& aRequest)
  {
    std::set<std::string> used;
    for (int i = 0; i < aRequests; ++i) {
      m_now += m_gap;
      while (!m_running.empty() && m_running.front().second <= m_now) {
        Finish(m_running.front().first);
        m_running.pop_front();
      }
      const auto placed = m_state->Place(aRequest, m_now, m_random);
      REQUIRE(placed);
      m_state->Begin(placed->endpoint, m_now);
      m_running.emplace_back(placed->endpoint, m_now + m_work);
      used.insert(placed->endpoint);
    }
    return used;
  }

  void Finish(const std::string& aEndpoint)
  {
    m_state->End(aEndpoint, false, m_now);
    const bool bad = m_failing.count(aEndpoint) == 1;
    m_state->Observe(aEndpoint,
                     { bad ? WorkResult::Failed : WorkResult::Answered,
                       bad ? Duration(0) : m_work },
                     m_now);
  }

  FleetConfig m_config;
  std::unique_ptr<ServiceState> m_state;
  TimePoint m_now{ std::chrono::hours(1) };
  Duration m_gap = Milliseconds(25);
  Duration m_work = Milliseconds(100);
  Random m_random{ 7 };
  std::set<std::string> m_failing;
  std::deque<std::pair<std::string, TimePoint>> m_running;
};

TEST_CASE_METHOD(ServiceLoadFixture,
                 "ServiceState, endpoint that fails at once, draws no work "
                 "because it looks idle")
{
  m_failing = { "e103" };
  PlaceRequest request;
  Send(80, request);
  int there = 0;
  for (int i = 0; i < 40; ++i) {
    there += static_cast<int>(Send(1, request).count("e103"));
  }
  CHECK(there <= 1);
}

TEST_CASE_METHOD(ServiceLoadFixture,
                 "ServiceState, few proven endpoints while requests fail, "
                 "gives most endpoints some work in any 2 s")
{
  PlaceRequest request;
  for (int i = 0; i < 9; ++i) {
    m_failing.insert("e" + std::to_string(103 + i));
  }
  Send(200, request);
  const int twoSeconds = 80;
  CHECK(Send(twoSeconds, request).size() < 8); // Work keeps to proven ones.
  // They are sound again: 2 s after its last failure an endpoint counts so.
  m_failing.clear();
  m_now += std::chrono::seconds(2);
  request.spread = true;
  Send(twoSeconds, request);
  for (int i = 0; i < 4; ++i) {
    CHECK(Send(twoSeconds, request).size() >= 9); // 0.7 of 12, rounded up.
  }
}

/// Replays a calm load on many endpoints up to a moment at which all hosts are
/// lost: of the 2 s around it, the second before has to show the floor.
TEST_CASE_METHOD(
  ServiceLoadFixture,
  "ServiceState, calm load on many endpoints, gives most of them "
  "some work in any 1.5 s")
{
  Make(44, 2);
  m_gap = Milliseconds(10);
  m_work = Milliseconds(290);
  PlaceRequest request;
  request.explores = true;
  request.repeatable = true;
  Send(300, request);
  for (int i = 0; i < 10; ++i) {
    CHECK(Send(150, request).size() >= 31); // 0.7 of 44, rounded up.
  }
}

TEST_CASE_METHOD(ServiceLoadFixture,
                 "ServiceState, calm load that cannot be repeated, tries no "
                 "endpoint that is likely to fail it")
{
  m_failing = { "e103" };
  PlaceRequest request;
  request.explores = true;
  Send(80, request);
  int there = 0;
  for (int i = 0; i < 80; ++i) {
    there += static_cast<int>(Send(1, request).count("e103"));
  }
  CHECK(there <= 2);
}

TEST_CASE_METHOD(
  ServiceLoadFixture,
  "ServiceState, endpoint joins beside proven ones, gets work at "
  "once")
{
  PlaceRequest request;
  request.explores = true;
  Send(200, request);
  Add("new", 2);
  m_state->Load(m_config, "s", 0, 1, m_now);
  CHECK(Send(4, request).count("new") == 1);
}

} // namespace
} // namespace sapphirelane
