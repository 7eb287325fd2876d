/// Stand-in for the platform: table service, object store and host list.
///
/// PUT /control sets faults: {"outage": bool, "delay_ms": n,
/// "lose_answers": share of writes whose answer is lost after their effect,
/// "host_lag_ms": n}.
#include <arpa/inet.h>
#include <microhttpd.h>

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "program.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/base/time.h"

namespace {

using nlohmann::json;
using sapphirelane::Clock;
using sapphirelane::Milliseconds;
using sapphirelane::TimePoint;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

struct Reply
{
  int status = kOk;
  std::string body;
};

struct Row
{
  std::uint64_t version = 0;
  std::string value;
};

struct Faults
{
  bool outage = false;
  Milliseconds delay{ 0 };
  double lose_answers = 0;
  Milliseconds host_lag{ 1000 };
};

struct Call
{
  std::string method;
  std::string path;
  std::string condition; ///< if_version.
  std::string body;
};

/// Everything that the platform keeps, in memory.
class Store
{
public:
  Faults CurrentFaults()
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
  }

  Reply Handle(const Call& aCall)
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (aCall.path == "/control") {
      return Control(aCall);
    }
    if (m_faults.outage) {
      return { kUnavailable, "outage\n" };
    }
    ++(aCall.method == "GET" ? m_reads : m_writes);
    const Reply reply = Serve(aCall);
    std::uniform_real_distribution<double> draw(0, 1);
    const bool lost =
      aCall.method == "PUT" && draw(m_random) < m_faults.lose_answers;
    return lost ? Reply{ kUnavailable, "answer lost\n" } : reply;
  }

private:
  Reply Control(const Call& aCall)
  {
    if (aCall.method == "PUT") {
      const json body = json::parse(aCall.body, nullptr, false);
      if (!body.is_object()) {
        return { kBadRequest, "expected an object\n" };
      }
      m_faults.outage = body.value("outage", m_faults.outage);
      m_faults.delay =
        Milliseconds(body.value("delay_ms", m_faults.delay.count()));
      m_faults.lose_answers = body.value("lose_answers", m_faults.lose_answers);
      m_faults.host_lag =
        Milliseconds(body.value("host_lag_ms", m_faults.host_lag.count()));
    }
    const json state = { { "outage", m_faults.outage },
                         { "reads", m_reads },
                         { "writes", m_writes } };
    return { kOk, state.dump() + "\n" };
  }

  Reply Serve(const Call& aCall)
  {
    const auto starts = [&](const std::string& aPrefix) {
      return aCall.path.compare(0, aPrefix.size(), aPrefix) == 0;
    };
    if (starts("/table/")) {
      return ServeTable(aCall);
    }
    if (starts("/objects/")) {
      return ServeObject(aCall);
    }
    if (aCall.path == "/hosts") {
      return ServeHosts(aCall);
    }
    return { kNotFound, "no such service\n" };
  }

  Reply ServeTable(const Call& aCall)
  {
    if (aCall.method == "GET") {
      auto found = m_rows.find(aCall.path);
      if (found == m_rows.end()) {
        return { kNotFound, "no such row\n" };
      }
      const json body = { { "version", found->second.version },
                          { "value", found->second.value } };
      return { kOk, body.dump() };
    }
    Row& row = m_rows[aCall.path];
    if (std::to_string(row.version) != aCall.condition) {
      if (row.version == 0) {
        m_rows.erase(aCall.path);
      }
      return { kConflict, "another version\n" };
    }
    ++row.version;
    row.value = aCall.body;
    return { kOk, "written\n" };
  }

  Reply ServeObject(const Call& aCall)
  {
    if (aCall.method == "PUT") {
      m_objects[aCall.path] = aCall.body;
      return { kOk, "kept\n" };
    }
    auto found = m_objects.find(aCall.path);
    if (found == m_objects.end()) {
      return { kNotFound, "no such object\n" };
    }
    return { kOk, found->second };
  }

  Reply ServeHosts(const Call& aCall)
  {
    const TimePoint now = Clock::now();
    if (aCall.method == "PUT") {
      const json body = json::parse(aCall.body, nullptr, false);
      if (!body.is_object() || !body.contains("id")) {
        return { kBadRequest, "expected a host\n" };
      }
      m_hostChanges.emplace_back(now, body);
      return { kOk, "noted\n" };
    }
    while (!m_hostChanges.empty() &&
           m_hostChanges.front().first + m_faults.host_lag <= now) {
      const json& host = m_hostChanges.front().second;
      m_hosts[host["id"].get<std::string>()] = host;
      m_hostChanges.pop_front();
    }
    json list = json::array();
    for (const auto& entry : m_hosts) {
      list.push_back(entry.second);
    }
    return { kOk, list.dump() };
  }

  std::mutex m_mutex;
  std::mt19937_64 m_random{ 1 };
  Faults m_faults;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::map<std::string, Row> m_rows;
  std::map<std::string, std::string> m_objects;
  std::map<std::string, json> m_hosts;
  std::deque<std::pair<TimePoint, json>> m_hostChanges;
};

MHD_Result
OnAccess(void* aStore,
         MHD_Connection* aConnection,
         const char* aUrl,
         const char* aMethod,
         const char* /*aVersion*/,
         const char* aUpload,
         std::size_t* aSize,
         void** aCall)
{
  auto* call = static_cast<Call*>(*aCall);
  if (call == nullptr) {
    call = new Call{ aMethod, aUrl, "", "" };
    const char* condition = MHD_lookup_connection_value(
      aConnection, MHD_GET_ARGUMENT_KIND, "if_version");
    call->condition = condition == nullptr ? "" : condition;
    *aCall = call;
    return MHD_YES;
  }
  if (*aSize > 0) {
    call->body.append(aUpload, *aSize);
    *aSize = 0;
    return MHD_YES;
  }
  auto* store = static_cast<Store*>(aStore);
  const Faults faults = store->CurrentFaults();
  if (call->path != "/control" && faults.delay > Milliseconds(0)) {
    std::this_thread::sleep_for(faults.delay);
  }
  const Reply reply = store->Handle(*call);
  MHD_Response* response =
    MHD_create_response_from_buffer(reply.body.size(),
                                    const_cast<char*>(reply.body.data()),
                                    MHD_RESPMEM_MUST_COPY);
  const MHD_Result queued = MHD_queue_response(
    aConnection, static_cast<unsigned int>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

void
OnCompleted(void* /*aStore*/,
            MHD_Connection* /*aConnection*/,
            void** aCall,
            MHD_RequestTerminationCode /*aCode*/)
{
  delete static_cast<Call*>(*aCall);
  *aCall = nullptr;
}

int
Serve(std::uint16_t aPort)
{
  const standins::StopSignals stop;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  Store store;
  MHD_Daemon* daemon = MHD_start_daemon(MHD_USE_POLL_INTERNAL_THREAD |
                                          MHD_USE_THREAD_PER_CONNECTION,
                                        aPort,
                                        nullptr,
                                        nullptr,
                                        &OnAccess,
                                        &store,
                                        MHD_OPTION_SOCK_ADDR,
                                        &address,
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &OnCompleted,
                                        nullptr,
                                        MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                        1U,
                                        MHD_OPTION_END);
  if (daemon == nullptr) {
    throw sapphirelane::Error("cannot listen on port " + std::to_string(aPort));
  }
  stop.Await();
  MHD_stop_daemon(daemon);
  return standins::kExitOk;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::uint16_t port = 9200;
  return standins::RunProgram(
    aCount,
    aArguments,
    "standin-platform",
    [&](sapphirelane::YamlReader& aReader) {
      aReader.Read("port", port, 1, UINT16_MAX);
    },
    [&] { return Serve(port); });
}
