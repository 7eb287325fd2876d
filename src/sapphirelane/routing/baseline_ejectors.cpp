#include <algorithm>
#include <map>

#include "sapphirelane/routing/ejector.h"
#include "sapphirelane/routing/floor.h"

namespace sapphirelane {

namespace {

/// Ejects for a fixed time after consecutive bad results, as far as the minimum
/// healthy capacity allows.
class ConsecutiveBadResults : public Ejector
{
public:
  ConsecutiveBadResults(std::uint32_t aRunThreshold,
                        Duration aEjectionTime,
                        Duration aStallTimeout)
    : m_runThreshold(aRunThreshold)
    , m_ejectionTime(aEjectionTime)
    , m_stallTimeout(aStallTimeout)
  {
  }

  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint /*aNow*/) override
  {
    State& state = m_states[aEndpoint];
    state.consecutive_bad =
      IsBad(aObservation) ? state.consecutive_bad + aObservation.count : 0;
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aMinHealthyPercent,
    TimePoint aNow) override
  {
    std::vector<FloorMember> members;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      State& state = m_states[endpoint.id];
      const bool isStillEjected = state.ejected && aNow < state.ejected_until;
      if (state.ejected && !isStillEjected) {
        // Results from during the ejection, such as those of requests that were
        // in flight, say nothing of the endpoint's present state.
        state.consecutive_bad = 0;
      }
      members.push_back(
        { endpoint.id,
          endpoint.slots,
          endpoint.available,
          isStillEjected || state.consecutive_bad >= m_runThreshold,
          static_cast<double>(state.consecutive_bad) });
    }
    const auto idsToEject = ChooseEjections(members, aMinHealthyPercent);
    std::vector<EjectionChange> changes;
    for (const FloorMember& member : members) {
      State& state = m_states[member.id];
      const bool shouldEject =
        std::find(idsToEject.begin(), idsToEject.end(), member.id) !=
        idsToEject.end();
      if (shouldEject != state.ejected) {
        state.ejected = shouldEject;
        state.consecutive_bad = 0;
        state.ejected_until = aNow + m_ejectionTime;
        changes.push_back({ member.id, shouldEject, "fixed rule" });
      }
    }
    return changes;
  }

  bool IsEjected(const std::string& aEndpoint) const override
  {
    auto found = m_states.find(aEndpoint);
    return found != m_states.end() && found->second.ejected;
  }

  bool WantsTrial(const std::string& /*aEndpoint*/,
                  TimePoint /*aNow*/) const override
  {
    return false;
  }

  Duration StallAfter(Duration /*aTarget*/, TimePoint /*aNow*/) const override
  {
    return m_stallTimeout;
  }

protected:
  virtual bool IsBad(const Observation& aObservation) const
  {
    return aObservation.result == WorkResult::Stalled ||
           aObservation.result == WorkResult::Failed;
  }

private:
  struct State
  {
    std::uint32_t consecutive_bad = 0;
    bool ejected = false;
    TimePoint ejected_until{};
  };

  std::uint32_t m_runThreshold;
  Duration m_ejectionTime;
  Duration m_stallTimeout;
  std::map<std::string, State> m_states;
};

class FixedLatency : public ConsecutiveBadResults
{
public:
  explicit FixedLatency(FixedLatencyOptions aOptions)
    : ConsecutiveBadResults(aOptions.slow_in_a_row,
                            aOptions.ejection,
                            aOptions.threshold)
    , m_threshold(aOptions.threshold)
  {
  }

protected:
  bool IsBad(const Observation& aObservation) const override
  {
    return aObservation.result != WorkResult::ProbeOk &&
           aObservation.result != WorkResult::Shed &&
           aObservation.elapsed > m_threshold;
  }

private:
  Duration m_threshold;
};

constexpr std::uint32_t kProbeFailureThreshold = 3;

class ProbeOnly : public ConsecutiveBadResults
{
public:
  ProbeOnly()
    : ConsecutiveBadResults(kProbeFailureThreshold,
                            Milliseconds(5000),
                            Milliseconds(1000))
  {
  }

protected:
  bool IsBad(const Observation& /*aObservation*/) const override
  {
    return false;
  }
};

const EjectorRegistry::Registration kConsecutiveFailures(
  "consecutive-failures",
  [] { return MakeConsecutiveFailures({}); });
const EjectorRegistry::Registration kFixedLatency("fixed-latency", [] {
  return MakeFixedLatency({});
});
const EjectorRegistry::Registration kProbeOnly("probe-only",
                                               [] { return MakeProbeOnly(); });

} // namespace

std::unique_ptr<Ejector>
MakeConsecutiveFailures(ConsecutiveFailuresOptions aOptions)
{
  return std::make_unique<ConsecutiveBadResults>(
    aOptions.failures, aOptions.ejection, aOptions.stall);
}

std::unique_ptr<Ejector>
MakeFixedLatency(FixedLatencyOptions aOptions)
{
  return std::make_unique<FixedLatency>(aOptions);
}

std::unique_ptr<Ejector>
MakeProbeOnly()
{
  return std::make_unique<ProbeOnly>();
}

} // namespace sapphirelane
