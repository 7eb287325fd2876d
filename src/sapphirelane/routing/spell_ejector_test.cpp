#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/routing/balancer.h"
#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {
namespace {

/// Requests of 220 ms to endpoints that fail 0.9 of their work in 0.3 of the
/// time, all seen by one place; virtual time.
class SpellLoad
{
public:
  SpellLoad(std::unique_ptr<Balancer> aBalancer,
            std::unique_ptr<Ejector> aEjector,
            std::uint32_t aSeed)
    : m_balancer(std::move(aBalancer))
    , m_ejector(std::move(aEjector))
    , m_random(aSeed)
  {
    std::uniform_real_distribution<double> phase(0, kPeriod);
    for (int i = 0; i < 11; ++i) {
      m_phases.push_back(phase(m_random));
      m_inFlight.push_back(0);
    }
  }

  /// @return Share of requests that failed.
  double Run(int aRequests)
  {
    std::exponential_distribution<double> gap(30.5);
    std::uniform_real_distribution<double> draw(0, 1);
    int failed = 0;
    for (int i = 0; i < aRequests; ++i) {
      m_time += gap(m_random);
      End(m_time);
      const std::size_t chosen = Choose();
      const bool sick =
        std::fmod(m_time + m_phases[chosen], kPeriod) < 0.3 * kPeriod;
      const bool fails = draw(m_random) < (sick ? 0.9 : 0.012);
      failed += fails ? 1 : 0;
      ++m_inFlight[chosen];
      m_ends.push({ m_time + (fails ? 0.005 : 0.22), chosen, fails });
    }
    return static_cast<double>(failed) / aRequests;
  }

private:
  static constexpr double kPeriod = 9;

  struct Ending
  {
    double time;
    std::size_t endpoint;
    bool failed;
    bool operator<(const Ending& aOther) const { return time > aOther.time; }
  };

  static TimePoint At(double aTime)
  {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::duration_cast<Duration>(Seconds(aTime));
  }

  static std::string Id(std::size_t aIndex) { return std::to_string(aIndex); }

  void End(double aNow)
  {
    while (!m_ends.empty() && m_ends.top().time <= aNow) {
      const Ending ending = m_ends.top();
      m_ends.pop();
      --m_inFlight[ending.endpoint];
      m_ejector->Observe(
        Id(ending.endpoint),
        { ending.failed ? WorkResult::Failed : WorkResult::Answered,
          Milliseconds(220) },
        At(ending.time));
    }
  }

  std::size_t Choose()
  {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < m_phases.size(); ++i) {
      Candidate candidate;
      candidate.id = Id(i);
      candidate.slots = 2;
      candidate.in_flight = m_inFlight[i];
      candidate.latency = Milliseconds(220);
      candidate.target = Milliseconds(800);
      candidate.in_service_for = std::chrono::hours(1);
      candidate.failure = m_ejector->FailureOf(candidate.id, At(m_time));
      candidate.failure_cost = 1;
      candidates.push_back(candidate);
    }
    return *m_balancer->Pick(candidates, At(m_time), m_random);
  }

  std::unique_ptr<Balancer> m_balancer;
  std::unique_ptr<Ejector> m_ejector;
  Random m_random;
  double m_time = 0;
  std::vector<double> m_phases;
  std::vector<std::uint32_t> m_inFlight;
  std::priority_queue<Ending> m_ends;
};

TEST_CASE("SpellEjector, endpoints that fail in spells, hands out fewer errors "
          "than avoiding each for 3 s after one")
{
  // The model of this load gives 0.086 for 3 s of avoidance known everywhere
  // within 50 ms, and 0.366 for a daemon that goes by its own results.
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    SpellLoad load(MakeExpectedCost({}), MakeSpellEjector({}), seed);
    load.Run(1000);
    CHECK(load.Run(10000) < 0.086);
  }
}

TEST_CASE("SpellEjector, by its side two choices without beliefs, hands out "
          "many errors")
{
  SpellLoad load(MakeTwoChoices({}), MakeProbeOnly(), 1);
  CHECK(load.Run(10000) > 0.2);
}

class SpellFixture
{
protected:
  void See(WorkResult aResult, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      m_now += Milliseconds(50);
      m_ejector->Observe("e", { aResult, Milliseconds(100) }, m_now);
    }
  }

  TimePoint m_now{ std::chrono::hours(1) };
  std::unique_ptr<Ejector> m_ejector = MakeSpellEjector({});
};

TEST_CASE_METHOD(SpellFixture, "SpellEjector, one failure, doubts the endpoint")
{
  See(WorkResult::Answered, 5);
  const double before = m_ejector->FailureOf("e", m_now);
  See(WorkResult::Failed);
  CHECK(m_ejector->FailureOf("e", m_now) > 4 * before);
}

TEST_CASE_METHOD(SpellFixture,
                 "SpellEjector, time after a failure, lessens the doubt")
{
  See(WorkResult::Failed, 3);
  const double fresh = m_ejector->FailureOf("e", m_now);
  CHECK(m_ejector->FailureOf("e", m_now + std::chrono::seconds(20)) <
        fresh / 3);
}

TEST_CASE_METHOD(SpellFixture,
                 "SpellEjector, endpoint started anew, forgets its failures")
{
  See(WorkResult::Failed, 3);
  const double before = m_ejector->FailureOf("e", m_now);
  m_ejector->Reset("e");
  CHECK(m_ejector->FailureOf("e", m_now) < before);
}

TEST_CASE_METHOD(SpellFixture, "SpellEjector, all endpoints fail, ejects none")
{
  See(WorkResult::Failed, 20);
  m_ejector->Judge({ { "e", 2, true, std::chrono::hours(1) } }, 50, m_now);
  CHECK_FALSE(m_ejector->IsEjected("e"));
}

} // namespace
} // namespace sapphirelane
