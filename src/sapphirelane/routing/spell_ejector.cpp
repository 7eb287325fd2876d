#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {

namespace {

/// Weights of one sample in the moving averages of the model's parameters; the
/// slow one is for the failure rate of healthy endpoints and the latency.
constexpr double kLearningRate = 0.1;
constexpr double kSlowLearningRate = 0.01;

/// Episode probabilities beyond these make a result a sample of the failure
/// rate of degraded or healthy endpoints.
constexpr double kSurelyDegraded = 0.8;
constexpr double kSurelyHealthy = 0.2;

/// Episode probability above which an endpoint is taken to be in an episode.
constexpr double kEpisodeThreshold = 0.5;

/// Shape of the log-logistic distribution of episode lengths; a larger value
/// concentrates them around the scale.
constexpr double kEpisodeLengthShape = 5;

/// Expected length of an episode after another failure, as a multiple of its
/// length so far.
constexpr double kEpisodeExtension = 1.3;

/// Largest sample of the episode length from an episode found to be over, as a
/// share of the mean.
constexpr double kEpisodeShortening = 0.95;

/// Bounds of the episode probability, so that a few results can always change
/// it.
constexpr double kMinProbability = 0.001;
constexpr double kMaxProbability = 0.995;

/// Bounds of the learnt failure rates.
constexpr double kMinDegradedFailureRate = 0.3;
constexpr double kMaxDegradedFailureRate = 0.98;
constexpr double kMinHealthyFailureRate = 0.003;
constexpr double kMaxHealthyFailureRate = 0.15;

double
MoveAverage(double aAverage, double aSample, double aWeightOfSample)
{
  return aAverage + aWeightOfSample * (aSample - aAverage);
}

class FaultEpisodeEjector : public Ejector
{
public:
  explicit FaultEpisodeEjector(SpellOptions aOptions)
    : m_options(aOptions)
    , m_episodeSeconds(ToSeconds(aOptions.first_sick))
    , m_healthySeconds(ToSeconds(aOptions.first_sound))
    , m_degradedFailureRate(aOptions.sick_failure)
    , m_healthyFailureRate(aOptions.sound_failure)
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
    const double prior = EpisodeProbability(state, aNow);
    state.probability = prior;
    state.time = aNow;
    for (std::uint32_t i = 0; i < aObservation.count; ++i) {
      UpdateProbability(state, good, EvidenceWeight(aObservation.result));
    }
    UpdateModel(state, prior, good, aNow);
    if (good && aObservation.elapsed > Duration::zero()) {
      // The mean of the first samples, then a moving average.
      ++m_latencySamples;
      const double weight =
        std::max(kSlowLearningRate * 2, 1.0 / m_latencySamples);
      m_latencySeconds =
        MoveAverage(m_latencySeconds, ToSeconds(aObservation.elapsed), weight);
    }
  }

  std::vector<EjectionChange> Judge(
    const std::vector<JudgedEndpoint>& aEndpoints,
    std::uint32_t /*aMinHealthyPercent*/,
    TimePoint aNow) override
  {
    std::vector<EjectionChange> changes;
    std::set<std::string> knownIds;
    for (const JudgedEndpoint& endpoint : aEndpoints) {
      auto found = m_states.find(endpoint.id);
      if (found == m_states.end()) {
        continue;
      }
      knownIds.insert(endpoint.id);
      State& state = found->second;
      const bool isDegraded =
        EpisodeProbability(state, aNow) > kEpisodeThreshold;
      if (isDegraded != state.reported_degraded) {
        state.reported_degraded = isDegraded;
        const std::string percent =
          std::to_string(std::lround(100 * EpisodeProbability(state, aNow)));
        changes.push_back(
          { endpoint.id, isDegraded, "in a spell with " + percent + "%" });
      }
    }
    if (knownIds.size() < m_states.size()) {
      for (auto it = m_states.begin(); it != m_states.end();) {
        it =
          knownIds.count(it->first) == 1 ? std::next(it) : m_states.erase(it);
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

  Duration StallAfter(Duration aTarget, TimePoint /*aNow*/) const override
  {
    const auto timeout = std::chrono::duration_cast<Duration>(
      Seconds(m_latencySeconds * m_options.stall_factor));
    // A slow service may use its target up, and is not failing until then.
    return std::clamp(
      timeout, m_options.least_stall, std::max(m_options.most_stall, aTarget));
  }

  double FailureOf(const std::string& aEndpoint, TimePoint aNow) const override
  {
    auto found = m_states.find(aEndpoint);
    const double probability = found == m_states.end()
                                 ? EpisodeShare()
                                 : EpisodeProbability(found->second, aNow);
    return probability * m_degradedFailureRate +
           (1 - probability) * m_healthyFailureRate;
  }

  void Reset(const std::string& aEndpoint) override
  {
    m_states.erase(aEndpoint);
  }

private:
  struct State
  {
    double probability = 0;    ///< Episode probability after the last result.
    TimePoint time{};          ///< Time of the last result.
    bool in_episode = false;   ///< An episode is taken to be going on.
    TimePoint first_failure{}; ///< First failure of the current episode.
    TimePoint last_failure{};  ///< Last failure of the current episode.
    TimePoint healthy_since{};
    bool reported_degraded = false;
  };

  /// Base rate: share of time that an endpoint is in an episode.
  double EpisodeShare() const
  {
    return m_episodeSeconds / (m_episodeSeconds + m_healthySeconds);
  }

  /// Episode probability at a time after the last result: what is left of the
  /// previous one, rising to the base rate.
  double EpisodeProbability(const State& aState, TimePoint aNow) const
  {
    if (aState.time == TimePoint{}) {
      return EpisodeShare();
    }
    const double remaining =
      aState.in_episode ? aState.probability * SurvivalProbability(aState, aNow)
                        : aState.probability;
    const double age = std::max(0.0, ToSeconds(aNow - aState.time));
    const double rate = 1 / m_episodeSeconds + 1 / m_healthySeconds;
    const double baseRate = EpisodeShare();
    return remaining +
           std::max(0.0, baseRate - remaining) * (1 - std::exp(-age * rate));
  }

  /// Conditional survival: probability that an episode is still going on, given
  /// that it was at its last failure. Episodes of a service have similar
  /// lengths, so an episode rarely ends well before the usual length and mostly
  /// ends soon after it. The length distribution is log-logistic.
  double SurvivalProbability(const State& aState, TimePoint aNow) const
  {
    const double lengthSoFar =
      ToSeconds(aState.last_failure - aState.first_failure);
    const double scale =
      std::max(m_episodeSeconds, lengthSoFar * kEpisodeExtension);
    const double age =
      std::max(lengthSoFar, ToSeconds(aNow - aState.first_failure));
    const auto survival = [scale](double aAge) {
      return 1 / (1 + std::pow(aAge / scale, kEpisodeLengthShape));
    };
    return survival(age) / survival(lengthSoFar);
  }

  double EvidenceWeight(WorkResult aResult) const
  {
    return aResult == WorkResult::Shed ? m_options.shed_weight : 1.0;
  }

  /// Bayes' rule in odds form; shed requests count with a lower weight.
  void UpdateProbability(State& aState, bool aGood, double aWeight) const
  {
    const double likelihoodRatio =
      aGood ? (1 - m_degradedFailureRate) / (1 - m_healthyFailureRate)
            : m_degradedFailureRate / m_healthyFailureRate;
    const double prior =
      std::clamp(aState.probability, kMinProbability, kMaxProbability);
    const double odds =
      prior / (1 - prior) * std::pow(likelihoodRatio, aWeight);
    aState.probability =
      std::clamp(odds / (1 + odds), kMinProbability, kMaxProbability);
  }

  /// Updates the learnt failure rates and episode lengths with a result.
  void UpdateModel(State& aState, double aPrior, bool aGood, TimePoint aNow)
  {
    const double sample = aGood ? 0 : 1;
    if (aPrior > kSurelyDegraded) {
      m_degradedFailureRate = std::clamp(
        MoveAverage(m_degradedFailureRate, sample, kLearningRate / 2),
        kMinDegradedFailureRate,
        kMaxDegradedFailureRate);
    } else if (aPrior < kSurelyHealthy) {
      m_healthyFailureRate =
        std::clamp(MoveAverage(m_healthyFailureRate, sample, kSlowLearningRate),
                   kMinHealthyFailureRate,
                   kMaxHealthyFailureRate);
    }
    if (aState.healthy_since == TimePoint{}) {
      aState.healthy_since = aNow;
    }
    if (aGood) {
      RecordSuccess(aState, aNow);
    } else {
      RecordFailure(aState, aNow);
    }
  }

  void RecordFailure(State& aState, TimePoint aNow)
  {
    if (!aState.in_episode && aState.probability > kEpisodeThreshold) {
      LearnHealthyTime(ToSeconds(aNow - aState.healthy_since));
      aState.in_episode = true;
      aState.first_failure = aNow;
    }
    if (aState.in_episode) {
      aState.last_failure = aNow;
      const double length = ToSeconds(aNow - aState.first_failure);
      if (length > m_episodeSeconds) {
        // The episode is at least this long.
        LearnEpisodeLength(length, kLearningRate);
      }
    }
  }

  void RecordSuccess(State& aState, TimePoint aNow)
  {
    if (!aState.in_episode || aState.probability > kEpisodeThreshold) {
      return;
    }
    aState.in_episode = false;
    aState.healthy_since = aNow;
    const double length = ToSeconds(aNow - aState.first_failure);
    // The end of an episode is observed only with the next request, which may
    // come much later. Take episodes to be slightly shorter each time, until a
    // failure shows that they are not.
    LearnEpisodeLength(std::min(length, m_episodeSeconds * kEpisodeShortening),
                       kLearningRate);
  }

  void LearnHealthyTime(double aTime)
  {
    m_healthySeconds =
      std::clamp(MoveAverage(m_healthySeconds, aTime, kLearningRate),
                 ToSeconds(m_options.least_sound),
                 ToSeconds(m_options.most_sound));
  }

  void LearnEpisodeLength(double aTime, double aWeightOfSample)
  {
    m_episodeSeconds =
      std::clamp(MoveAverage(m_episodeSeconds, aTime, aWeightOfSample),
                 ToSeconds(m_options.least_sick),
                 ToSeconds(m_options.most_sick));
  }

  SpellOptions m_options;
  double m_episodeSeconds;      ///< Mean episode length, in seconds.
  double m_healthySeconds;      ///< Mean time between episodes, in seconds.
  double m_degradedFailureRate; ///< Failure rate in an episode.
  double m_healthyFailureRate;  ///< Failure rate outside of episodes.
  double m_latencySeconds = 0;  ///< Mean latency of the service, in seconds.
  std::uint32_t m_latencySamples = 0;
  std::map<std::string, State> m_states;
};

const EjectorRegistry::Registration kFaultEpisodes("spells", [] {
  return MakeSpellEjector({});
});

} // namespace

std::unique_ptr<Ejector>
MakeSpellEjector(SpellOptions aOptions)
{
  return std::make_unique<FaultEpisodeEjector>(aOptions);
}

} // namespace sapphirelane
