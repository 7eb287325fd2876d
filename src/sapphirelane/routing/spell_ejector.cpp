#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {

namespace {

/// How far one sample moves a learned figure.
constexpr double kLearn = 0.1;
constexpr double kLearnRare = 0.01;

/// Beliefs above and below these teach what sick and sound endpoints do.
constexpr double kSurelySick = 0.8;
constexpr double kSurelySound = 0.2;
constexpr double kDoubted = 0.5;

/// Steepness with which a spell ends around the usual length.
constexpr double kSharpness = 5;

/// Times its known length that a spell is taken to last after a failed trial.
constexpr double kBackOff = 1.3;

/// What a spell that is over says of the length of spells, as a share of it.
constexpr double kShorter = 0.95;

/// Bounds of a belief, so that it can always be changed by a few results.
constexpr double kLeastBelief = 0.001;
constexpr double kMostBelief = 0.995;

constexpr double kLeastSickFailure = 0.3;
constexpr double kMostSickFailure = 0.98;
constexpr double kLeastSoundFailure = 0.003;
constexpr double kMostSoundFailure = 0.15;

double
Towards(double aFigure, double aSample, double aShare)
{
  return aFigure + aShare * (aSample - aFigure);
}

class SpellEjector : public Ejector
{
public:
  explicit SpellEjector(SpellOptions aOptions)
    : m_options(aOptions)
    , m_sickTime(ToSeconds(aOptions.first_sick))
    , m_soundTime(ToSeconds(aOptions.first_sound))
    , m_sickFailure(aOptions.sick_failure)
    , m_soundFailure(aOptions.sound_failure)
  {
  }

  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint aNow) override
  {
    if (aObservation.result == WorkResult::ProbeOk) {
      return;
    }
    const bool good = aObservation.result == WorkResult::Answered;
    State& state = m_states[aEndpoint];
    const double before = BeliefAt(state, aNow);
    state.belief = before;
    state.time = aNow;
    for (std::uint32_t i = 0; i < aObservation.count; ++i) {
      Update(state, good, Weight(aObservation.result));
    }
    Learn(state, before, good, aNow);
    if (good && aObservation.elapsed > Duration::zero()) {
      const double sample = ToSeconds(aObservation.elapsed);
      m_latency =
        m_latency == 0 ? sample : Towards(m_latency, sample, kLearnRare * 2);
    }
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t /*aFloor*/,
    TimePoint aNow) override
  {
    std::vector<EjectionChange> changes;
    std::set<std::string> known;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      auto found = m_states.find(endpoint.id);
      if (found == m_states.end()) {
        continue;
      }
      known.insert(endpoint.id);
      State& state = found->second;
      const bool doubted = BeliefAt(state, aNow) > kDoubted;
      if (doubted != state.reported) {
        state.reported = doubted;
        const std::string percent =
          std::to_string(std::lround(100 * BeliefAt(state, aNow)));
        changes.push_back(
          { endpoint.id, doubted, "in a spell with " + percent + "%" });
      }
    }
    if (known.size() < m_states.size()) {
      for (auto it = m_states.begin(); it != m_states.end();) {
        it = known.count(it->first) == 1 ? std::next(it) : m_states.erase(it);
      }
    }
    return changes;
  }

  bool IsEjected(const std::string& /*aEndpoint*/) const override
  {
    return false;
  }

  bool WantsTrial(const std::string& /*aEndpoint*/,
                  TimePoint /*aNow*/) const override
  {
    return false;
  }

  Duration StallAfter(TimePoint /*aNow*/) const override
  {
    const auto scaled = std::chrono::duration_cast<Duration>(
      Seconds(m_latency * m_options.stall_factor));
    return std::clamp(scaled, m_options.least_stall, m_options.most_stall);
  }

  double FailureOf(const std::string& aEndpoint, TimePoint aNow) const override
  {
    auto found = m_states.find(aEndpoint);
    const double belief =
      found == m_states.end() ? SickShare() : BeliefAt(found->second, aNow);
    return belief * m_sickFailure + (1 - belief) * m_soundFailure;
  }

  void Reset(const std::string& aEndpoint) override
  {
    m_states.erase(aEndpoint);
  }

private:
  struct State
  {
    double belief = 0; ///< Probability of a spell at the last result.
    TimePoint time{};  ///< Of the last result.
    bool doubted = false;
    TimePoint onset{};    ///< First failure of the spell, while doubted.
    TimePoint last_bad{}; ///< Last failure of the spell, while doubted.
    TimePoint sound_since{};
    bool reported = false;
  };

  /// Share of the time that an endpoint is in a spell.
  double SickShare() const { return m_sickTime / (m_sickTime + m_soundTime); }

  double BeliefAt(const State& aState, TimePoint aNow) const
  {
    if (aState.time == TimePoint{}) {
      return SickShare();
    }
    const double old =
      aState.doubted ? aState.belief * Lasts(aState, aNow) : aState.belief;
    const double age = std::max(0.0, ToSeconds(aNow - aState.time));
    const double rate = 1 / m_sickTime + 1 / m_soundTime;
    const double rest = SickShare();
    return old + std::max(0.0, rest - old) * (1 - std::exp(-age * rate));
  }

  /// Probability that a spell goes on, given that it did at its last failure.
  /// Spells of one service are of like length, so that one is unlikely to be
  /// over before that and likely to be over soon after.
  double Lasts(const State& aState, TimePoint aNow) const
  {
    const double known = ToSeconds(aState.last_bad - aState.onset);
    const double scale = std::max(m_sickTime, known * kBackOff);
    const double age = std::max(known, ToSeconds(aNow - aState.onset));
    const auto survives = [scale](double aAge) {
      return 1 / (1 + std::pow(aAge / scale, kSharpness));
    };
    return survives(age) / survives(known);
  }

  double Weight(WorkResult aResult) const
  {
    return aResult == WorkResult::Shed ? m_options.shed_weight : 1.0;
  }

  void Update(State& aState, bool aGood, double aWeight) const
  {
    const double ratio = aGood ? (1 - m_sickFailure) / (1 - m_soundFailure)
                               : m_sickFailure / m_soundFailure;
    const double before = std::clamp(aState.belief, kLeastBelief, kMostBelief);
    const double moved = before / (1 - before) * std::pow(ratio, aWeight);
    aState.belief = std::clamp(moved / (1 + moved), kLeastBelief, kMostBelief);
  }

  /// Learns from a result how long spells last and what happens in them.
  void Learn(State& aState, double aBefore, bool aGood, TimePoint aNow)
  {
    const double sample = aGood ? 0 : 1;
    if (aBefore > kSurelySick) {
      m_sickFailure = std::clamp(Towards(m_sickFailure, sample, kLearn / 2),
                                 kLeastSickFailure,
                                 kMostSickFailure);
    } else if (aBefore < kSurelySound) {
      m_soundFailure = std::clamp(Towards(m_soundFailure, sample, kLearnRare),
                                  kLeastSoundFailure,
                                  kMostSoundFailure);
    }
    if (aState.sound_since == TimePoint{}) {
      aState.sound_since = aNow;
    }
    if (aGood) {
      NoteGood(aState, aNow);
    } else {
      NoteBad(aState, aNow);
    }
  }

  void NoteBad(State& aState, TimePoint aNow)
  {
    if (!aState.doubted && aState.belief > kDoubted) {
      LearnSound(ToSeconds(aNow - aState.sound_since));
      aState.doubted = true;
      aState.onset = aNow;
    }
    if (aState.doubted) {
      aState.last_bad = aNow;
      const double lasted = ToSeconds(aNow - aState.onset);
      if (lasted > m_sickTime) {
        LearnSick(lasted, kLearn); // It is longer than that at the least.
      }
    }
  }

  void NoteGood(State& aState, TimePoint aNow)
  {
    if (!aState.doubted || aState.belief > kDoubted) {
      return;
    }
    aState.doubted = false;
    aState.sound_since = aNow;
    const double lasted = ToSeconds(aNow - aState.onset);
    // A spell that was over tells little of when it ended; so spells are taken
    // to be a little shorter until a trial shows that they are not.
    LearnSick(std::min(lasted, m_sickTime * kShorter), kLearn);
  }

  void LearnSound(double aTime)
  {
    m_soundTime = std::clamp(Towards(m_soundTime, aTime, kLearn),
                             ToSeconds(m_options.least_sound),
                             ToSeconds(m_options.most_sound));
  }

  void LearnSick(double aTime, double aShare)
  {
    m_sickTime = std::clamp(Towards(m_sickTime, aTime, aShare),
                            ToSeconds(m_options.least_sick),
                            ToSeconds(m_options.most_sick));
  }

  SpellOptions m_options;
  double m_sickTime;  ///< Mean, in seconds.
  double m_soundTime; ///< Mean, in seconds.
  double m_sickFailure;
  double m_soundFailure;
  double m_latency = 0; ///< Of the service, in seconds.
  std::map<std::string, State> m_states;
};

const EjectorRegistry::Registration kSpells("spells", [] {
  return MakeSpellEjector({});
});

} // namespace

std::unique_ptr<Ejector>
MakeSpellEjector(SpellOptions aOptions)
{
  return std::make_unique<SpellEjector>(aOptions);
}

} // namespace sapphirelane
