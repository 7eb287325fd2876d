#include <algorithm>
#include <map>

#include "sapphirelane/routing/ejector.h"
#include "sapphirelane/routing/floor.h"

namespace sapphirelane {

namespace {

/// Ejects for a fixed time after a run of bad results, within the floor.
class RunOfBad : public Ejector
{
public:
  RunOfBad(std::uint32_t aRun, Duration aEjection, Duration aStall)
    : m_run(aRun)
    , m_ejection(aEjection)
    , m_stall(aStall)
  {
  }

  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint /*aNow*/) override
  {
    State& state = m_states[aEndpoint];
    state.run = IsBad(aObservation) ? state.run + aObservation.count : 0;
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aFloor,
    TimePoint aNow) override
  {
    std::vector<FloorMember> members;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      State& state = m_states[endpoint.id];
      const bool held = state.ejected && aNow < state.until;
      if (state.ejected && !held) {
        // What came in while it was out tells nothing of its state now.
        state.run = 0;
      }
      members.push_back({ endpoint.id,
                          endpoint.slots,
                          endpoint.available,
                          held || state.run >= m_run,
                          static_cast<double>(state.run) });
    }
    const auto chosen = ChooseEjections(members, aFloor);
    std::vector<EjectionChange> changes;
    for (const FloorMember& member : members) {
      State& state = m_states[member.id];
      const bool wanted =
        std::find(chosen.begin(), chosen.end(), member.id) != chosen.end();
      if (wanted != state.ejected) {
        state.ejected = wanted;
        state.run = 0;
        state.until = aNow + m_ejection;
        changes.push_back({ member.id, wanted, "fixed rule" });
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

  Duration StallAfter(TimePoint /*aNow*/) const override { return m_stall; }

protected:
  virtual bool IsBad(const Observation& aObservation) const
  {
    return aObservation.result == WorkResult::Stalled ||
           aObservation.result == WorkResult::Failed;
  }

private:
  struct State
  {
    std::uint32_t run = 0;
    bool ejected = false;
    TimePoint until{};
  };

  std::uint32_t m_run;
  Duration m_ejection;
  Duration m_stall;
  std::map<std::string, State> m_states;
};

class FixedLatency : public RunOfBad
{
public:
  explicit FixedLatency(FixedLatencyOptions aOptions)
    : RunOfBad(aOptions.slow_in_a_row, aOptions.ejection, aOptions.threshold)
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

constexpr std::uint32_t kProbeFailures = 3;

class ProbeOnly : public RunOfBad
{
public:
  ProbeOnly()
    : RunOfBad(kProbeFailures, Milliseconds(5000), Milliseconds(1000))
  {
  }

protected:
  bool IsBad(const Observation& /*aObservation*/) const override
  {
    return false;
  }
};

const EjectorRegistry::Registration kConsecutive("consecutive-failures", [] {
  return MakeConsecutiveFailures({});
});
const EjectorRegistry::Registration kFixedLatency("fixed-latency", [] {
  return MakeFixedLatency({});
});
const EjectorRegistry::Registration kProbeOnly("probe-only",
                                               [] { return MakeProbeOnly(); });

} // namespace

std::unique_ptr<Ejector>
MakeConsecutiveFailures(ConsecutiveFailuresOptions aOptions)
{
  return std::make_unique<RunOfBad>(
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
