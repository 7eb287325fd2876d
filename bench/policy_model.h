#ifndef SAPPHIRELANE_BENCH_POLICY_MODEL_H
#define SAPPHIRELANE_BENCH_POLICY_MODEL_H

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sapphirelane/membership/evidence_board.h"
#include "sapphirelane/routing/balancer.h"
#include "sapphirelane/routing/ejector.h"
#include "sapphirelane/routing/retry_policy.h"

namespace sapphirelane {

constexpr Milliseconds kJudgePeriod{ 50 };
constexpr Milliseconds kSharePeriod{ 250 };
constexpr Milliseconds kConnect{ 1 };
constexpr Milliseconds kDeadline{ 3000 };
constexpr Milliseconds kRoomCheck{ 2 };

inline double
Milli(Duration aTime)
{
  return ToSeconds(aTime) * 1000;
}

inline double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  return aValues[std::max<std::size_t>(1, rank) - 1];
}

/// Events in virtual time.
class Agenda
{
public:
  TimePoint Now() const { return m_now; }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.push({ aTime, m_count++, std::move(aAction) });
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.top().time <= aEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.action();
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    TimePoint time{};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(time, order) > std::tie(aOther.time, aOther.order);
    }
  };

  TimePoint m_now{ std::chrono::hours(1) };
  std::uint64_t m_count = 0;
  std::priority_queue<Event> m_events;
};

/// One endpoint: slots, a queue, a speed and a fault.
struct ModelEndpoint
{
  std::string id;
  std::uint32_t slots = 2;
  double slowness = 1; ///< Factor on the time of work.
  bool stalls = false;
  TimePoint since{};      ///< In service.
  TimePoint cold_until{}; ///< Work takes three times as long before.
  std::uint32_t busy = 0;
  std::queue<std::function<void()>> waiting;
  double reported = 0; ///< Load as of the last report.
  TimePoint reported_at{};
};

struct ModelOptions
{
  std::size_t daemons = 40;
  std::size_t endpoints = 6;
  std::uint32_t slots = 2;
  double load = 0.5; ///< Share of all slots that the arrivals keep busy.
  Milliseconds work{ 25 };
  std::string ejector = "peer-comparison";
  std::string hedging = "hedge"; ///< none, retry or hedge.
  std::uint64_t seed = 1;
  std::uint32_t floor = 50;
  bool shares = true; ///< Daemons share evidence.
};

/// Daemons before one service.
class Model
{
public:
  explicit Model(const ModelOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_endpoints(aOptions.endpoints)
  {
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
      m_endpoints[i].id = "e" + std::to_string(i);
      m_endpoints[i].slots = aOptions.slots;
    }
    for (std::size_t i = 0; i < aOptions.daemons; ++i) {
      m_daemons.push_back(std::make_unique<DaemonState>());
      DaemonState& daemon = *m_daemons.back();
      daemon.ejector = EjectorRegistry::Make(aOptions.ejector);
      daemon.balancer = MakeTwoChoices({});
      RetryBudgetOptions hedge;
      hedge.share = 0.04;
      daemon.hedge = MakeRetryBudget(hedge);
      daemon.retry = MakeRetryBudget({});
      daemon.in_flight.resize(m_endpoints.size());
      daemon.latency.resize(m_endpoints.size());
      daemon.latency_at.resize(m_endpoints.size());
      daemon.good.resize(m_endpoints.size());
      daemon.bad.resize(m_endpoints.size());
      JudgeLater(i);
      ShareLater(i);
    }
    Arrive();
  }

  Agenda& Time() { return m_agenda; }
  ModelEndpoint& At(std::size_t aIndex) { return m_endpoints[aIndex]; }

  /// Calls back when an endpoint's state of ejection changes at a daemon.
  std::function<void(std::size_t, const EjectionChange&)> on_change;

  std::vector<double> latencies; ///< Of answered requests, milliseconds.
  std::size_t requests = 0;
  std::size_t attempts = 0;
  std::size_t unanswered = 0;
  std::vector<std::size_t> sent = std::vector<std::size_t>(64, 0);

  bool IsOut(std::size_t aDaemon, std::size_t aEndpoint) const
  {
    return m_daemons[aDaemon]->ejector->IsEjected(m_endpoints[aEndpoint].id);
  }

  /// Smallest share of slots in choice at any daemon so far.
  double least_capacity = 1;

private:
  struct DaemonState
  {
    std::unique_ptr<Ejector> ejector;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> hedge;
    std::unique_ptr<RetryPolicy> retry;
    std::vector<std::uint32_t> in_flight;
    std::vector<Duration> latency;
    std::vector<TimePoint> latency_at;
    std::vector<std::uint32_t> good;
    std::vector<std::uint32_t> bad;
    std::set<std::size_t> trials;
    bool has_bad = false;
  };

  /// One request at a daemon.
  struct Request
  {
    std::size_t daemon = 0;
    TimePoint begun{};
    bool done = false;
    std::uint32_t attempts = 0;
    std::vector<std::size_t> tried;
  };

  using RequestPtr = std::shared_ptr<Request>;

  void Arrive()
  {
    const double perSecond = m_options.load *
                             static_cast<double>(m_options.endpoints) *
                             m_options.slots / ToSeconds(m_options.work);
    std::exponential_distribution<double> gap(perSecond);
    const auto wait =
      std::chrono::duration_cast<Duration>(Seconds(gap(m_random)));
    m_agenda.At(m_agenda.Now() + wait, [this] {
      auto request = std::make_shared<Request>();
      request->daemon = m_random() % m_daemons.size();
      request->begun = m_agenda.Now();
      ++requests;
      m_daemons[request->daemon]->hedge->OnRequest(m_agenda.Now());
      m_daemons[request->daemon]->retry->OnRequest(m_agenda.Now());
      Attempt(request);
      Arrive();
    });
  }

  void Attempt(const RequestPtr& aRequest)
  {
    DaemonState& daemon = *m_daemons[aRequest->daemon];
    const auto choice = Choose(daemon, aRequest->tried);
    if (!choice) {
      WaitForRoom(aRequest);
      return;
    }
    const std::size_t index = *choice;
    aRequest->tried.push_back(index);
    ++aRequest->attempts;
    ++attempts;
    ++sent[index];
    ++daemon.in_flight[index];
    const TimePoint begun = m_agenda.Now();
    auto answered = std::make_shared<bool>(false);
    Enter(index, [this, aRequest, index, begun, answered] {
      *answered = true;
      Answer(aRequest, index, begun);
    });
    WatchStall(aRequest, index, begun, answered);
    WatchHedge(aRequest, index, answered);
    // The caller's deadline ends the attempt.
    m_agenda.At(begun + kDeadline, [this, aRequest, index, answered] {
      if (!*answered) {
        *answered = true;
        --m_daemons[aRequest->daemon]->in_flight[index];
        m_daemons[aRequest->daemon]->trials.erase(index);
        if (!aRequest->done) {
          aRequest->done = true;
          ++unanswered;
        }
      }
    });
  }

  /// A daemon sends an endpoint no more than its slots; the rest waits.
  void WaitForRoom(const RequestPtr& aRequest)
  {
    if (aRequest->attempts > 0) {
      return;
    }
    if (m_agenda.Now() - aRequest->begun >= kDeadline) {
      ++unanswered;
      return;
    }
    m_agenda.At(m_agenda.Now() + kRoomCheck,
                [this, aRequest] { Attempt(aRequest); });
  }

  std::optional<std::size_t> Choose(DaemonState& aDaemon,
                                    const std::vector<std::size_t>& aTried)
  {
    const TimePoint now = m_agenda.Now();
    std::vector<Candidate> candidates;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
      const ModelEndpoint& endpoint = m_endpoints[i];
      const bool tries = aDaemon.trials.count(i) == 0 &&
                         aDaemon.ejector->WantsTrial(endpoint.id, now);
      if (tries) {
        aDaemon.trials.insert(i);
        return i;
      }
      const bool tried =
        std::find(aTried.begin(), aTried.end(), i) != aTried.end();
      const bool full = aDaemon.in_flight[i] >= endpoint.slots;
      if (tried || full || aDaemon.ejector->IsEjected(endpoint.id)) {
        continue;
      }
      Candidate candidate;
      candidate.id = endpoint.id;
      candidate.slots = endpoint.slots;
      candidate.in_flight = aDaemon.in_flight[i];
      candidate.reported_load = endpoint.reported;
      candidate.report_age = now - endpoint.reported_at;
      const double age = ToSeconds(now - aDaemon.latency_at[i]);
      candidate.latency = std::chrono::duration_cast<Duration>(
        Seconds(ToSeconds(aDaemon.latency[i]) * std::exp2(-age / 2)));
      candidate.in_service_for = std::chrono::hours(1);
      candidates.push_back(candidate);
      indexes.push_back(i);
    }
    const auto picked = aDaemon.balancer->Pick(candidates, now, m_random);
    if (!picked) {
      return std::nullopt;
    }
    return indexes[*picked];
  }

  /// Takes work in: a slot, or the queue.
  void Enter(std::size_t aIndex, const std::function<void()>& aDone)
  {
    ModelEndpoint& endpoint = m_endpoints[aIndex];
    if (endpoint.stalls) {
      return;
    }
    if (endpoint.busy >= endpoint.slots) {
      endpoint.waiting.push([this, aIndex, aDone] { Work(aIndex, aDone); });
      return;
    }
    Work(aIndex, aDone);
  }

  void Work(std::size_t aIndex, const std::function<void()>& aDone)
  {
    ModelEndpoint& endpoint = m_endpoints[aIndex];
    ++endpoint.busy;
    // Half fixed, half exponential, as the stand-in upstream does.
    std::exponential_distribution<double> extra(2.0);
    double factor = (0.5 + extra(m_random)) * endpoint.slowness;
    if (m_agenda.Now() < endpoint.cold_until) {
      factor *= 3;
    }
    const auto time = std::chrono::duration_cast<Duration>(
      Seconds(ToSeconds(m_options.work) * factor));
    m_agenda.At(m_agenda.Now() + time + kConnect, [this, aIndex, aDone] {
      ModelEndpoint& done = m_endpoints[aIndex];
      --done.busy;
      done.reported =
        static_cast<double>(done.busy + done.waiting.size()) / done.slots;
      done.reported_at = m_agenda.Now();
      if (!done.stalls) {
        aDone();
      }
      if (!done.waiting.empty()) {
        const auto next = done.waiting.front();
        done.waiting.pop();
        next();
      }
    });
  }

  void Answer(const RequestPtr& aRequest, std::size_t aIndex, TimePoint aBegun)
  {
    DaemonState& daemon = *m_daemons[aRequest->daemon];
    --daemon.in_flight[aIndex];
    daemon.trials.erase(aIndex);
    const Duration elapsed = m_agenda.Now() - aBegun;
    daemon.ejector->Observe(m_endpoints[aIndex].id,
                            { WorkResult::Answered, elapsed },
                            m_agenda.Now());
    ++daemon.good[aIndex];
    const double old = ToSeconds(daemon.latency[aIndex]);
    const double mixed =
      old == 0 ? ToSeconds(elapsed) : old + 0.1 * (ToSeconds(elapsed) - old);
    daemon.latency[aIndex] =
      std::chrono::duration_cast<Duration>(Seconds(mixed));
    daemon.latency_at[aIndex] = m_agenda.Now();
    if (!aRequest->done) {
      aRequest->done = true;
      latencies.push_back(Milli(m_agenda.Now() - aRequest->begun));
    }
  }

  void WatchStall(const RequestPtr& aRequest,
                  std::size_t aIndex,
                  TimePoint aBegun,
                  const std::shared_ptr<bool>& aAnswered)
  {
    DaemonState& daemon = *m_daemons[aRequest->daemon];
    const Duration after =
      daemon.ejector->StallAfter(Duration(0), m_agenda.Now());
    m_agenda.At(aBegun + after, [this, aRequest, aIndex, after, aAnswered] {
      if (*aAnswered) {
        return;
      }
      DaemonState& one = *m_daemons[aRequest->daemon];
      one.ejector->Observe(
        m_endpoints[aIndex].id, { WorkResult::Stalled, after }, m_agenda.Now());
      ++one.bad[aIndex];
      one.has_bad = true;
      const bool retries =
        m_options.hedging != "none" && !aRequest->done &&
        aRequest->attempts < 2 &&
        one.retry->TakeExtra(aRequest->attempts,
                             m_agenda.Now() + std::chrono::seconds(1),
                             m_agenda.Now());
      if (retries) {
        Attempt(aRequest);
      }
    });
  }

  void WatchHedge(const RequestPtr& aRequest,
                  std::size_t aIndex,
                  const std::shared_ptr<bool>& aAnswered)
  {
    if (m_options.hedging != "hedge" || aRequest->attempts > 1) {
      return;
    }
    DaemonState& daemon = *m_daemons[aRequest->daemon];
    Duration least = Duration::max();
    for (const Duration& latency : daemon.latency) {
      if (latency > Duration::zero()) {
        least = std::min(least, latency);
      }
    }
    const Duration after = least == Duration::max()
                             ? Duration(Milliseconds(100))
                             : std::max<Duration>(Milliseconds(20), least * 3);
    m_agenda.At(m_agenda.Now() + after, [this, aRequest, aIndex, aAnswered] {
      DaemonState& one = *m_daemons[aRequest->daemon];
      const bool allowed =
        !*aAnswered && !aRequest->done && aRequest->attempts == 1 &&
        (one.trials.count(aIndex) == 1 ||
         one.ejector->IsEjected(m_endpoints[aIndex].id) ||
         one.hedge->TakeExtra(
           1, m_agenda.Now() + std::chrono::seconds(1), m_agenda.Now()));
      if (allowed) {
        Attempt(aRequest);
      }
    });
  }

  void JudgeLater(std::size_t aDaemon)
  {
    m_agenda.At(m_agenda.Now() + kJudgePeriod, [this, aDaemon] {
      std::vector<JudgedEndpoint> judged;
      for (const ModelEndpoint& endpoint : m_endpoints) {
        judged.push_back({ endpoint.id,
                           endpoint.slots,
                           true,
                           m_agenda.Now() - endpoint.since });
      }
      DaemonState& daemon = *m_daemons[aDaemon];
      for (const EjectionChange& change :
           daemon.ejector->Judge(judged, m_options.floor, m_agenda.Now())) {
        if (on_change) {
          on_change(aDaemon, change);
        }
      }
      std::uint32_t left = 0;
      std::uint32_t all = 0;
      for (const ModelEndpoint& endpoint : m_endpoints) {
        all += endpoint.slots;
        left += daemon.ejector->IsEjected(endpoint.id) ? 0 : endpoint.slots;
      }
      least_capacity =
        std::min(least_capacity, static_cast<double>(left) / all);
      JudgeLater(aDaemon);
    });
  }

  void ShareLater(std::size_t aDaemon)
  {
    m_agenda.At(m_agenda.Now() + kSharePeriod, [this, aDaemon] {
      DaemonState& daemon = *m_daemons[aDaemon];
      if (!daemon.has_bad) {
        std::fill(daemon.good.begin(), daemon.good.end(), 0);
      }
      if (m_options.shares && daemon.has_bad) {
        EvidenceNews news;
        news.service = "s";
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
          if (daemon.good[i] + daemon.bad[i] > 0) {
            news.endpoints.push_back(
              { m_endpoints[i].id, daemon.good[i], daemon.bad[i] });
          }
          daemon.good[i] = 0;
          daemon.bad[i] = 0;
        }
        daemon.has_bad = false;
        const EvidenceNews others =
          m_board.Exchange(aDaemon + 1, news, m_agenda.Now());
        for (const WireEvidence& one : others.endpoints) {
          if (one.answered > 0) {
            daemon.ejector->Observe(
              one.endpoint,
              { WorkResult::Answered, Duration(0), one.answered },
              m_agenda.Now());
          }
          if (one.bad > 0) {
            daemon.ejector->Observe(
              one.endpoint,
              { WorkResult::Stalled, Duration(0), one.bad },
              m_agenda.Now());
          }
        }
      }
      ShareLater(aDaemon);
    });
  }

  ModelOptions m_options;
  Random m_random;
  Agenda m_agenda;
  std::vector<ModelEndpoint> m_endpoints;
  std::vector<std::unique_ptr<DaemonState>> m_daemons;
  EvidenceBoard m_board;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BENCH_POLICY_MODEL_H
