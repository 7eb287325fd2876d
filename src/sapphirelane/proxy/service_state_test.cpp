#include "sapphirelane/proxy/service_state.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>

namespace sapphirelane {
namespace {

/// Sends requests to one service's state in virtual time.
class ServiceStateFixture
{
protected:
  ServiceStateFixture() { Make(12, 2); }

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

  /// Sends requests at a fixed interval and returns the endpoints used.
  std::set<std::string> Send(int aRequests, const PlaceRequest& aRequest)
  {
    std::set<std::string> used;
    for (int i = 0; i < aRequests; ++i) {
      m_now += m_interval;
      while (!m_running.empty() && m_running.front().second <= m_now) {
        Finish(m_running.front().first);
        m_running.pop_front();
      }
      const auto placed = m_state->Place(aRequest, m_now, m_random);
      REQUIRE(placed);
      m_state->Begin(placed->endpoint, m_now);
      m_running.emplace_back(placed->endpoint, m_now + m_latency);
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
                       bad ? Duration(0) : m_latency },
                     m_now);
  }

  FleetConfig m_config;
  std::unique_ptr<ServiceState> m_state;
  TimePoint m_now{ std::chrono::hours(1) };
  Duration m_interval = Milliseconds(25);
  Duration m_latency = Milliseconds(100);
  Random m_random{ 7 };
  std::set<std::string> m_failing;
  std::deque<std::pair<std::string, TimePoint>> m_running;
};

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, endpoint that fails immediately, gets no "
                 "more requests although it looks idle")
{
  m_failing = { "e103" };
  PlaceRequest request;
  Send(80, request);
  int failingCount = 0;
  for (int i = 0; i < 40; ++i) {
    failingCount += static_cast<int>(Send(1, request).count("e103"));
  }
  CHECK(failingCount <= 1);
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, few endpoints with successes while requests "
                 "fail, uses most endpoints in any 2 s")
{
  PlaceRequest request;
  for (int i = 0; i < 9; ++i) {
    m_failing.insert("e" + std::to_string(103 + i));
  }
  Send(200, request);
  const int twoSeconds = 80;
  CHECK(Send(twoSeconds, request).size() < 8); // Prefers those with successes.
  // An endpoint counts as healthy again 2 s after its last failure.
  m_failing.clear();
  m_now += std::chrono::seconds(2);
  request.spread = true;
  Send(twoSeconds, request);
  for (int i = 0; i < 4; ++i) {
    CHECK(Send(twoSeconds, request).size() >= 9); // 0.7 of 12, rounded up.
  }
}

/// Guards the minimum healthy capacity when all hosts are lost under a light
/// load: of the 2 s window around the loss, only the time before it has
/// requests, so most endpoints must get some already then.
TEST_CASE_METHOD(
  ServiceStateFixture,
  "ServiceState, light load on many endpoints, uses most of them "
  "in any 1.5 s")
{
  Make(44, 2);
  m_interval = Milliseconds(10);
  m_latency = Milliseconds(290);
  PlaceRequest request;
  request.explores = true;
  request.repeatable = true;
  Send(300, request);
  for (int i = 0; i < 10; ++i) {
    CHECK(Send(150, request).size() >= 31); // 0.7 of 44, rounded up.
  }
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, light load that cannot be retried, avoids "
                 "endpoints that are likely to fail it")
{
  m_failing = { "e103" };
  PlaceRequest request;
  request.explores = true;
  Send(80, request);
  int failingCount = 0;
  for (int i = 0; i < 80; ++i) {
    failingCount += static_cast<int>(Send(1, request).count("e103"));
  }
  CHECK(failingCount <= 2);
}

TEST_CASE_METHOD(
  ServiceStateFixture,
  "ServiceState, endpoint joins ones with successes, gets requests "
  "immediately")
{
  PlaceRequest request;
  request.explores = true;
  Send(200, request);
  Add("new", 2);
  m_state->Load(m_config, "s", 0, 1, m_now);
  CHECK(Send(4, request).count("new") == 1);
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, idle endpoints, names why each is passed over")
{
  Make(4, 1);
  m_now += std::chrono::seconds(10);
  m_state->NoteMoved("e100");
  FleetEvidence evidence;
  evidence.service = "s";
  EndpointEvidence full;
  full.endpoint = "e101";
  full.in_flight = 5;
  EndpointEvidence failed;
  failed.endpoint = "e102";
  failed.bad = 1;
  evidence.endpoints = { full, failed };
  m_state->ObserveFleet(evidence, m_now);
  m_now += Milliseconds(1500);
  std::map<std::string, std::string> reasons;
  for (const IdleEndpoint& idle : m_state->IdleEndpoints(m_now)) {
    reasons[idle.endpoint] = idle.reason;
  }
  CHECK(reasons ==
        std::map<std::string, std::string>{ { "e100", "address-taken" },
                                            { "e101", "full-by-others" },
                                            { "e102", "failed-lately" },
                                            { "e103", "not-drawn" } });
  Send(1, {});
  CHECK(m_state->IdleEndpoints(m_now).size() == 3);
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, other daemons use half of an endpoint's slots, "
                 "still uses the rest")
{
  Make(1, 16);
  FleetEvidence evidence;
  evidence.service = "s";
  EndpointEvidence busy;
  busy.endpoint = "e100";
  busy.in_flight = 8;
  evidence.endpoints = { busy };
  m_state->ObserveFleet(evidence, m_now);
  CHECK(m_state->FreeSlots(m_now) == 8);
  for (int i = 0; i < 8; ++i) {
    REQUIRE(m_state->Place({}, m_now, m_random));
    m_state->Begin("e100", m_now);
  }
  // This daemon's own limit at one endpoint.
  CHECK_FALSE(m_state->Place({}, m_now, m_random));
}

/// Guards against taking the first answers, the fastest of many requests, for
/// typical: nearly all requests were hedged and counted as stalled.
TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, only a fast answer is known, neither hedges "
                 "nor calls a request stalled soon")
{
  m_state->Observe("e100", { WorkResult::Answered, Milliseconds(6) }, m_now);
  CHECK(m_state->HedgeAfter() >= std::chrono::seconds(2));
  CHECK(m_state->StallAfter(0, Duration(0), m_now) >= std::chrono::seconds(2));
}

/// Guards against a bound of the stall time below what requests may take.
TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, answers take seconds, calls no request stalled "
                 "before its target")
{
  const Duration target = std::chrono::seconds(5);
  CHECK(m_state->StallAfter(0, target, m_now) >= target);
  for (int i = 0; i < 100; ++i) {
    m_state->Observe(
      "e100", { WorkResult::Answered, Milliseconds(2000) }, m_now);
  }
  CHECK(m_state->StallAfter(0, target, m_now) >= target);
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, answers are far faster than the target, calls "
                 "a request stalled long before it")
{
  for (int i = 0; i < 100; ++i) {
    m_state->Observe("e100", { WorkResult::Answered, Milliseconds(50) }, m_now);
  }
  CHECK(m_state->StallAfter(0, std::chrono::seconds(5), m_now) <=
        std::chrono::seconds(1));
}

TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, one endpoint answers fast, hedges later than "
                 "the others take")
{
  m_latency = Milliseconds(300);
  Send(200, {});
  m_state->Observe("e100", { WorkResult::Answered, Milliseconds(6) }, m_now);
  for (int i = 0; i < 60; ++i) {
    m_state->Observe("e101", { WorkResult::Answered, Milliseconds(6) }, m_now);
  }
  CHECK(m_state->HedgeAfter() >= m_latency);
  CHECK(m_state->HedgeAfter() <= 3 * m_latency);
}

/// Guards against a request that goes to an evacuated data centre by any way:
/// a choice by cost, a probe of an idle endpoint, or the trial of an ejected
/// one.
TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, evacuated data centre, gets no request of any "
                 "kind until the evacuation ends")
{
  const std::set<std::string> evacuated = { "e103", "e104", "e105" };
  for (const std::string& id : evacuated) {
    m_config.endpoints[id].data_centre = "there";
  }
  m_failing = { "e104" };
  PlaceRequest request;
  request.may_try = true;
  request.spread = true;
  request.explores = true;
  Send(200, request);
  m_config.evacuated = { "there", "unknown" };
  m_state->Load(m_config, "s", 0, 1, m_now);
  CHECK_FALSE(m_state->IsEvacuated());
  for (const std::string& id : Send(400, request)) {
    CHECK(evacuated.count(id) == 0);
  }
  for (const IdleEndpoint& idle : m_state->IdleEndpoints(m_now)) {
    CHECK((evacuated.count(idle.endpoint) == 1) ==
          (idle.reason == "evacuated"));
  }
  m_config.evacuated.clear();
  m_failing.clear();
  m_state->Load(m_config, "s", 0, 1, m_now);
  const auto used = Send(400, request);
  CHECK(used.count("e103") + used.count("e105") == 2);
}

/// Guards against ejection that keeps endpoints in as their evacuated fellows
/// count as healthy, and against a wait that counts on slots which get no
/// requests.
TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, evacuated data centre, counts neither for the "
                 "expected wait nor as free")
{
  const std::size_t all = m_state->FreeSlots(m_now);
  for (int i = 0; i < 9; ++i) {
    m_config.endpoints["e" + std::to_string(103 + i)].data_centre = "there";
  }
  m_config.evacuated = { "there" };
  m_state->Load(m_config, "s", 0, 1, m_now);
  CHECK(m_state->FreeSlots(m_now) == all / 4);
  m_config.evacuated = { "there", "here" };
  m_state->Load(m_config, "s", 0, 1, m_now);
  CHECK(m_state->IsEvacuated());
  CHECK(m_state->FreeSlots(m_now) == 0);
  CHECK(m_state->ExpectedWait(0, m_now) == Duration::max());
  CHECK_FALSE(m_state->Place({}, m_now, m_random));
}

/// Guards against a host whose few endpoints of a large service are all in an
/// evacuated data centre, while others could serve.
TEST_CASE_METHOD(ServiceStateFixture,
                 "ServiceState, evacuated data centre of a large service, "
                 "leaves every host endpoints to use")
{
  Make(60, 2);
  for (auto& entry : m_config.endpoints) {
    entry.second.connections = 20;
    const bool there = entry.first >= "e120";
    entry.second.data_centre = there ? "there" : "here";
  }
  m_config.evacuated = { "there" };
  for (std::size_t rank = 0; rank < 50; ++rank) {
    m_state->Load(m_config, "s", rank, 50, m_now);
    CHECK(m_state->FreeSlots(m_now) > 0);
  }
}

/// A service whose endpoints take 3.5 requests a second while they are cold.
class ColdServiceFixture : public ServiceStateFixture
{
protected:
  ColdServiceFixture()
  {
    Make(4, 2);
    m_config.services["s"].cold_per_second = 3.5;
    m_config.services["s"].cold_start = Milliseconds(12000);
    Load();
    m_state->SetColdOwnership([this](const std::string& /*aEndpoint*/,
                                     std::size_t /*aOwners*/,
                                     TimePoint /*aNow*/) { return m_rank; });
  }

  void Load() { m_state->Load(m_config, "s", 0, 1, m_now); }

  /// Sends requests for a time.
  /// @return Number of those that one endpoint got.
  int SendTo(const std::string& aEndpoint, Duration aTime)
  {
    int count = 0;
    PlaceRequest request;
    request.explores = true;
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      count += static_cast<int>(Send(1, request).count(aEndpoint));
    }
    return count;
  }

  std::optional<std::size_t> m_rank = 0;
};

TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, endpoint joins whose entry does not say that "
                 "it is cold, gets an owner's share")
{
  CHECK(m_state->Cold(m_now) == 0); // They were there before this daemon.
  Add("new", 2);
  Load();
  CHECK(m_state->Cold(m_now) == 1);
  const int owned = SendTo("new", std::chrono::seconds(6));
  CHECK(owned >= 1);
  CHECK(owned <= 4);
  m_rank = std::nullopt;
  CHECK(SendTo("new", std::chrono::seconds(5)) == 0);
  m_now += std::chrono::seconds(2);
  CHECK(m_state->Cold(m_now) == 0);
  CHECK(SendTo("new", std::chrono::seconds(5)) > 0);
}

TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, endpoints restart or come back, are cold, and "
                 "no cold endpoint without a rate")
{
  m_config.endpoints["e100"].lifetime = 2;
  Load();
  CHECK(m_state->Cold(m_now) == 1);
  const Endpoint gone = m_config.endpoints["e101"];
  m_config.endpoints.erase("e101");
  Load();
  m_config.endpoints["e101"] = gone;
  Load();
  CHECK(m_state->Cold(m_now) == 2);
  m_config.services["s"].cold_per_second = 0;
  m_config.endpoints["e102"].lifetime = 2;
  Load();
  CHECK(m_state->Cold(m_now) == 0);
}

/// Guards against a whole service that comes back and counts as warm, as this
/// daemon knew no endpoint of it any more.
TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, all endpoints of a service come back, are cold")
{
  const auto endpoints = m_config.endpoints;
  m_config.endpoints.clear();
  Load();
  m_config.endpoints = endpoints;
  Load();
  CHECK(m_state->Cold(m_now) == 4);
}

TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, all endpoints are cold and others own them, "
                 "waits until they are warm")
{
  m_rank = std::nullopt;
  for (int i = 100; i < 104; ++i) {
    CHECK(m_state->NoteCold(
      "e" + std::to_string(i), std::chrono::seconds(i - 95), m_now));
  }
  CHECK(m_state->FreeSlots(m_now) == 0);
  CHECK_FALSE(m_state->Place({}, m_now, m_random));
  CHECK(m_state->ExpectedWait(0, m_now) == std::chrono::seconds(5));
  m_now += std::chrono::seconds(5);
  CHECK(m_state->FreeSlots(m_now) > 0);
}

TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, reports on cold endpoints, hold for the same "
                 "process and are told once")
{
  const Duration left = std::chrono::seconds(10);
  CHECK(m_state->NoteCold("e100", left, m_now));
  CHECK_FALSE(m_state->NoteCold("e100", left, m_now + Milliseconds(500)));
  CHECK_FALSE(m_state->NoteCold("e100", Duration(0), m_now));
  CHECK_FALSE(
    m_state->NoteReportedCold({ "s", "e101", 9, Milliseconds(5000) }, m_now));
  CHECK(
    m_state->NoteReportedCold({ "s", "e101", 0, Milliseconds(5000) }, m_now));
  CHECK(m_state->Cold(m_now) == 2);
}

TEST_CASE_METHOD(ColdServiceFixture,
                 "ServiceState, evacuation ends, endpoints are cold until the "
                 "view is of a time when their entries have been written")
{
  m_config.evacuated = { "here" };
  Load();
  CHECK(m_state->Cold(m_now) == 0);
  m_config.evacuated.clear();
  Load();
  m_state->SetViewTime(m_now + std::chrono::seconds(1));
  CHECK(m_state->Cold(m_now + std::chrono::minutes(1)) == 4);
  m_state->SetViewTime(m_now + std::chrono::seconds(2));
  CHECK(m_state->Cold(m_now) == 0);
}

} // namespace
} // namespace sapphirelane
