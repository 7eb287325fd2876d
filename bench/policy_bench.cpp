/// Drives the real decision classes with a virtual clock, seeded arrivals and
/// a queueing model of endpoints, and writes what it measures as JSON.
///
/// The model has the brief's slots, connection cost and lagging load reports.
/// It models no network between daemons: each daemon chooses for itself, and
/// evidence is shared through the real EvidenceBoard.
#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "policy_model.h"
#include "sapphirelane/admission/account_parts.h"
#include "sapphirelane/admission/budget_holder.h"
#include "sapphirelane/admission/request_queue.h"
#include "sapphirelane/claims/claim_table.h"
#include "sapphirelane/routing/retry_policy.h"

namespace {

using namespace sapphirelane; // NOLINT(google-build-using-namespace)
using nlohmann::json;

/// Hours of virtual time in which healthy endpoints are watched.
constexpr std::uint64_t kMistakeSeeds = 4;

/// 90% of what six endpoints serve when two of them are half as fast.
constexpr double kNinetyPercent = 0.9 * 5 / 6;

/// Times from the fault to each daemon's ejection of the stalled endpoint.
json
MeasureGray(const std::string& aEjector, std::size_t aSeeds)
{
  std::vector<double> times;
  std::size_t missed = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    ModelOptions options;
    options.ejector = aEjector;
    options.seed = seed;
    Model model(options);
    const TimePoint start = model.Time().Now();
    model.Time().RunUntil(start + std::chrono::seconds(20));
    const TimePoint fault = model.Time().Now();
    model.At(2).stalls = true;
    std::map<std::size_t, double> out;
    model.on_change = [&](std::size_t aDaemon, const EjectionChange& aChange) {
      if (aChange.endpoint == "e2" && aChange.ejected) {
        out.emplace(aDaemon, ToSeconds(model.Time().Now() - fault));
      }
    };
    model.Time().RunUntil(fault + std::chrono::seconds(30));
    for (std::size_t daemon = 0; daemon < options.daemons; ++daemon) {
      auto found = out.find(daemon);
      if (found == out.end()) {
        ++missed;
      } else {
        times.push_back(found->second);
      }
    }
  }
  constexpr double kNever = 30;
  std::vector<double> all = times;
  all.insert(all.end(), missed, kNever);
  return { { "ejector", aEjector },
           { "seeds", aSeeds },
           { "median_s", Percentile(all, 0.5) },
           { "p99_s", Percentile(all, 0.99) },
           { "never", missed },
           { "daemons", all.size() } };
}

/// Healthy endpoints ejected in an hour, two of them half as fast as the rest.
/// @param aLoad Share of the slots' capacity that is asked for.
json
MeasureMistakes(const std::string& aEjector, double aLoad, std::uint64_t aSeed)
{
  std::size_t mistakes = 0;
  ModelOptions options;
  options.ejector = aEjector;
  // Fewer daemons, the same load on the endpoints.
  options.daemons = 8;
  options.seed = aSeed;
  options.load = aLoad;
  Model model(options);
  model.At(0).slowness = 2;
  model.At(1).slowness = 2;
  model.on_change = [&](std::size_t, const EjectionChange& aChange) {
    mistakes += aChange.ejected ? 1 : 0;
  };
  const TimePoint start = model.Time().Now();
  for (int minute = 0; minute < 60; ++minute) {
    if (minute % 10 == 5) {
      // A restart: the endpoint is cold for 10 s.
      model.At(3).since = model.Time().Now();
      model.At(3).cold_until = model.Time().Now() + std::chrono::seconds(10);
    }
    model.Time().RunUntil(start + std::chrono::minutes(minute + 1));
  }
  return { { "ejector", aEjector },
           { "mistakes", mistakes },
           { "p99_ms", Percentile(model.latencies, 0.99) } };
}

/// Work sent into the sick phases of an endpoint that flaps.
json
MeasureFlapping(const std::string& aEjector, std::uint64_t aSeed)
{
  ModelOptions options;
  options.ejector = aEjector;
  options.daemons = 8;
  options.seed = aSeed;
  Model model(options);
  const TimePoint start = model.Time().Now();
  model.Time().RunUntil(start + std::chrono::seconds(20));
  std::size_t into = 0;
  for (int cycle = 0; cycle < 60; ++cycle) {
    model.At(2).stalls = true;
    const std::size_t before = model.sent[2];
    model.Time().RunUntil(model.Time().Now() + std::chrono::seconds(10));
    into += model.sent[2] - before;
    model.At(2).stalls = false;
    model.Time().RunUntil(model.Time().Now() + std::chrono::seconds(10));
  }
  return { { "ejector", aEjector }, { "work_in_sick_phases", into } };
}

/// Read latency with one stalled endpoint against no fault.
json
MeasureReads(const std::string& aHedging, bool aFault, std::uint64_t aSeed)
{
  ModelOptions options;
  options.hedging = aHedging;
  options.seed = aSeed;
  Model model(options);
  const TimePoint start = model.Time().Now();
  model.Time().RunUntil(start + std::chrono::seconds(20));
  model.latencies.clear();
  model.requests = 0;
  model.attempts = 0;
  model.unanswered = 0;
  model.At(2).stalls = aFault;
  model.Time().RunUntil(model.Time().Now() + std::chrono::seconds(60));
  return { { "hedging", aHedging },
           { "fault", aFault },
           { "p50_ms", Percentile(model.latencies, 0.5) },
           { "p99_ms", Percentile(model.latencies, 0.99) },
           { "unanswered", model.unanswered },
           { "requests", model.requests },
           { "attempts_per_request",
             static_cast<double>(model.attempts) /
               static_cast<double>(model.requests) } };
}

/// Goodput of the worst-served account while another sends too much.
json
MeasureFairness(const std::string& aQueue,
                double aAggressor,
                std::uint64_t aSeed)
{
  Random random(aSeed);
  Agenda agenda;
  auto queue = QueueRegistry::Make(aQueue, aQueue == "fair" ? 64 : 512);
  constexpr std::size_t kAccounts = 8;
  constexpr std::uint32_t kSlots = 12;
  constexpr double kWorkSeconds = 0.025;
  // Each account's rate is a ninth of the capacity; all but the aggressor
  // send 95% of it.
  const double capacity = kSlots / kWorkSeconds;
  const double rate = capacity / 9;
  std::vector<std::size_t> sent(kAccounts, 0);
  std::vector<std::size_t> served(kAccounts, 0);
  std::uint32_t busy = 0;
  std::uint64_t id = 0;
  std::map<std::uint64_t, std::size_t> owner;
  std::function<void()> serve = [&] {
    while (busy < kSlots) {
      for (const QueuedRequest& late : queue->TakeLate(agenda.Now())) {
        owner.erase(late.id);
      }
      const auto next = queue->Pop(agenda.Now());
      if (!next) {
        return;
      }
      ++busy;
      const std::size_t account = owner[next->id];
      std::exponential_distribution<double> work(1 / kWorkSeconds);
      const auto time =
        std::chrono::duration_cast<Duration>(Seconds(work(random)));
      agenda.At(agenda.Now() + time, [&, account] {
        --busy;
        ++served[account];
        serve();
      });
    }
  };
  std::function<void(std::size_t)> arrive = [&](std::size_t aAccount) {
    const double factor = aAccount == 0 ? aAggressor : 0.95;
    if (factor == 0) {
      return;
    }
    std::exponential_distribution<double> gap(rate * factor);
    const auto wait =
      std::chrono::duration_cast<Duration>(Seconds(gap(random)));
    agenda.At(agenda.Now() + wait, [&, aAccount] {
      ++sent[aAccount];
      owner[++id] = aAccount;
      queue->Push({ id,
                    "account-" + std::to_string(aAccount),
                    agenda.Now() + std::chrono::seconds(2) });
      serve();
      arrive(aAccount);
    });
  };
  for (std::size_t account = 0; account < kAccounts; ++account) {
    arrive(account);
  }
  agenda.RunUntil(agenda.Now() + std::chrono::seconds(120));
  double worst = 1;
  for (std::size_t account = 1; account < kAccounts; ++account) {
    worst = std::min(worst,
                     static_cast<double>(served[account]) /
                       static_cast<double>(sent[account]));
  }
  return { { "queue", aQueue },
           { "aggressor", aAggressor },
           { "worst_goodput", worst } };
}

/// Asks the parts of an account the way a daemon does.
bool
AskParts(const Account& aAccount,
         BudgetHolder& aHolder,
         TimePoint aBegin,
         TimePoint aNow,
         std::uint64_t& aQuestion,
         Random& aRandom)
{
  PartWalk walk(
    PartsOf(aAccount), [](std::uint32_t) { return false; }, aRandom);
  for (;;) {
    const Grant grant = aHolder.Ask(PartOf(aAccount, walk.Part()),
                                    ++aQuestion,
                                    aBegin - std::chrono::hours(1),
                                    walk.MayWait() ? TimePoint::max() : aNow,
                                    aNow);
    if (grant.granted || walk.OnRefused(grant.retry_after)) {
      return grant.granted;
    }
  }
}

/// Refusals within rate: accounts at 95% of their rate over many daemons.
json
MeasureLimits(const std::string& aKind, std::uint64_t aSeed)
{
  Random random(aSeed);
  constexpr std::size_t kDaemons = 40;
  const std::vector<Account> accounts = { { "large", 200, 100 },
                                          { "middle", 40, 30 },
                                          { "small", 4, 4 } };
  std::size_t sent = 0;
  std::size_t refused = 0;
  TimePoint now{ std::chrono::hours(1) };
  for (const Account& account : accounts) {
    BudgetHolder holder;
    std::vector<BudgetHolder> parts(kDaemons);
    std::exponential_distribution<double> gap(account.rate * 0.95);
    // Skewed: a daemon takes twice as much as the one after the next three.
    std::vector<double> weights;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      weights.push_back(std::exp2(-static_cast<double>(i) / 4));
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    const TimePoint begin = now;
    double level = account.burst;
    TimePoint last = now;
    std::uint64_t question = 0;
    for (int i = 0; i < 40000; ++i) {
      now += std::chrono::duration_cast<Duration>(Seconds(gap(random)));
      level =
        std::min(account.burst, level + ToSeconds(now - last) * account.rate);
      last = now;
      // Within rate is judged by what the account was given so far.
      const bool within = level >= 1;
      const std::size_t daemon = draw(random);
      bool granted = false;
      if (aKind == "holder") {
        holder.Expire(now);
        granted = AskParts(account, holder, begin, now, question, random);
      } else {
        Account part = account;
        part.rate /= kDaemons;
        part.burst = std::max(1 + part.rate * ToSeconds(kGrantLife),
                              account.burst / kDaemons);
        parts[daemon].Expire(now);
        granted = parts[daemon]
                    .Ask(part,
                         ++question,
                         begin - std::chrono::hours(1),
                         TimePoint::max(),
                         now)
                    .granted;
      }
      level -= granted ? 1 : 0;
      sent += within ? 1 : 0;
      refused += within && !granted ? 1 : 0;
    }
  }
  return { { "kind", aKind },
           { "sent_within_rate", sent },
           { "refused_within_rate", refused },
           { "share",
             static_cast<double>(refused) / static_cast<double>(sent) } };
}

/// Attempts in a full outage of a service.
json
MeasureOutage(const std::string& aRetry)
{
  auto policy = RetryRegistry::Make(aRetry);
  const TimePoint now{ std::chrono::hours(1) };
  constexpr std::size_t kRequests = 20000;
  std::size_t attempts = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    policy->OnRequest(now);
    std::uint32_t made = 1;
    while (policy->TakeExtra(made, now + std::chrono::seconds(1), now)) {
      ++made;
    }
    attempts += made;
  }
  return { { "retry", aRetry },
           { "attempts_per_request",
             static_cast<double>(attempts) / kRequests } };
}

/// A caller that repeats what timed out, with and without claims.
json
MeasureRunOnce(bool aClaims, std::uint64_t aSeed)
{
  // As the paper describes it, a repeat restarts the whole action: the
  // request ran, its answer was lost, and the caller sends it again.
  Random random(aSeed);
  std::uniform_real_distribution<double> draw(0, 1);
  ClaimTable table(std::chrono::minutes(10));
  TimePoint now{ std::chrono::hours(1) };
  std::size_t doubled = 0;
  constexpr std::size_t kActions = 10000;
  std::uint64_t ask = 0;
  for (std::size_t i = 0; i < kActions; ++i) {
    int runs = 0;
    for (int attempt = 0; attempt < 3; ++attempt) {
      now += Milliseconds(10);
      Claim claim;
      claim.id = ClaimIdOf("a", std::to_string(i));
      claim.ask = ++ask;
      const bool runs_now =
        !aClaims || table.Ask(claim, now).verdict == ClaimVerdict::Granted;
      runs += runs_now ? 1 : 0;
      const bool answer_lost = draw(random) < 0.02;
      if (!answer_lost) {
        if (aClaims && runs_now) {
          table.Finish(claim.id, claim.ask, ClaimState::Done, {});
        }
        break;
      }
    }
    doubled += runs > 1 ? 1 : 0;
  }
  return { { "claims", aClaims },
           { "actions", kActions },
           { "run_twice", doubled } };
}

int
Run(std::size_t aSeeds)
{
  json out;
  for (const char* name :
       { "probe-only", "consecutive-failures", "peer-comparison" }) {
    out["gray"].push_back(MeasureGray(name, aSeeds));
  }
  for (const char* name : { "fixed-latency", "peer-comparison" }) {
    for (std::uint64_t seed = 1; seed <= kMistakeSeeds; ++seed) {
      out["mistakes"].push_back(MeasureMistakes(name, 0.5, seed));
      out["mistakes_at_90"].push_back(
        MeasureMistakes(name, kNinetyPercent, seed));
    }
  }
  for (const char* name : { "consecutive-failures", "peer-comparison" }) {
    out["flapping"].push_back(MeasureFlapping(name, 1));
  }
  out["reads"].push_back(MeasureReads("hedge", false, 1));
  for (const char* name : { "none", "retry", "hedge" }) {
    out["reads"].push_back(MeasureReads(name, true, 1));
  }
  for (const char* name : { "first-come", "fair" }) {
    out["fairness"].push_back(MeasureFairness(name, 0, 1));
    out["fairness"].push_back(MeasureFairness(name, 5, 1));
  }
  for (const char* name : { "static", "holder" }) {
    out["limits"].push_back(MeasureLimits(name, 1));
  }
  for (const char* name : { "fixed-attempts", "budget" }) {
    out["outage"].push_back(MeasureOutage(name));
  }
  out["run_once"].push_back(MeasureRunOnce(false, 1));
  out["run_once"].push_back(MeasureRunOnce(true, 1));
  std::cout << out.dump(2) << "\n";
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  std::size_t seeds = 10;
  po::options_description text("policy-bench: measures the decisions as JSON");
  text.add_options()("help,h", "show this text")(
    "seeds", po::value(&seeds), "runs of each gray failure");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, text), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << text;
      return 0;
    }
    return Run(seeds);
  } catch (const std::exception& error) {
    std::cerr << "policy-bench: " << error.what() << "\n";
    return 1;
  }
}
