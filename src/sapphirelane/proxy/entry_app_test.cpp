#include "sapphirelane/proxy/entry_app.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/dialect.h"
#include "sapphirelane/proxy/loopback.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {
namespace {

bool
IsListening(const std::string& aAddress)
{
  try {
    RawConnection::Connect(aAddress);
    return true;
  } catch (const Error&) {
    return false;
  }
}

/// Answers the second read of the configuration with a new version, and only
/// when the daemon's operator port is closed, which is late in a planned stop.
class LateSource : public FleetSource
{
public:
  explicit LateSource(std::string aOperatorAddress)
    : m_operatorAddress(std::move(aOperatorAddress))
  {
  }

  EndpointBatch ReadEndpoints(StoreVersion aAfter) override
  {
    EndpointBatch batch;
    batch.whole = aAfter.IsNone();
    batch.version = 1;
    return batch;
  }

  ConfigBatch ReadConfig(StoreVersion /*aAfter*/) override
  {
    if (++m_reads > 1) {
      s_secondReadStarted = true;
      while (IsListening(m_operatorAddress)) {
        std::this_thread::sleep_for(Milliseconds(2));
      }
    }
    ConfigBatch batch;
    batch.version = m_reads;
    batch.config = FleetConfig();
    batch.config->version = m_reads;
    return batch;
  }

  std::vector<HostEntry> ReadHosts() override { return {}; }
  void WriteHost(const HostEntry& /*aHost*/) override {}
  void RemoveHost(const std::string& /*aHost*/) override {}

  static std::atomic<bool> s_secondReadStarted;

private:
  std::string m_operatorAddress;
  std::uint64_t m_reads = 0;
};

std::atomic<bool> LateSource::s_secondReadStarted{ false };

const SourceRegistry::Registration kLateSource(
  "late",
  [](const PlatformSettings& aSettings) {
    return std::make_unique<LateSource>(aSettings.address);
  });

std::uint16_t
FreePort()
{
  const std::string address = RawListener().Address();
  return static_cast<std::uint16_t>(
    std::stoi(address.substr(address.rfind(':') + 1)));
}

/// Guards against a crash: the dispatch thread set the limits of a listener
/// that the stop had destroyed.
TEST_CASE("EntryApp, configuration changes late in a planned stop, stops")
{
  SetLogSink([](const std::string&) {});
  StartSecrets();
  EntrySettings settings;
  settings.host = "h";
  settings.data_centre = "c";
  settings.listen.callers = FreePort();
  settings.listen.peers = FreePort();
  settings.listen.operators = FreePort();
  settings.platform.source = "late";
  settings.platform.address =
    "127.0.0.1:" + std::to_string(settings.listen.operators);
  settings.balancer_notice = Milliseconds(0);
  auto app = MakeEntryApp(settings);
  app->Start();
  while (!LateSource::s_secondReadStarted) {
    std::this_thread::sleep_for(Milliseconds(2));
  }
  CHECK(app->StopPlanned());
  app.reset();
  SetLogSink(nullptr);
}

/// Source of a configuration with one open route for repeatable requests and
/// one endpoint, whose address stands in for that of the store.
class OneEndpointSource : public FleetSource
{
public:
  explicit OneEndpointSource(std::string aAddress)
    : m_address(std::move(aAddress))
  {
  }

  EndpointBatch ReadEndpoints(StoreVersion aAfter) override
  {
    EndpointBatch batch;
    batch.whole = aAfter.IsNone();
    batch.version = 1;
    if (batch.whole) {
      Endpoint endpoint;
      endpoint.id = "e";
      endpoint.service = "s";
      endpoint.address = m_address;
      endpoint.slots = 4;
      batch.changes.push_back({ "e", 1, endpoint });
    }
    return batch;
  }

  ConfigBatch ReadConfig(StoreVersion aAfter) override
  {
    ConfigBatch batch;
    batch.version = 1;
    if (aAfter.IsNone()) {
      FleetConfig config;
      config.version = 1;
      config.services["s"] = { "s", 50, 100 };
      Route route;
      route.id = "r";
      route.path = "/";
      route.service = "s";
      route.mode = RouteMode::Safe;
      route.open = true;
      route.attempts = 1;
      config.routes["r"] = route;
      batch.config = config;
    }
    return batch;
  }

  std::vector<HostEntry> ReadHosts() override { return {}; }
  void WriteHost(const HostEntry& /*aHost*/) override {}
  void RemoveHost(const std::string& /*aHost*/) override {}

private:
  std::string m_address;
};

const SourceRegistry::Registration kOneEndpointSource(
  "one-endpoint",
  [](const PlatformSettings& aSettings) {
    return std::make_unique<OneEndpointSource>(aSettings.address);
  });

/// The dialect of a platform whose callers set the request ids.
class CallerIdDialect : public DialectSource
{
public:
  HttpDialect Get() const override
  {
    HttpDialect dialect;
    dialect.request_id = "Request-Id";
    dialect.caller_names_requests = true;
    return dialect;
  }
};

const DialectRegistry::Registration kCallerIdDialect("caller-id", [] {
  return std::make_unique<CallerIdDialect>();
});

/// Endpoint with a thread for each connection.
class ThreadedEndpoint
{
public:
  /// @param aServe Serves one connection until it ends.
  explicit ThreadedEndpoint(std::function<void(RawConnection&)> aServe)
    : m_serve(std::move(aServe))
    , m_acceptor([this] { Accept(); })
  {
  }

  ~ThreadedEndpoint()
  {
    m_stopping = true;
    RawConnection::Connect(m_listener.Address());
    m_acceptor.join();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  std::string Address() const { return m_listener.Address(); }

private:
  void Accept()
  {
    while (!m_stopping) {
      auto connection = std::make_shared<RawConnection>(m_listener.Accept());
      if (!m_stopping) {
        m_threads.emplace_back([this, connection] { m_serve(*connection); });
      }
    }
  }

  std::function<void(RawConnection&)> m_serve;
  RawListener m_listener;
  std::atomic<bool> m_stopping{ false };
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// The answer to a request: its target.
/// @param aEchoHeader Header of the request that it repeats; empty for none.
std::string
FormatAnswer(const std::string& aRequestHead, const std::string& aEchoHeader)
{
  const std::size_t start = aRequestHead.find(' ') + 1;
  const std::string target =
    aRequestHead.substr(start, aRequestHead.find(' ', start) - start);
  std::string answer = "HTTP/1.1 200 OK\r\n";
  const std::size_t echo =
    aEchoHeader.empty() ? std::string::npos : aRequestHead.find(aEchoHeader);
  if (echo != std::string::npos) {
    answer +=
      aRequestHead.substr(echo, aRequestHead.find("\r\n", echo) + 2 - echo);
  }
  return answer + "Content-Length: " + std::to_string(target.size()) +
         "\r\n\r\n" + target;
}

/// Answers each request with its target, and once more a few milliseconds
/// later.
class RepeatingEndpoint : public ThreadedEndpoint
{
public:
  explicit RepeatingEndpoint(const std::string& aEchoHeader)
    : ThreadedEndpoint([aEchoHeader](RawConnection& aConnection) {
      for (;;) {
        const std::string head = aConnection.ReadUntil("\r\n\r\n");
        const std::string answer = FormatAnswer(head, aEchoHeader);
        if (head.empty() || !aConnection.Write(answer)) {
          return;
        }
        std::this_thread::sleep_for(Milliseconds(4));
        if (!aConnection.Write(answer)) {
          return;
        }
      }
    })
  {
  }
};

/// Answers each request with its target after some time.
class SlowEndpoint : public ThreadedEndpoint
{
public:
  explicit SlowEndpoint(Milliseconds aTime)
    : ThreadedEndpoint([aTime](RawConnection& aConnection) {
      for (;;) {
        const std::string head = aConnection.ReadUntil("\r\n\r\n");
        if (head.empty()) {
          return;
        }
        std::this_thread::sleep_for(aTime);
        aConnection.Write(FormatAnswer(head, "X-Sapphirelane-Request"));
      }
    })
  {
  }
};

/// Runs a daemon before one endpoint.
class EntryAppFixture
{
protected:
  EntryAppFixture()
  {
    SetLogSink([](const std::string&) {});
    StartSecrets();
  }

  ~EntryAppFixture() { SetLogSink(nullptr); }

  /// Starts a daemon and waits until it serves its route.
  void Start(const std::string& aDialect, const std::string& aEndpoint)
  {
    m_settings.host = "h";
    m_settings.data_centre = "c";
    m_settings.listen.callers = FreePort();
    m_settings.listen.peers = FreePort();
    m_settings.listen.operators = FreePort();
    m_settings.platform.source = "one-endpoint";
    m_settings.platform.address = aEndpoint;
    m_settings.policies.dialect = aDialect;
    m_settings.balancer_notice = Milliseconds(0);
    m_app = MakeEntryApp(m_settings);
    m_app->Start();
    while (Get("/ready").find(" 200 ") == std::string::npos) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  /// Sends a request on a connection of its own.
  /// @return The response, up to the end of the connection.
  std::string Get(const std::string& aTarget) const
  {
    RawConnection caller = RawConnection::Connect(
      "127.0.0.1:" + std::to_string(m_settings.listen.callers));
    caller.Write("GET " + aTarget + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
                 std::to_string(++m_requests) +
                 "\r\nConnection: close\r\n\r\n");
    return caller.ReadUntil("never");
  }

  /// Sends requests one after the other.
  /// @return Number of responses that are not the request's own.
  int CountWrong(int aRequests) const
  {
    int wrong = 0;
    for (int i = 0; i < aRequests; ++i) {
      const std::string target = "/t/" + std::to_string(i);
      const std::string response = Get(target);
      const bool right =
        response.find(" 200 ") != std::string::npos &&
        response.substr(response.find("\r\n\r\n") + 4) == target;
      wrong += right ? 0 : 1;
    }
    return wrong;
  }

  EntrySettings m_settings;
  std::unique_ptr<EntryApp> m_app;
  mutable std::atomic<int> m_requests{ 0 };
};

TEST_CASE_METHOD(EntryAppFixture,
                 "EntryApp, endpoint answers each request twice without the "
                 "request id, no caller gets the answer to another request")
{
  const RepeatingEndpoint endpoint("");
  Start("sapphirelane", endpoint.Address());
  CHECK(CountWrong(60) == 0);
  CHECK(m_app->StopPlanned());
}

TEST_CASE_METHOD(EntryAppFixture,
                 "EntryApp, endpoint answers each request twice with the "
                 "request id, no caller gets the answer to another request")
{
  const RepeatingEndpoint endpoint("X-Sapphirelane-Request");
  Start("sapphirelane", endpoint.Address());
  CHECK(CountWrong(60) == 0);
  CHECK(m_app->StopPlanned());
}

TEST_CASE_METHOD(EntryAppFixture,
                 "EntryApp, endpoint answers each request twice with the "
                 "caller's request id, no caller gets the answer to another "
                 "request")
{
  const RepeatingEndpoint endpoint("Request-Id");
  Start("caller-id", endpoint.Address());
  CHECK(CountWrong(60) == 0);
  CHECK(m_app->StopPlanned());
}

/// Guards against waiting requests that a planned stop cuts off.
TEST_CASE_METHOD(EntryAppFixture,
                 "EntryApp, planned stop while requests wait for a slot, "
                 "answers or refuses each of them")
{
  const SlowEndpoint endpoint(Milliseconds(300));
  m_settings.drain = Milliseconds(1500);
  Start("sapphirelane", endpoint.Address());
  std::vector<std::future<std::string>> responses;
  for (int i = 0; i < 60; ++i) {
    const std::string target = "/t/" + std::to_string(i);
    responses.push_back(
      std::async(std::launch::async, [this, target] { return Get(target); }));
  }
  std::this_thread::sleep_for(Milliseconds(400)); // All have been read.
  CHECK(m_app->StopPlanned());
  int served = 0;
  int refused = 0;
  for (auto& response : responses) {
    const std::string text = response.get();
    served += text.find(" 200 ") != std::string::npos ? 1 : 0;
    refused += text.find(" 503 ") != std::string::npos &&
                   text.find("not-run") != std::string::npos
                 ? 1
                 : 0;
  }
  CHECK(served >= 12); // The endpoint has 4 slots and at least 3 turns.
  CHECK(refused > 0);
  CHECK(served + refused == 60);
}

} // namespace
} // namespace sapphirelane
