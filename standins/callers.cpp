/// Stand-in for callers: open-loop load on several hosts, and the checks of
/// every promise that a caller can see. The plan is a YAML file:
///
///   entries: [127.0.0.1:18101, 127.0.0.1:18102]
///   seconds: 20
///   seed: 1
///   upstream_stats: [127.0.0.1:19300]   # optional, control ports
///   repeat_share: 0.1                   # run-once requests sent twice
///   accounts:
///     - { id: a, key: slk_..., rate: 60, burst: 60, reads: 30, approvals: 5,
///         uploads: 1, valid_until: 8.0 }
///
/// reads, approvals and uploads are requests a second. Exits 1 if a promise
/// was broken.
#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/time.h"
#include "sapphirelane/config/yaml_reader.h"

namespace {

namespace po = boost::program_options;
using nlohmann::json;
using sapphirelane::Clock;
using sapphirelane::Duration;
using sapphirelane::Milliseconds;
using sapphirelane::TimePoint;
using sapphirelane::ToSeconds;
using sapphirelane::YamlReader;

constexpr std::size_t kUploadBytes = 65536;
constexpr std::size_t kDownloadBytes = 20000;
constexpr long kTimeoutMs = 12000;
constexpr int kOk = 200;

/// A host that takes no connection is not tried for this long.
constexpr double kDownSeconds = 1;

/// A withdrawn key may be served for this long after its withdrawal.
constexpr double kWithdrawSeconds = 3;

enum class Kind
{
  Read,
  Download,
  Approve,
  Upload,
};

const char*
KindName(Kind aKind)
{
  switch (aKind) {
    case Kind::Read:
      return "read";
    case Kind::Download:
      return "download";
    case Kind::Approve:
      return "approve";
    case Kind::Upload:
      break;
  }
  return "upload";
}

struct AccountPlan
{
  std::string id;
  std::string key;
  double rate = 1;
  double burst = 1;
  double reads = 0;
  double approvals = 0;
  double uploads = 0;
  double valid_until = 1e9; ///< Seconds from the start.
};

struct Plan
{
  std::vector<std::string> entries;
  std::vector<std::string> upstream_stats;
  double seconds = 10;
  std::uint64_t seed = 1;
  double repeat_share = 0;
  std::vector<AccountPlan> accounts;
};

Plan
LoadPlan(const std::string& aFile)
{
  YamlReader reader = YamlReader::OpenFile(aFile);
  Plan plan;
  plan.entries = reader.TextList("entries");
  plan.upstream_stats = reader.TextList("upstream_stats");
  reader.Read("seconds", plan.seconds, 0.1, 3600.0);
  reader.Read("seed", plan.seed, 0, UINT64_MAX);
  reader.Read("repeat_share", plan.repeat_share, 0.0, 1.0);
  for (YamlReader& one : reader.MapList("accounts")) {
    AccountPlan account;
    account.id = one.Required("id");
    account.key = one.Required("key");
    one.Read("rate", account.rate, 0.0, 1e6);
    one.Read("burst", account.burst, 0.0, 1e6);
    one.Read("reads", account.reads, 0.0, 1e6);
    one.Read("approvals", account.approvals, 0.0, 1e6);
    one.Read("uploads", account.uploads, 0.0, 1e6);
    one.Read("valid_until", account.valid_until, 0.0, 1e9);
    one.Finish();
    plan.accounts.push_back(account);
  }
  reader.Finish();
  if (plan.entries.empty() || plan.accounts.empty()) {
    throw sapphirelane::ConfigError(aFile +
                                    ": entries and accounts must not be empty");
  }
  return plan;
}

/// One request that is to be sent at a moment.
struct Arrival
{
  double at = 0; ///< Seconds from the start.
  std::size_t account = 0;
  Kind kind = Kind::Read;
  std::uint64_t number = 0;
  std::string idempotency;

  bool operator<(const Arrival& aOther) const { return at > aOther.at; }
};

/// One request and what became of it.
struct Sample
{
  Arrival arrival;
  std::string target;
  std::string entry;
  double sent = 0;
  double done = 0;
  int status = 0; ///< 0: no whole answer.
  std::string outcome;
  std::string reason;
  std::string error;
  std::string body;
  std::string load;
  std::size_t uploaded = 0;
  std::size_t connects = 0; ///< Hosts that took no connection.
  curl_slist* headers = nullptr;
};

class Load
{
public:
  explicit Load(const Plan& aPlan)
    : m_plan(aPlan)
    , m_random(aPlan.seed)
    , m_multi(curl_multi_init())
  {
    for (std::size_t i = 0; i < m_plan.accounts.size(); ++i) {
      Schedule(i, Kind::Read, 0);
      Schedule(i, Kind::Approve, 0);
      Schedule(i, Kind::Upload, 0);
    }
  }

  ~Load() { curl_multi_cleanup(m_multi); }

  std::vector<std::unique_ptr<Sample>> Run()
  {
    m_start = Clock::now();
    while (!m_arrivals.empty() || m_running > 0) {
      const double now = Now();
      while (!m_arrivals.empty() && m_arrivals.top().at <= now) {
        const Arrival arrival = m_arrivals.top();
        m_arrivals.pop();
        Begin(arrival);
        if (arrival.idempotency.empty() || arrival.number != 0) {
          Schedule(arrival.account, arrival.kind, arrival.at);
        }
      }
      int running = 0;
      curl_multi_perform(m_multi, &running);
      Reap();
      const double next = m_arrivals.empty() ? 0.05 : m_arrivals.top().at;
      const double wait = std::clamp(next - Now(), 0.0, 0.02);
      curl_multi_poll(
        m_multi, nullptr, 0, static_cast<int>(wait * 1000) + 1, nullptr);
    }
    return std::move(m_samples);
  }

private:
  double Now() const { return ToSeconds(Clock::now() - m_start); }

  /// Schedules the next request of a kind, at exponential distances.
  void Schedule(std::size_t aAccount, Kind aKind, double aAfter)
  {
    const AccountPlan& account = m_plan.accounts[aAccount];
    const Kind kind = aKind == Kind::Download ? Kind::Read : aKind;
    const double rate = kind == Kind::Read      ? account.reads
                        : kind == Kind::Approve ? account.approvals
                                                : account.uploads;
    if (rate <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(rate);
    Arrival arrival;
    arrival.at = aAfter + gap(m_random);
    arrival.account = aAccount;
    arrival.number = ++m_lastNumber;
    arrival.kind = kind;
    if (kind == Kind::Read && arrival.number % 20 == 0) {
      arrival.kind = Kind::Download;
    }
    if (arrival.at > m_plan.seconds) {
      return;
    }
    if (kind == Kind::Approve || kind == Kind::Upload) {
      arrival.idempotency = account.id + "-" + std::to_string(m_plan.seed) +
                            "-" + std::to_string(arrival.number);
    }
    m_arrivals.push(arrival);
    std::uniform_real_distribution<double> draw(0, 1);
    if (kind == Kind::Approve && draw(m_random) < m_plan.repeat_share) {
      Arrival again = arrival;
      again.at += draw(m_random) * 0.05;
      again.number = 0; // Leads to no further arrival.
      m_arrivals.push(again);
    }
  }

  void Begin(const Arrival& aArrival)
  {
    auto sample = std::make_unique<Sample>();
    sample->arrival = aArrival;
    sample->entry = DrawEntry();
    const std::string token = aArrival.idempotency.empty()
                                ? std::to_string(aArrival.number)
                                : aArrival.idempotency;
    switch (aArrival.kind) {
      case Kind::Read:
        sample->target = "/scripts/" + token;
        break;
      case Kind::Download:
        sample->target =
          "/scripts/bytes/" + std::to_string(kDownloadBytes + aArrival.number);
        break;
      case Kind::Approve:
        sample->target = "/approvals/" + token;
        break;
      case Kind::Upload:
        sample->target = "/voice/" + token;
        break;
    }
    sample->sent = Now();
    Launch(*sample);
    m_samples.push_back(std::move(sample));
  }

  void SetOptions(CURL* aEasy, Sample& aSample)
  {
    const std::string url = "http://" + aSample.entry + aSample.target;
    curl_easy_setopt(aEasy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
    curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, kTimeoutMs);
    curl_easy_setopt(aEasy, CURLOPT_PRIVATE, &aSample);
    curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, &Load::OnBody);
    curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aSample);
    curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, &Load::OnHeader);
    curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aSample);
    const AccountPlan& account = m_plan.accounts[aSample.arrival.account];
    Add(aSample, "Authorization: Bearer " + account.key);
    Add(aSample, "Expect:");
    if (!aSample.arrival.idempotency.empty()) {
      Add(aSample, "Idempotency-Key: " + aSample.arrival.idempotency);
    }
    if (aSample.arrival.kind == Kind::Approve) {
      curl_easy_setopt(aEasy, CURLOPT_COPYPOSTFIELDS, "{\"approve\":true}");
    }
    if (aSample.arrival.kind == Kind::Upload) {
      curl_easy_setopt(aEasy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt(aEasy, CURLOPT_READFUNCTION, &Load::OnRead);
      curl_easy_setopt(aEasy, CURLOPT_READDATA, &aSample);
      curl_easy_setopt(
        aEasy, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(kUploadBytes));
    }
    curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, aSample.headers);
  }

  static void Add(Sample& aSample, const std::string& aLine)
  {
    aSample.headers = curl_slist_append(aSample.headers, aLine.c_str());
  }

  static std::size_t OnBody(char* aBytes,
                            std::size_t aOne,
                            std::size_t aSize,
                            void* aSample)
  {
    static_cast<Sample*>(aSample)->body.append(aBytes, aOne * aSize);
    return aOne * aSize;
  }

  static std::size_t OnRead(char* aBytes,
                            std::size_t aOne,
                            std::size_t aMost,
                            void* aSample)
  {
    auto* sample = static_cast<Sample*>(aSample);
    const std::size_t left = kUploadBytes - sample->uploaded;
    const std::size_t size = std::min(left, aOne * aMost);
    std::fill_n(aBytes, size, 'u');
    sample->uploaded += size;
    return size;
  }

  static std::size_t OnHeader(char* aBytes,
                              std::size_t aOne,
                              std::size_t aSize,
                              void* aSample)
  {
    const std::string line(aBytes, aOne * aSize);
    const std::string name = "X-Sapphirelane-Outcome: ";
    if (line.compare(0, name.size(), name) == 0) {
      const std::string rest = line.substr(name.size());
      static_cast<Sample*>(aSample)->outcome =
        rest.substr(0, rest.find_first_of("\r\n"));
    }
    return aOne * aSize;
  }

  void Reap()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      Sample* sample = nullptr;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &sample);
      sample->done = Now();
      if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        sample->status = static_cast<int>(status);
      } else {
        sample->error = curl_easy_strerror(code);
      }
      if (!sample->outcome.empty()) {
        const json body = json::parse(sample->body, nullptr, false);
        sample->reason =
          body.is_object() ? body.value("reason", "") : std::string();
      }
      curl_multi_remove_handle(m_multi, easy);
      curl_easy_cleanup(easy);
      curl_slist_free_all(sample->headers);
      sample->headers = nullptr;
      --m_running;
      if (code == CURLE_COULDNT_CONNECT) {
        SendElsewhere(*sample);
      }
    }
  }

  /// Does what a balancer does with a host that takes no connection.
  void SendElsewhere(Sample& aSample)
  {
    m_down[aSample.entry] = Now() + kDownSeconds;
    if (++aSample.connects > m_plan.entries.size()) {
      return;
    }
    aSample.entry = DrawEntry();
    aSample.error.clear();
    Launch(aSample);
  }

  std::string DrawEntry()
  {
    std::vector<std::string> up;
    for (const std::string& entry : m_plan.entries) {
      auto down = m_down.find(entry);
      if (down == m_down.end() || down->second <= Now()) {
        up.push_back(entry);
      }
    }
    const auto& choice = up.empty() ? m_plan.entries : up;
    std::uniform_int_distribution<std::size_t> draw(0, choice.size() - 1);
    return choice[draw(m_random)];
  }

  void Launch(Sample& aSample)
  {
    CURL* easy = curl_easy_init();
    SetOptions(easy, aSample);
    curl_multi_add_handle(m_multi, easy);
    ++m_running;
  }

  const Plan& m_plan;
  std::mt19937_64 m_random;
  CURLM* m_multi;
  TimePoint m_start{};
  std::priority_queue<Arrival> m_arrivals;
  std::uint64_t m_lastNumber = 0;
  std::size_t m_running = 0;
  std::map<std::string, double> m_down; ///< Until when a host is not tried.
  std::vector<std::unique_ptr<Sample>> m_samples;
};

using Samples = std::vector<std::unique_ptr<Sample>>;

/// One promise with the evidence for or against it.
struct Verdict
{
  std::string promise;
  bool held = true;
  std::string evidence;
};

/// Tells whether an answer is the whole answer to its own request.
bool
IsOwnAnswer(const Sample& aSample)
{
  if (aSample.arrival.kind == Kind::Download) {
    const std::size_t expected = kDownloadBytes + aSample.arrival.number;
    return aSample.body == std::string(expected, 'v');
  }
  const json body = json::parse(aSample.body, nullptr, false);
  if (!body.is_object() || body.value("target", "") != aSample.target) {
    return false;
  }
  return aSample.arrival.kind != Kind::Upload ||
         body.value("bytes", 0U) == kUploadBytes;
}

std::size_t
StringSink(char* aBytes, std::size_t aOne, std::size_t aSize, void* aText)
{
  static_cast<std::string*>(aText)->append(aBytes, aOne * aSize);
  return aOne * aSize;
}

json
FetchStats(const std::string& aAddress)
{
  CURL* easy = curl_easy_init();
  std::string text;
  curl_easy_setopt(
    easy, CURLOPT_URL, ("http://" + aAddress + "/stats").c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &StringSink);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &text);
  curl_easy_perform(easy);
  curl_easy_cleanup(easy);
  return json::parse(text, nullptr, false);
}

class Checker
{
public:
  Checker(const Plan& aPlan, const Samples& aSamples)
    : m_plan(aPlan)
    , m_samples(aSamples)
  {
    for (const std::string& address : m_plan.upstream_stats) {
      for (const json& endpoint : FetchStats(address)) {
        m_keyLeaks += endpoint["key_leaks"].get<std::uint64_t>();
        for (const auto& [key, runs] : endpoint["runs_by_key"].items()) {
          m_runs[key] += runs.get<std::uint64_t>();
        }
      }
    }
  }

  std::vector<Verdict> Check()
  {
    return { CheckWhole(), CheckRate(),   CheckKeys(),
             CheckLeaks(), CheckNotRun(), CheckOnce() };
  }

private:
  Verdict CheckWhole() const
  {
    std::size_t wrong = 0;
    std::size_t right = 0;
    for (const auto& sample : m_samples) {
      if (sample->status == kOk) {
        ++(IsOwnAnswer(*sample) ? right : wrong);
      }
    }
    return { "every caller receives the whole answer to its own request",
             wrong == 0,
             std::to_string(right) + " right, " + std::to_string(wrong) +
               " wrong" };
  }

  /// Counts the requests that lie wholly within each window.
  Verdict CheckRate() const
  {
    double worst = -1e9;
    std::string where;
    for (std::size_t i = 0; i < m_plan.accounts.size(); ++i) {
      const AccountPlan& account = m_plan.accounts[i];
      std::vector<std::pair<double, double>> served;
      for (const auto& sample : m_samples) {
        if (sample->arrival.account == i && sample->status == kOk &&
            sample->arrival.number != 0) {
          served.emplace_back(sample->sent, sample->done);
        }
      }
      std::sort(served.begin(), served.end());
      for (std::size_t first = 0; first < served.size(); ++first) {
        std::vector<double> ends;
        for (std::size_t j = first; j < served.size(); ++j) {
          ends.push_back(served[j].second);
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t count = 0; count < ends.size(); ++count) {
          const double length = ends[count] - served[first].first;
          const double over = static_cast<double>(count + 1) - account.burst -
                              account.rate * length;
          if (over > worst) {
            worst = over;
            where = account.id;
          }
        }
      }
    }
    std::ostringstream text;
    text << "closest window " << std::fixed << std::setprecision(1) << worst
         << " requests over the bound (" << where << ")";
    return { "no client account receives more than its rate and burst",
             worst <= 0,
             text.str() };
  }

  Verdict CheckKeys() const
  {
    std::size_t late = 0;
    for (const auto& sample : m_samples) {
      const AccountPlan& account = m_plan.accounts[sample->arrival.account];
      const double last = account.valid_until + kWithdrawSeconds;
      late += sample->status == kOk && sample->sent > last ? 1 : 0;
    }
    return { "a withdrawn key stops working within 3 s",
             late == 0,
             std::to_string(late) + " requests served after that" };
  }

  Verdict CheckLeaks() const
  {
    return { "no upstream ever sees a key",
             m_keyLeaks == 0,
             std::to_string(m_keyLeaks) + " headers or arguments with a key" };
  }

  /// A key whose every answer said "not run" must not have run.
  Verdict CheckNotRun() const
  {
    std::map<std::string, bool> onlyNotRun;
    std::size_t refusals = 0;
    for (const auto& sample : m_samples) {
      const std::string& key = sample->arrival.idempotency;
      const bool notRun = sample->outcome == "not-run";
      refusals += notRun ? 1 : 0;
      if (!key.empty()) {
        auto [found, isNew] = onlyNotRun.emplace(key, notRun);
        found->second = found->second && notRun;
      }
    }
    std::size_t lies = 0;
    for (const auto& entry : onlyNotRun) {
      lies += entry.second && Runs(entry.first) > 0 ? 1 : 0;
    }
    return { "every refusal that says \"not run\" is true",
             lies == 0,
             std::to_string(refusals) + " such refusals, " +
               std::to_string(lies) + " untrue" };
  }

  Verdict CheckOnce() const
  {
    std::set<std::string> keys;
    std::size_t doubled = 0;
    std::size_t missing = 0;
    for (const auto& sample : m_samples) {
      if (sample->arrival.kind != Kind::Approve) {
        continue;
      }
      const std::string& key = sample->arrival.idempotency;
      keys.insert(key);
      missing += sample->status == kOk && Runs(key) == 0 &&
                     !m_plan.upstream_stats.empty()
                   ? 1
                   : 0;
    }
    for (const std::string& key : keys) {
      doubled += Runs(key) > 1 ? 1 : 0;
    }
    return { "a run-once request runs at most once",
             doubled == 0 && missing == 0,
             std::to_string(keys.size()) + " keys, " + std::to_string(doubled) +
               " ran twice, " + std::to_string(missing) +
               " answered without a run" };
  }

  std::uint64_t Runs(const std::string& aKey) const
  {
    auto found = m_runs.find(aKey);
    return found == m_runs.end() ? 0 : found->second;
  }

  const Plan& m_plan;
  const Samples& m_samples;
  std::uint64_t m_keyLeaks = 0;
  std::map<std::string, std::uint64_t> m_runs;
};

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  return aValues[std::max<std::size_t>(1, index) - 1];
}

/// Counts refusals for rate that came although the account was within it.
///
/// A request is within rate if a bucket of the account's rate and burst that
/// every request sent so far was taken from still holds a token.
std::vector<bool>
WithinRate(const AccountPlan& aAccount,
           const std::vector<const Sample*>& aBySent)
{
  std::vector<bool> within;
  double level = aAccount.burst;
  double last = 0;
  for (const Sample* sample : aBySent) {
    level =
      std::min(aAccount.burst, level + (sample->sent - last) * aAccount.rate);
    last = sample->sent;
    within.push_back(level >= 1);
    if (level >= 1) {
      level -= 1;
    }
  }
  return within;
}

json
Summarize(const Plan& aPlan, const Samples& aSamples)
{
  json accounts = json::array();
  for (std::size_t i = 0; i < aPlan.accounts.size(); ++i) {
    const AccountPlan& account = aPlan.accounts[i];
    std::vector<const Sample*> own;
    for (const auto& sample : aSamples) {
      if (sample->arrival.account == i) {
        own.push_back(sample.get());
      }
    }
    std::sort(
      own.begin(), own.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->sent < aRight->sent;
      });
    const auto within = WithinRate(account, own);
    std::size_t answered = 0;
    std::size_t refusedWithin = 0;
    std::size_t unknown = 0;
    std::size_t broken = 0;
    std::map<std::string, std::size_t> reasons;
    std::vector<double> times;
    for (std::size_t j = 0; j < own.size(); ++j) {
      const Sample& sample = *own[j];
      if (sample.status == kOk) {
        ++answered;
        times.push_back((sample.done - sample.sent) * 1000);
        continue;
      }
      const bool valid = sample.sent < account.valid_until;
      refusedWithin +=
        sample.outcome == "not-run" && within[j] && valid ? 1 : 0;
      unknown += sample.outcome == "unknown" ? 1 : 0;
      broken += sample.status == 0 ? 1 : 0;
      ++reasons[sample.reason.empty()
                  ? (sample.error.empty() ? std::to_string(sample.status)
                                          : sample.error)
                  : sample.reason];
    }
    accounts.push_back({ { "id", account.id },
                         { "sent", own.size() },
                         { "answered", answered },
                         { "refused_within_rate", refusedWithin },
                         { "unknown", unknown },
                         { "no_answer", broken },
                         { "reasons", reasons },
                         { "p50_ms", Percentile(times, 0.5) },
                         { "p99_ms", Percentile(times, 0.99) } });
  }
  return accounts;
}

void
WriteSamples(const std::string& aFile,
             const Plan& aPlan,
             const Samples& aSamples)
{
  std::ofstream stream(aFile);
  stream << "account,kind,entry,sent,done,status,outcome,reason,key\n";
  for (const auto& sample : aSamples) {
    stream << aPlan.accounts[sample->arrival.account].id << ","
           << KindName(sample->arrival.kind) << "," << sample->entry << ","
           << sample->sent << "," << sample->done << "," << sample->status
           << "," << sample->outcome << "," << sample->reason << ","
           << sample->arrival.idempotency << "\n";
  }
}

void
PrintReport(const json& aAccounts, const std::vector<Verdict>& aVerdicts)
{
  std::cout << std::left << std::setw(12) << "account" << std::right
            << std::setw(8) << "sent" << std::setw(10) << "answered"
            << std::setw(14) << "refused<=rate" << std::setw(9) << "unknown"
            << std::setw(9) << "no-ans" << std::setw(9) << "p50 ms"
            << std::setw(9) << "p99 ms"
            << "  refusals\n";
  for (const json& one : aAccounts) {
    std::cout << std::left << std::setw(12) << one["id"].get<std::string>()
              << std::right << std::setw(8) << one["sent"].get<int>()
              << std::setw(10) << one["answered"].get<int>() << std::setw(14)
              << one["refused_within_rate"].get<int>() << std::setw(9)
              << one["unknown"].get<int>() << std::setw(9)
              << one["no_answer"].get<int>() << std::fixed
              << std::setprecision(1) << std::setw(9)
              << one["p50_ms"].get<double>() << std::setw(9)
              << one["p99_ms"].get<double>() << "  " << one["reasons"].dump()
              << "\n";
  }
  std::cout << "\n";
  for (const Verdict& verdict : aVerdicts) {
    std::cout << (verdict.held ? "held    " : "BROKEN  ") << verdict.promise
              << ": " << verdict.evidence << "\n";
  }
}

int
Run(int aCount, char** aArguments)
{
  po::options_description text("standin-callers: load and checks");
  text.add_options()("help,h", "show this text")("version", "show the version")(
    "plan", po::value<std::string>(), "plan (YAML)")("check",
                                                     "check the plan and stop")(
    "out", po::value<std::string>(), "write the results here (JSON)")(
    "samples", po::value<std::string>(), "write every request here (CSV)");
  po::variables_map values;
  po::store(po::parse_command_line(aCount, aArguments, text), values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << text;
    return 0;
  }
  if (values.count("version") != 0) {
    std::cout << "standin-callers " << SAPPHIRELANE_VERSION << "\n";
    return 0;
  }
  if (values.count("plan") == 0) {
    std::cerr << "standin-callers: --plan is missing\n";
    return 2;
  }
  const Plan plan = LoadPlan(values["plan"].as<std::string>());
  if (values.count("check") != 0) {
    return 0;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const Samples samples = Load(plan).Run();
  const json accounts = Summarize(plan, samples);
  const std::vector<Verdict> verdicts = Checker(plan, samples).Check();
  PrintReport(accounts, verdicts);
  json promises = json::array();
  bool held = true;
  for (const Verdict& verdict : verdicts) {
    held = held && verdict.held;
    promises.push_back({ { "promise", verdict.promise },
                         { "held", verdict.held },
                         { "evidence", verdict.evidence } });
  }
  if (values.count("out") != 0) {
    std::ofstream stream(values["out"].as<std::string>());
    stream << json{ { "accounts", accounts }, { "promises", promises } }.dump(2)
           << "\n";
  }
  if (values.count("samples") != 0) {
    WriteSamples(values["samples"].as<std::string>(), plan, samples);
  }
  return held ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "standin-callers: " << error.what() << "\n";
    return 1;
  }
}
