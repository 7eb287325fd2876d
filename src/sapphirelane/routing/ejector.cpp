#include "sapphirelane/routing/ejector.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "sapphirelane/routing/floor.h"

namespace sapphirelane {

namespace {

/// Exponentially decaying sum; needs no list of events.
class DecayingCount
{
public:
  void Add(double aCount, Duration aWindow, TimePoint aNow)
  {
    m_value = ValueAt(aWindow, aNow) + aCount;
    m_time = aNow;
  }

  double ValueAt(Duration aWindow, TimePoint aNow) const
  {
    const double age = ToSeconds(aNow - m_time);
    return m_value * std::exp(-std::max(0.0, age) / ToSeconds(aWindow));
  }

  void Clear() { m_value = 0; }

private:
  double m_value = 0;
  TimePoint m_time{};
};

std::string
FormatPercent(double aShare)
{
  constexpr double kFullPercent = 100;
  return std::to_string(std::lround(aShare * kFullPercent)) + "%";
}

class PeerComparison : public Ejector
{
public:
  explicit PeerComparison(PeerComparisonOptions aOptions)
    : m_options(aOptions)
  {
  }

  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint aNow) override
  {
    const bool isEvidence = aObservation.result != WorkResult::ProbeOk &&
                            aObservation.result != WorkResult::Shed;
    if (!isEvidence) {
      return;
    }
    State& state = m_states[aEndpoint];
    const bool good = aObservation.result == WorkResult::Answered;
    DecayingCount& counter = good ? state.good : state.bad;
    counter.Add(aObservation.count, m_options.window, aNow);
    UpdateScore(state, good, aObservation.count);
    if (good && aObservation.elapsed > Duration::zero()) {
      UpdateLatency(state, aObservation.elapsed);
    }
    if (state.ejected) {
      RecordTrial(state, good, aObservation.elapsed, aNow);
    }
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aMinHealthyPercent,
    TimePoint aNow) override
  {
    std::vector<EjectionChange> changes;
    DropUnknownEndpoints(aEndpoints);
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      EndEjectionIfTrialsSucceeded(endpoint.id, aNow, changes);
    }
    const auto members = MakeCapacityMembers(aEndpoints, aNow);
    const auto idsToEject = ChooseEjections(members, aMinHealthyPercent);
    for (const FloorMember& member : members) {
      const bool shouldEject =
        std::find(idsToEject.begin(), idsToEject.end(), member.id) !=
        idsToEject.end();
      SetEjected(member, shouldEject, aNow, changes);
    }
    return changes;
  }

  bool IsEjected(const std::string& aEndpoint) const override
  {
    auto found = m_states.find(aEndpoint);
    return found != m_states.end() && found->second.ejected;
  }

  bool WantsTrial(const std::string& aEndpoint, TimePoint aNow) const override
  {
    auto found = m_states.find(aEndpoint);
    return found != m_states.end() && found->second.ejected &&
           aNow >= found->second.next_trial;
  }

  Duration StallAfter(Duration aTarget, TimePoint /*aNow*/) const override
  {
    const Duration medianLatency = MedianLatency();
    const auto timeout = std::chrono::duration_cast<Duration>(
      Seconds(ToSeconds(medianLatency) * m_options.stall_factor));
    return std::clamp(
      timeout, m_options.least_stall, std::max(m_options.most_stall, aTarget));
  }

private:
  struct State
  {
    DecayingCount good;
    DecayingCount bad;
    double score = 0;
    Duration latency{ 0 };
    bool ejected = false;
    TimePoint next_trial{};
    TimePoint ejection_ended{};
    Duration ejection_time{ 0 };
    std::uint32_t successful_trials = 0;
  };

  /// CUSUM with a lower bound of 0, so that successes before a change don't
  /// delay its detection.
  void UpdateScore(State& aState, bool aGood, std::uint32_t aCount) const
  {
    const double step = aGood ? -m_options.good_weight : 1;
    aState.score = std::max(0.0, aState.score + step * aCount);
    aState.score = std::min(aState.score, 2 * m_options.least_bad);
  }

  static void UpdateLatency(State& aState, Duration aElapsed)
  {
    constexpr double kSampleWeight = 0.1;
    const double old = ToSeconds(aState.latency);
    const double sample = ToSeconds(aElapsed);
    const double smoothed =
      old == 0 ? sample : old + kSampleWeight * (sample - old);
    aState.latency = std::chrono::duration_cast<Duration>(Seconds(smoothed));
  }

  void RecordTrial(State& aState, bool aGood, Duration aElapsed, TimePoint aNow)
  {
    if (aNow < aState.next_trial) {
      return;
    }
    if (aGood && aElapsed < StallAfter(Duration(0), aNow)) {
      ++aState.successful_trials;
      aState.next_trial = aNow + m_options.trial_gap;
      return;
    }
    aState.successful_trials = 0;
    ExtendEjection(aState);
    aState.next_trial = aNow + aState.ejection_time;
  }

  void ExtendEjection(State& aState) const
  {
    const Duration doubled = aState.ejection_time * 2;
    aState.ejection_time =
      std::clamp(doubled, m_options.first_ejection, m_options.longest_ejection);
  }

  /// Drops the state of endpoints that are no longer in the service.
  void DropUnknownEndpoints(const std::vector<JudgedEndpoint>& aEndpoints)
  {
    for (auto it = m_states.begin(); it != m_states.end();) {
      const bool isInService = std::any_of(
        aEndpoints.begin(), aEndpoints.end(), [&](const JudgedEndpoint& aOne) {
          return aOne.id == it->first;
        });
      it = isInService ? std::next(it) : m_states.erase(it);
    }
  }

  void EndEjectionIfTrialsSucceeded(const std::string& aEndpoint,
                                    TimePoint aNow,
                                    std::vector<EjectionChange>& aChanges)
  {
    State& state = m_states[aEndpoint];
    if (!state.ejected || state.successful_trials < m_options.trials) {
      return;
    }
    state.ejected = false;
    state.ejection_ended = aNow;
    state.good.Clear();
    state.bad.Clear();
    state.score = 0;
    aChanges.push_back({ aEndpoint, false, "its trials succeeded" });
  }

  std::vector<FloorMember> MakeCapacityMembers(
    const std::vector<JudgedEndpoint>& aEndpoints,
    TimePoint aNow)
  {
    double totalGood = 0;
    double totalBad = 0;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      const State& state = m_states[endpoint.id];
      if (!state.ejected) {
        totalGood += state.good.ValueAt(m_options.window, aNow);
        totalBad += state.bad.ValueAt(m_options.window, aNow);
      }
    }
    std::vector<FloorMember> members;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      const State& state = m_states[endpoint.id];
      FloorMember member{ endpoint.id, endpoint.slots, endpoint.available };
      const double good = state.good.ValueAt(m_options.window, aNow);
      const double bad = state.bad.ValueAt(m_options.window, aNow);
      member.badness = bad;
      member.suspect =
        state.ejected ||
        (endpoint.in_service_for >= m_options.cold_start &&
         IsSuspect(state.score, good, bad, totalGood - good, totalBad - bad));
      if (state.ejected) {
        // Keep ejected endpoints ejected before any new suspect is considered.
        constexpr double kEjectedPriority = 1e12;
        member.badness += kEjectedPriority;
      }
      members.push_back(member);
    }
    return members;
  }

  bool IsSuspect(double aScore,
                 double aGood,
                 double aBad,
                 double aOthersGood,
                 double aOthersBad) const
  {
    if (aScore < m_options.least_bad || aBad <= 0) {
      return false;
    }
    const double share = aBad / (aGood + aBad);
    const double others = aOthersGood + aOthersBad;
    const double othersShare = others > 0 ? aOthersBad / others : 0;
    return othersShare <= m_options.most_strain &&
           share >= m_options.contrast * othersShare;
  }

  void SetEjected(const FloorMember& aMember,
                  bool aShouldEject,
                  TimePoint aNow,
                  std::vector<EjectionChange>& aChanges)
  {
    State& state = m_states[aMember.id];
    if (aShouldEject == state.ejected) {
      return;
    }
    state.ejected = aShouldEject;
    state.successful_trials = 0;
    if (!aShouldEject) {
      state.ejection_ended = aNow;
      aChanges.push_back({ aMember.id, false, "the floor needs its slots" });
      return;
    }
    if (aNow - state.ejection_ended > m_options.memory) {
      state.ejection_time = Duration::zero();
    }
    ExtendEjection(state);
    state.next_trial = aNow + state.ejection_time;
    const double bad = state.bad.ValueAt(m_options.window, aNow);
    const double good = state.good.ValueAt(m_options.window, aNow);
    aChanges.push_back(
      { aMember.id,
        true,
        FormatPercent(bad / (bad + good)) + " of its recent work failed" });
  }

  Duration MedianLatency() const
  {
    std::vector<Duration> latencies;
    for (const auto& entry : m_states) {
      if (entry.second.latency > Duration::zero()) {
        latencies.push_back(entry.second.latency);
      }
    }
    if (latencies.empty()) {
      return Duration::zero();
    }
    auto median =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), median, latencies.end());
    return *median;
  }

  PeerComparisonOptions m_options;
  std::map<std::string, State> m_states;
};

const EjectorRegistry::Registration kPeerComparison("peer-comparison", [] {
  return MakePeerComparison({});
});
} // namespace

std::unique_ptr<Ejector>
MakePeerComparison(PeerComparisonOptions aOptions)
{
  return std::make_unique<PeerComparison>(aOptions);
}

} // namespace sapphirelane
