/// Stand-in for the endpoints of upstream services, with faults on demand.
#include <arpa/inet.h>
#include <microhttpd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "program.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/time.h"

namespace {

using nlohmann::json;
using sapphirelane::Clock;
using sapphirelane::Error;
using sapphirelane::Milliseconds;
using sapphirelane::TimePoint;

constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr int kShed = 503;

constexpr const char* kRequestHeader = "X-Sapphirelane-Request";

/// What an endpoint does with real work.
enum class Fault
{
  None,
  Stall,    ///< Never answers, but answers probes.
  Fail,     ///< Answers 500.
  Shed,     ///< Answers that it did not run the request.
  Truncate, ///< Closes the connection within the answer.
  Silent,   ///< Connections that stand now get no answer any more.
};

struct Options
{
  std::string address = "127.0.0.1";
  std::uint16_t control = 9300;
  std::uint16_t first_port = 9301;
  std::uint32_t endpoints = 1;
  std::uint32_t slots = 2;
  std::uint32_t queue = 64;
  Milliseconds work{ 25 };
};

class Endpoint;

/// One request in the stand-in.
struct Job
{
  Endpoint* endpoint = nullptr;
  MHD_Connection* connection = nullptr;
  std::string target;
  std::string idempotency;
  std::string request; ///< Id that the daemon gave it.
  std::uint64_t body_hash = 0;
  std::uint64_t body_bytes = 0;
  std::uint64_t run = 0;
  int status = 0;
  bool begun = false;
  bool cut = false; ///< Break off within the answer.
  bool probe = false;
  bool waiting = false;
};

/// One endpoint: a listener, slots, a queue and a fault.
class Endpoint
{
public:
  Endpoint(const Options& aOptions, std::uint16_t aPort)
    : m_options(aOptions)
    , m_port(aPort)
    , m_random(aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    inet_pton(AF_INET, aOptions.address.c_str(), &address.sin_addr);
    m_daemon =
      MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                       aPort,
                       nullptr,
                       nullptr,
                       &Endpoint::OnAccess,
                       this,
                       MHD_OPTION_SOCK_ADDR,
                       &address,
                       MHD_OPTION_NOTIFY_COMPLETED,
                       &Endpoint::OnCompleted,
                       this,
                       MHD_OPTION_NOTIFY_CONNECTION,
                       &Endpoint::OnConnection,
                       this,
                       MHD_OPTION_LISTENING_ADDRESS_REUSE,
                       1U,
                       MHD_OPTION_END);
    if (m_daemon == nullptr) {
      throw Error("cannot listen on port " + std::to_string(aPort));
    }
    m_timer = std::thread([this] { RunTimer(); });
  }

  ~Endpoint()
  {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_stop = true;
    }
    m_wake.notify_all();
    m_timer.join();
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      for (Job* job : m_held) {
        MHD_resume_connection(job->connection);
      }
    }
    MHD_stop_daemon(m_daemon);
  }

  void SetFault(Fault aFault)
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = aFault;
    if (aFault == Fault::Silent) {
      m_silent = m_connections;
      m_fault = Fault::None;
    }
    if (aFault == Fault::None) {
      m_silent.clear();
    }
    m_faultSince = Clock::now();
    m_workSinceFault = 0;
  }

  json Stats()
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    return { { "port", m_port },
             { "runs", m_runs },
             { "answered", m_answered },
             { "in_work", m_inWork },
             { "connections", m_connections.size() },
             { "most_connections", m_mostConnections },
             { "work_since_fault", m_workSinceFault },
             { "sheds", m_sheds },
             { "key_leaks", m_keyLeaks },
             { "without_account", m_withoutAccount },
             { "runs_by_key", m_runsByKey } };
  }

private:
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* /*aMethod*/,
                             const char* /*aVersion*/,
                             const char* aUpload,
                             std::size_t* aSize,
                             void** aJob)
  {
    auto* self = static_cast<Endpoint*>(aSelf);
    auto* job = static_cast<Job*>(*aJob);
    if (job == nullptr) {
      job = new Job;
      job->endpoint = self;
      job->connection = aConnection;
      job->target = aUrl;
      *aJob = job;
      return MHD_YES;
    }
    if (*aSize > 0) {
      job->body_hash =
        sapphirelane::StableHash({ aUpload, *aSize }, job->body_hash);
      job->body_bytes += *aSize;
      *aSize = 0;
      return MHD_YES;
    }
    return self->Step(*job);
  }

  MHD_Result Step(Job& aJob)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!aJob.begun) {
      aJob.begun = true;
      Begin(aJob);
    }
    if (aJob.status == 0) {
      aJob.waiting = true;
      m_held.insert(&aJob);
      MHD_suspend_connection(aJob.connection);
      return MHD_YES;
    }
    lock.unlock();
    return Answer(aJob);
  }

  void Begin(Job& aJob)
  {
    aJob.probe = aJob.target == "/probe";
    if (aJob.probe) {
      aJob.status = kOk;
      return;
    }
    ReadHeaders(aJob);
    ++m_workSinceFault;
    if (m_fault == Fault::Shed || m_queue.size() >= m_options.queue) {
      ++m_sheds;
      aJob.status = kShed;
      return;
    }
    const bool silent = m_silent.count(aJob.connection) == 1;
    if (m_fault == Fault::Stall || silent) {
      return;
    }
    m_queue.push_back(&aJob);
    FillSlots();
  }

  static MHD_Result CheckHeader(void* aSelf,
                                MHD_ValueKind /*aKind*/,
                                const char* aName,
                                const char* aValue)
  {
    const std::string value = aValue == nullptr ? "" : aValue;
    auto* self = static_cast<Endpoint*>(aSelf);
    const bool leak = absl::StrContains(value, "slk_") ||
                      absl::EqualsIgnoreCase(aName, "authorization") ||
                      absl::EqualsIgnoreCase(aName, "x-api-key");
    self->m_keyLeaks += leak ? 1 : 0;
    return MHD_YES;
  }

  void ReadHeaders(Job& aJob)
  {
    for (MHD_ValueKind kind :
         { MHD_HEADER_KIND, MHD_GET_ARGUMENT_KIND, MHD_FOOTER_KIND }) {
      MHD_get_connection_values(
        aJob.connection, kind, &Endpoint::CheckHeader, this);
    }
    const char* key = MHD_lookup_connection_value(
      aJob.connection, MHD_HEADER_KIND, "Idempotency-Key");
    aJob.idempotency = key == nullptr ? "" : key;
    const char* request = MHD_lookup_connection_value(
      aJob.connection, MHD_HEADER_KIND, kRequestHeader);
    aJob.request = request == nullptr ? "" : request;
    if (MHD_lookup_connection_value(aJob.connection,
                                    MHD_HEADER_KIND,
                                    "X-Sapphirelane-Account") == nullptr) {
      ++m_withoutAccount;
    }
  }

  void FillSlots()
  {
    while (m_inWork < m_options.slots && !m_queue.empty()) {
      Job* job = m_queue.front();
      m_queue.pop_front();
      ++m_inWork;
      job->run = ++m_runs;
      if (!job->idempotency.empty()) {
        ++m_runsByKey[job->idempotency];
      }
      std::exponential_distribution<double> extra(2.0);
      const double factor = 0.5 + extra(m_random);
      const auto work = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double, std::milli>(
          static_cast<double>(m_options.work.count()) * factor));
      m_due.emplace(Clock::now() + work, job);
    }
    m_wake.notify_all();
  }

  void RunTimer()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stop) {
      if (m_due.empty()) {
        m_wake.wait_for(lock, Milliseconds(100));
        continue;
      }
      const TimePoint next = m_due.begin()->first;
      if (Clock::now() < next) {
        m_wake.wait_until(lock, next);
        continue;
      }
      Job* job = m_due.begin()->second;
      m_due.erase(m_due.begin());
      --m_inWork;
      EndWork(*job);
      FillSlots();
    }
  }

  void EndWork(Job& aJob)
  {
    if (m_fault == Fault::Stall) {
      return;
    }
    ++m_answered;
    aJob.status = m_fault == Fault::Fail ? kFailed : kOk;
    aJob.cut = m_fault == Fault::Truncate;
    if (aJob.waiting) {
      aJob.waiting = false;
      m_held.erase(&aJob);
      MHD_resume_connection(aJob.connection);
    }
  }

  /// Source of an answer's body.
  struct Body
  {
    std::string text;
    bool cut = false;
  };

  static ssize_t OnRead(void* aBody,
                        std::uint64_t aPosition,
                        char* aBytes,
                        std::size_t aMost)
  {
    auto* body = static_cast<Body*>(aBody);
    const std::size_t size = body->text.size();
    const std::size_t end = body->cut ? size / 2 : size;
    if (aPosition >= end) {
      return body->cut ? MHD_CONTENT_READER_END_WITH_ERROR
                       : MHD_CONTENT_READER_END_OF_STREAM;
    }
    const std::size_t part =
      std::min<std::size_t>(aMost, end - static_cast<std::size_t>(aPosition));
    std::copy_n(body->text.data() + aPosition, part, aBytes);
    return static_cast<ssize_t>(part);
  }

  static void FreeBody(void* aBody) { delete static_cast<Body*>(aBody); }

  static std::string TextOf(const Job& aJob)
  {
    const std::vector<std::string> parts = absl::StrSplit(aJob.target, '/');
    std::uint64_t size = 0;
    const bool download =
      parts.size() >= 2 && parts[parts.size() - 2] == "bytes" &&
      absl::SimpleAtoi(parts.back(), &size) && size <= (256U << 20U);
    if (download) {
      return std::string(size, 'v');
    }
    const json text = { { "target", aJob.target },
                        { "run", aJob.run },
                        { "bytes", aJob.body_bytes },
                        { "idempotency", aJob.idempotency } };
    return text.dump() + "\n";
  }

  MHD_Result Answer(const Job& aJob)
  {
    auto* body = new Body{ TextOf(aJob), aJob.cut };
    MHD_Response* response = MHD_create_response_from_callback(
      body->text.size(), 4096, &Endpoint::OnRead, body, &Endpoint::FreeBody);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, kRequestHeader, aJob.request.c_str());
    if (aJob.status == kShed) {
      MHD_add_response_header(response, "X-Sapphirelane-Shed", "not-run");
    }
    std::string load;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      load = std::to_string(m_inWork + m_queue.size()) + "/" +
             std::to_string(m_options.slots);
    }
    MHD_add_response_header(response, "X-Sapphirelane-Load", load.c_str());
    const MHD_Result queued = MHD_queue_response(
      aJob.connection, static_cast<unsigned int>(aJob.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void** /*aContext*/,
                           MHD_ConnectionNotificationCode aCode)
  {
    auto* self = static_cast<Endpoint*>(aSelf);
    std::lock_guard<std::mutex> lock(self->m_mutex);
    if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
      self->m_connections.insert(aConnection);
      self->m_mostConnections =
        std::max(self->m_mostConnections, self->m_connections.size());
    } else {
      self->m_connections.erase(aConnection);
      self->m_silent.erase(aConnection);
    }
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* /*aConnection*/,
                          void** aJob,
                          MHD_RequestTerminationCode /*aCode*/)
  {
    auto* self = static_cast<Endpoint*>(aSelf);
    auto* job = static_cast<Job*>(*aJob);
    if (job == nullptr) {
      return;
    }
    std::lock_guard<std::mutex> lock(self->m_mutex);
    self->m_held.erase(job);
    delete job;
    *aJob = nullptr;
  }

  const Options m_options;
  std::uint16_t m_port;
  std::mt19937_64 m_random;
  MHD_Daemon* m_daemon = nullptr;
  std::thread m_timer;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  Fault m_fault = Fault::None;
  TimePoint m_faultSince{};
  std::uint64_t m_workSinceFault = 0;
  std::deque<Job*> m_queue;
  std::multimap<TimePoint, Job*> m_due;
  std::set<Job*> m_held;
  std::set<MHD_Connection*> m_connections;
  std::set<MHD_Connection*> m_silent;
  std::size_t m_mostConnections = 0;
  std::uint32_t m_inWork = 0;
  std::uint64_t m_runs = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_sheds = 0;
  std::uint64_t m_keyLeaks = 0;
  std::uint64_t m_withoutAccount = 0;
  std::map<std::string, std::uint64_t> m_runsByKey;
};

/// Control port: GET /stats, POST /fault?endpoint=PORT&kind=KIND.
class Control
{
public:
  Control(const Options& aOptions,
          std::map<std::uint16_t, std::unique_ptr<Endpoint>>& aEndpoints)
    : m_endpoints(aEndpoints)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aOptions.control);
    inet_pton(AF_INET, aOptions.address.c_str(), &address.sin_addr);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD,
                                aOptions.control,
                                nullptr,
                                nullptr,
                                &Control::OnAccess,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                1U,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
      throw Error("cannot listen on the control port");
    }
  }

  ~Control() { MHD_stop_daemon(m_daemon); }

private:
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* /*aMethod*/,
                             const char* /*aVersion*/,
                             const char* /*aUpload*/,
                             std::size_t* /*aSize*/,
                             void** /*aContext*/)
  {
    auto* self = static_cast<Control*>(aSelf);
    std::string text;
    int status = kOk;
    if (std::string(aUrl) == "/stats") {
      json all = json::array();
      for (auto& entry : self->m_endpoints) {
        all.push_back(entry.second->Stats());
      }
      text = all.dump() + "\n";
    } else if (!self->SetFault(aConnection)) {
      status = 400;
      text = "expected /stats or /fault?endpoint=PORT&kind=KIND\n";
    }
    MHD_Response* response = MHD_create_response_from_buffer(
      text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result queued = MHD_queue_response(
      aConnection, static_cast<unsigned int>(status), response);
    MHD_destroy_response(response);
    return queued;
  }

  bool SetFault(MHD_Connection* aConnection)
  {
    static const std::map<std::string, Fault> kFaults = {
      { "none", Fault::None },         { "stall", Fault::Stall },
      { "fail", Fault::Fail },         { "shed", Fault::Shed },
      { "truncate", Fault::Truncate }, { "silent", Fault::Silent }
    };
    const char* port = MHD_lookup_connection_value(
      aConnection, MHD_GET_ARGUMENT_KIND, "endpoint");
    const char* kind =
      MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, "kind");
    if (port == nullptr || kind == nullptr || kFaults.count(kind) == 0) {
      return false;
    }
    auto found = m_endpoints.find(static_cast<std::uint16_t>(std::atoi(port)));
    if (found == m_endpoints.end()) {
      return false;
    }
    found->second->SetFault(kFaults.at(kind));
    return true;
  }

  std::map<std::uint16_t, std::unique_ptr<Endpoint>>& m_endpoints;
  MHD_Daemon* m_daemon = nullptr;
};

int
Serve(const Options& aOptions)
{
  const standins::StopSignals stop;
  std::map<std::uint16_t, std::unique_ptr<Endpoint>> endpoints;
  for (std::uint32_t i = 0; i < aOptions.endpoints; ++i) {
    const auto port = static_cast<std::uint16_t>(aOptions.first_port + i);
    endpoints[port] = std::make_unique<Endpoint>(aOptions, port);
  }
  Control control(aOptions, endpoints);
  stop.Await();
  return standins::kExitOk;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  return standins::RunProgram(
    aCount,
    aArguments,
    "standin-upstream",
    [&](sapphirelane::YamlReader& aReader) {
      constexpr std::uint64_t kMost = 100000;
      aReader.Read("control", options.control, 1, UINT16_MAX);
      aReader.Read("first_port", options.first_port, 1, UINT16_MAX);
      aReader.Read("endpoints", options.endpoints, 1, kMost);
      aReader.Read("slots", options.slots, 1, kMost);
      aReader.Read("queue", options.queue, 0, kMost);
      aReader.Read(
        "work_ms", options.work, Milliseconds(0), Milliseconds(60000));
    },
    [&] { return Serve(options); });
}
