#include "sapphirelane/proxy/entry_app.h"

#include <fstream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/caller_front.h"
#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/operator_front.h"

namespace sapphirelane {

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  if (!stream) {
    throw ConfigError(aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

class EntryDaemon : public EntryApp
{
public:
  explicit EntryDaemon(const EntrySettings& aSettings)
    : m_settings(aSettings)
    , m_metrics(MakeMetrics())
  {
    m_control =
      MakeStandaloneControl(DecodeFleet(ReadFile(m_settings.static_fleet)),
                            m_settings.limits.dedup_window);
    auto dispatch = std::make_unique<DispatchDuty>(m_settings.limits.in_flight);
    m_dispatch = dispatch.get();
    auto upstreams = MakeUpstreamIo(
      {}, [this](AttemptEvent aEvent) { m_dispatch->Push(std::move(aEvent)); });
    DispatcherOptions options;
    options.limits = m_settings.limits;
    options.policies = m_settings.policies;
    options.seed = RandomBits();
    m_dispatcher = MakeDispatcher(options, *m_control, *upstreams, *m_metrics);
    m_dispatch->Attach(*m_dispatcher, [](TimePoint) {});
    m_kernel.Add(std::move(dispatch));
    m_kernel.Add(std::move(upstreams));
  }

  void Start() override
  {
    m_kernel.Start();
    OperatorFrontOptions operators;
    operators.address = m_settings.listen.operator_address;
    operators.port = m_settings.listen.operators;
    operators.credential_digest = m_settings.operator_digest;
    m_operators = MakeOperatorFront(
      operators, [this](const OperatorCall& aCall) { return Handle(aCall); });
    CallerFrontOptions callers;
    callers.address = m_settings.listen.address;
    callers.port = m_settings.listen.callers;
    callers.limits = m_settings.limits;
    // Numbers of different daemons and runs do not meet.
    callers.first_request = RandomBits() >> kRequestIdShift;
    m_callers = MakeCallerFront(callers, [this](ExchangePtr aExchange) {
      return m_dispatch->Push(std::move(aExchange));
    });
    LogLine("entry", "Host " + m_settings.host + " is serving.");
  }

  bool StopPlanned() override
  {
    LogLine("entry", "Host " + m_settings.host + " is being stopped.");
    m_stopping = true;
    // The balancer sees the host as not ready before it stops listening.
    std::this_thread::sleep_for(kBalancerNotice);
    m_callers->StopListening();
    const bool finished = AwaitRequests();
    m_callers.reset();
    m_operators.reset();
    m_kernel.Stop();
    LogLine("entry",
            finished ? "Stopped with no request cut off."
                     : "Stopped; requests were cut off at the drain limit.");
    return finished;
  }

private:
  static constexpr Milliseconds kBalancerNotice{ 500 };
  static constexpr Milliseconds kPoll{ 20 };
  static constexpr int kRequestIdShift = 16;

  bool AwaitRequests()
  {
    const TimePoint last = Clock::now() + m_settings.drain;
    while (m_callers->Open() > 0) {
      if (Clock::now() >= last) {
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
    return true;
  }

  OperatorReply Handle(const OperatorCall& aCall)
  {
    if (aCall.path == "/healthz") {
      return { 200, "text/plain", "ok\n" };
    }
    if (aCall.path == "/readyz") {
      return m_stopping ? OperatorReply{ 503, "text/plain", "stopping\n" }
                        : OperatorReply{ 200, "text/plain", "ready\n" };
    }
    if (aCall.path == "/metrics") {
      return { 200, "text/plain; version=0.0.4", m_metrics->Text() };
    }
    return { 404, "application/json", "{\"error\":\"no such page\"}\n" };
  }

  EntrySettings m_settings;
  std::unique_ptr<Metrics> m_metrics;
  std::unique_ptr<FleetControl> m_control;
  std::unique_ptr<Dispatcher> m_dispatcher;
  DispatchDuty* m_dispatch = nullptr;
  Kernel m_kernel;
  std::unique_ptr<OperatorFront> m_operators;
  std::unique_ptr<CallerFront> m_callers;
  std::atomic<bool> m_stopping{ false };
};

} // namespace

std::unique_ptr<EntryApp>
MakeEntryApp(const EntrySettings& aSettings)
{
  return std::make_unique<EntryDaemon>(aSettings);
}

} // namespace sapphirelane
