#include "sapphirelane/routing/ejector.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "sapphirelane/routing/floor.h"

namespace sapphirelane {

namespace {

/// Sum that fades exponentially, so that it needs no list of events.
class FadingCount
{
public:
  void Add(double aCount, Duration aWindow, TimePoint aNow)
  {
    m_value = At(aWindow, aNow) + aCount;
    m_time = aNow;
  }

  double At(Duration aWindow, TimePoint aNow) const
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
PercentText(double aShare)
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
    const bool tells = aObservation.result != WorkResult::ProbeOk &&
                       aObservation.result != WorkResult::Shed;
    if (!tells) {
      return;
    }
    State& state = m_states[aEndpoint];
    const bool good = aObservation.result == WorkResult::Answered;
    FadingCount& counter = good ? state.good : state.bad;
    counter.Add(aObservation.count, m_options.window, aNow);
    NoteScore(state, good, aObservation.count);
    if (good && aObservation.elapsed > Duration::zero()) {
      NoteLatency(state, aObservation.elapsed);
    }
    if (state.ejected) {
      NoteTrial(state, good, aObservation.elapsed, aNow);
    }
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t aFloor,
    TimePoint aNow) override
  {
    std::vector<EjectionChange> changes;
    Forget(aEndpoints);
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      EndIfProven(endpoint.id, aNow, changes);
    }
    const auto members = FloorMembers(aEndpoints, aNow);
    const auto chosen = ChooseEjections(members, aFloor);
    for (const FloorMember& member : members) {
      const bool wanted =
        std::find(chosen.begin(), chosen.end(), member.id) != chosen.end();
      SetEjected(member, wanted, aNow, changes);
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
           aNow >= found->second.trial_from;
  }

  Duration StallAfter(TimePoint /*aNow*/) const override
  {
    const Duration expected = MedianLatency();
    const auto scaled = std::chrono::duration_cast<Duration>(
      Seconds(ToSeconds(expected) * m_options.stall_factor));
    return std::clamp(scaled, m_options.least_stall, m_options.most_stall);
  }

private:
  struct State
  {
    FadingCount good;
    FadingCount bad;
    double score = 0;
    Duration latency{ 0 };
    bool ejected = false;
    TimePoint trial_from{};
    TimePoint ended{};
    Duration ejection{ 0 };
    std::uint32_t good_trials = 0;
  };

  /// Cumulative sum: good work before a change does not delay its detection.
  void NoteScore(State& aState, bool aGood, std::uint32_t aCount) const
  {
    const double step = aGood ? -m_options.good_weight : 1;
    aState.score = std::max(0.0, aState.score + step * aCount);
    aState.score = std::min(aState.score, 2 * m_options.least_bad);
  }

  static void NoteLatency(State& aState, Duration aElapsed)
  {
    constexpr double kWeight = 0.1;
    const double old = ToSeconds(aState.latency);
    const double sample = ToSeconds(aElapsed);
    const double mixed = old == 0 ? sample : old + kWeight * (sample - old);
    aState.latency = std::chrono::duration_cast<Duration>(Seconds(mixed));
  }

  void NoteTrial(State& aState, bool aGood, Duration aElapsed, TimePoint aNow)
  {
    if (aNow < aState.trial_from) {
      return;
    }
    if (aGood && aElapsed < StallAfter(aNow)) {
      ++aState.good_trials;
      aState.trial_from = aNow + m_options.trial_gap;
      return;
    }
    aState.good_trials = 0;
    Lengthen(aState);
    aState.trial_from = aNow + aState.ejection;
  }

  void Lengthen(State& aState) const
  {
    const Duration twice = aState.ejection * 2;
    aState.ejection =
      std::clamp(twice, m_options.first_ejection, m_options.longest_ejection);
  }

  /// Drops what is known of endpoints that are no longer in the service.
  void Forget(const std::vector<JudgedEndpoint>& aEndpoints)
  {
    for (auto it = m_states.begin(); it != m_states.end();) {
      const bool kept = std::any_of(
        aEndpoints.begin(), aEndpoints.end(), [&](const JudgedEndpoint& aOne) {
          return aOne.id == it->first;
        });
      it = kept ? std::next(it) : m_states.erase(it);
    }
  }

  void EndIfProven(const std::string& aEndpoint,
                   TimePoint aNow,
                   std::vector<EjectionChange>& aChanges)
  {
    State& state = m_states[aEndpoint];
    if (!state.ejected || state.good_trials < m_options.trials) {
      return;
    }
    state.ejected = false;
    state.ended = aNow;
    state.good.Clear();
    state.bad.Clear();
    state.score = 0;
    aChanges.push_back({ aEndpoint, false, "its trials succeeded" });
  }

  std::vector<FloorMember> FloorMembers(
    const std::vector<JudgedEndpoint>& aEndpoints,
    TimePoint aNow)
  {
    double allGood = 0;
    double allBad = 0;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      const State& state = m_states[endpoint.id];
      if (!state.ejected) {
        allGood += state.good.At(m_options.window, aNow);
        allBad += state.bad.At(m_options.window, aNow);
      }
    }
    std::vector<FloorMember> members;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      const State& state = m_states[endpoint.id];
      FloorMember member{ endpoint.id, endpoint.slots, endpoint.available };
      const double good = state.good.At(m_options.window, aNow);
      const double bad = state.bad.At(m_options.window, aNow);
      member.badness = bad;
      member.suspect =
        state.ejected ||
        (endpoint.in_service_for >= m_options.cold_start &&
         IsSuspect(state.score, good, bad, allGood - good, allBad - bad));
      if (state.ejected) {
        // Stays out before any new suspect is considered.
        constexpr double kEjectedAlready = 1e12;
        member.badness += kEjectedAlready;
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
                  bool aWanted,
                  TimePoint aNow,
                  std::vector<EjectionChange>& aChanges)
  {
    State& state = m_states[aMember.id];
    if (aWanted == state.ejected) {
      return;
    }
    state.ejected = aWanted;
    state.good_trials = 0;
    if (!aWanted) {
      state.ended = aNow;
      aChanges.push_back({ aMember.id, false, "the floor needs its slots" });
      return;
    }
    if (aNow - state.ended > m_options.memory) {
      state.ejection = Duration::zero();
    }
    Lengthen(state);
    state.trial_from = aNow + state.ejection;
    const double bad = state.bad.At(m_options.window, aNow);
    const double good = state.good.At(m_options.window, aNow);
    aChanges.push_back(
      { aMember.id,
        true,
        PercentText(bad / (bad + good)) + " of its recent work failed" });
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
    auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
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
