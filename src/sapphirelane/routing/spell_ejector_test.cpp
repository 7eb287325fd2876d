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

/// Simulates, in virtual time, one daemon that sends requests of 220 ms to 11
/// endpoints, each of which fails 0.9 of its requests during 0.3 of the time.
class FaultEpisodeSimulation
{
public:
  FaultEpisodeSimulation(std::unique_ptr<Balancer> aBalancer,
                         std::unique_ptr<Ejector> aEjector,
                         std::uint32_t aSeed)
    : m_balancer(std::move(aBalancer))
    , m_ejector(std::move(aEjector))
    , m_random(aSeed)
  {
    std::uniform_real_distribution<double> phaseShift(0, kPeriodSeconds);
    for (int i = 0; i < 11; ++i) {
      m_phaseShifts.push_back(phaseShift(m_random));
      m_inFlight.push_back(0);
    }
  }

  /// @return Share of requests that failed.
  double Run(int aRequests)
  {
    std::exponential_distribution<double> interarrival(30.5);
    std::uniform_real_distribution<double> draw(0, 1);
    int failed = 0;
    for (int i = 0; i < aRequests; ++i) {
      m_time += interarrival(m_random);
      CompleteUntil(m_time);
      const std::size_t chosen = Choose();
      const bool inEpisode = std::fmod(m_time + m_phaseShifts[chosen],
                                       kPeriodSeconds) < 0.3 * kPeriodSeconds;
      const bool fails = draw(m_random) < (inEpisode ? 0.9 : 0.012);
      failed += fails ? 1 : 0;
      ++m_inFlight[chosen];
      m_completions.push({ m_time + (fails ? 0.005 : 0.22), chosen, fails });
    }
    return static_cast<double>(failed) / aRequests;
  }

private:
  static constexpr double kPeriodSeconds = 9;

  struct Completion
  {
    double time;
    std::size_t endpoint;
    bool failed;
    bool operator<(const Completion& aOther) const
    {
      return time > aOther.time;
    }
  };

  static TimePoint ToTimePoint(double aTime)
  {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::duration_cast<Duration>(Seconds(aTime));
  }

  static std::string Id(std::size_t aIndex) { return std::to_string(aIndex); }

  void CompleteUntil(double aNow)
  {
    while (!m_completions.empty() && m_completions.top().time <= aNow) {
      const Completion completion = m_completions.top();
      m_completions.pop();
      --m_inFlight[completion.endpoint];
      m_ejector->Observe(
        Id(completion.endpoint),
        { completion.failed ? WorkResult::Failed : WorkResult::Answered,
          Milliseconds(220) },
        ToTimePoint(completion.time));
    }
  }

  std::size_t Choose()
  {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < m_phaseShifts.size(); ++i) {
      Candidate candidate;
      candidate.id = Id(i);
      candidate.slots = 2;
      candidate.in_flight = m_inFlight[i];
      candidate.latency = Milliseconds(220);
      candidate.target = Milliseconds(800);
      candidate.in_service_for = std::chrono::hours(1);
      candidate.failure =
        m_ejector->FailureOf(candidate.id, ToTimePoint(m_time));
      candidate.failure_cost = 1;
      candidates.push_back(candidate);
    }
    return *m_balancer->Pick(candidates, ToTimePoint(m_time), m_random);
  }

  std::unique_ptr<Balancer> m_balancer;
  std::unique_ptr<Ejector> m_ejector;
  Random m_random;
  double m_time = 0;
  std::vector<double> m_phaseShifts;
  std::vector<std::uint32_t> m_inFlight;
  std::priority_queue<Completion> m_completions;
};

TEST_CASE("FaultEpisodeEjector, endpoints with fault episodes, returns fewer "
          "errors than avoiding each endpoint for 3 s after an error")
{
  // In a model of this load, avoiding an endpoint for 3 s after an error fails
  // 0.086 of the requests if all daemons learn of the error within 50 ms, and
  // 0.366 if each daemon uses its own results only.
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    FaultEpisodeSimulation simulation(
      MakeExpectedCost({}), MakeSpellEjector({}), seed);
    simulation.Run(1000);
    CHECK(simulation.Run(10000) < 0.086);
  }
}

TEST_CASE("FaultEpisodeEjector, compared with two choices that ignore results, "
          "which returns many errors")
{
  FaultEpisodeSimulation simulation(MakeTwoChoices({}), MakeProbeOnly(), 1);
  CHECK(simulation.Run(10000) > 0.2);
}

class FaultEpisodeFixture
{
protected:
  void Observe50msApart(WorkResult aResult, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      m_now += Milliseconds(50);
      m_ejector->Observe("e", { aResult, Milliseconds(100) }, m_now);
    }
  }

  TimePoint m_now{ std::chrono::hours(1) };
  std::unique_ptr<Ejector> m_ejector = MakeSpellEjector({});
};

TEST_CASE_METHOD(FaultEpisodeFixture,
                 "FaultEpisodeEjector, one failure, raises the probability")
{
  Observe50msApart(WorkResult::Answered, 5);
  const double before = m_ejector->FailureOf("e", m_now);
  Observe50msApart(WorkResult::Failed);
  CHECK(m_ejector->FailureOf("e", m_now) > 4 * before);
}

TEST_CASE_METHOD(FaultEpisodeFixture,
                 "FaultEpisodeEjector, time after a failure, lowers the "
                 "probability")
{
  Observe50msApart(WorkResult::Failed, 3);
  const double fresh = m_ejector->FailureOf("e", m_now);
  CHECK(m_ejector->FailureOf("e", m_now + std::chrono::seconds(20)) <
        fresh / 3);
}

TEST_CASE_METHOD(FaultEpisodeFixture,
                 "FaultEpisodeEjector, endpoint restarts, drops its failures")
{
  Observe50msApart(WorkResult::Failed, 3);
  const double before = m_ejector->FailureOf("e", m_now);
  m_ejector->Reset("e");
  CHECK(m_ejector->FailureOf("e", m_now) < before);
}

TEST_CASE_METHOD(FaultEpisodeFixture,
                 "FaultEpisodeEjector, all requests fail, ejects none")
{
  Observe50msApart(WorkResult::Failed, 20);
  m_ejector->Judge({ { "e", 2, true, std::chrono::hours(1) } }, 50, m_now);
  CHECK_FALSE(m_ejector->IsEjected("e"));
}

} // namespace
} // namespace sapphirelane
