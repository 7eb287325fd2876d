#include "sapphirelane/routing/ejector.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class EjectorFixture
{
protected:
  EjectorFixture()
  {
    for (int i = 0; i < 6; ++i) {
      m_endpoints.push_back(
        { "e" + std::to_string(i), 2, true, std::chrono::hours(1) });
    }
  }

  /// Sends each endpoint a request every 100 ms; aBad, or every endpoint if it
  /// is "all", gives aResult, the others succeed.
  void SendRequests(Duration aDuration,
                    const std::string& aBad,
                    WorkResult aResult)
  {
    const TimePoint end = m_now + aDuration;
    while (m_now < end) {
      m_now += Milliseconds(100);
      for (const JudgedEndpoint& endpoint : m_endpoints) {
        const bool bad = endpoint.id == aBad || aBad == "all";
        m_ejector->Observe(endpoint.id,
                           { bad ? aResult : WorkResult::Answered,
                             bad ? Milliseconds(500) : Milliseconds(25) },
                           m_now);
      }
      m_ejector->Judge(m_endpoints, 50, m_now);
    }
  }

  std::vector<JudgedEndpoint> m_endpoints;
  TimePoint m_now{ std::chrono::hours(2) };
  std::unique_ptr<Ejector> m_ejector = MakePeerComparison({});
};

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, one endpoint stalls, is ejected within 2 s")
{
  SendRequests(std::chrono::seconds(10), "", WorkResult::Answered);
  SendRequests(std::chrono::seconds(2), "e3", WorkResult::Stalled);
  CHECK(m_ejector->IsEjected("e3"));
  CHECK_FALSE(m_ejector->IsEjected("e2"));
}

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, the whole service stalls, ejects no endpoint")
{
  SendRequests(std::chrono::seconds(10), "", WorkResult::Answered);
  SendRequests(std::chrono::seconds(10), "all", WorkResult::Stalled);
  for (const JudgedEndpoint& endpoint : m_endpoints) {
    CHECK_FALSE(m_ejector->IsEjected(endpoint.id));
  }
}

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, stalls with successful probes, is ejected")
{
  SendRequests(std::chrono::seconds(5), "", WorkResult::Answered);
  for (int i = 0; i < 20; ++i) {
    m_ejector->Observe("e3", { WorkResult::ProbeOk, Milliseconds(1) }, m_now);
    SendRequests(Milliseconds(100), "e3", WorkResult::Stalled);
  }
  CHECK(m_ejector->IsEjected("e3"));
}

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, a cold endpoint stalls, is not ejected")
{
  m_endpoints[3].in_service_for = Milliseconds(100);
  SendRequests(std::chrono::seconds(5), "e3", WorkResult::Stalled);
  CHECK_FALSE(m_ejector->IsEjected("e3"));
}

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, successful trials, end the ejection")
{
  SendRequests(std::chrono::seconds(2), "e3", WorkResult::Stalled);
  REQUIRE(m_ejector->IsEjected("e3"));
  CHECK_FALSE(m_ejector->WantsTrial("e3", m_now));
  m_now += std::chrono::seconds(6);
  CHECK(m_ejector->WantsTrial("e3", m_now));
  for (int i = 0; i < 3; ++i) {
    m_ejector->Observe("e3", { WorkResult::Answered, Milliseconds(25) }, m_now);
    m_now += std::chrono::seconds(1);
    m_ejector->Judge(m_endpoints, 50, m_now);
  }
  CHECK_FALSE(m_ejector->IsEjected("e3"));
}

TEST_CASE_METHOD(EjectorFixture,
                 "PeerComparison, failed trial, doubles the ejection time")
{
  SendRequests(std::chrono::seconds(2), "e3", WorkResult::Stalled);
  REQUIRE(m_ejector->IsEjected("e3"));
  m_now += std::chrono::seconds(6);
  m_ejector->Observe("e3", { WorkResult::Stalled, Milliseconds(500) }, m_now);
  m_now += std::chrono::seconds(6);
  CHECK_FALSE(m_ejector->WantsTrial("e3", m_now));
  m_now += std::chrono::seconds(6);
  CHECK(m_ejector->WantsTrial("e3", m_now));
}

} // namespace
} // namespace sapphirelane
