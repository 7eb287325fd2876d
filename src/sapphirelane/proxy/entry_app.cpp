#include "sapphirelane/proxy/entry_app.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/caller_front.h"
#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/node_runtime.h"
#include "sapphirelane/proxy/operator_api.h"

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
    auto dispatch = std::make_unique<DispatchDuty>(m_settings.limits.in_flight);
    m_dispatch = dispatch.get();
    m_kernel.Add(std::move(dispatch));
    MakeControl();
    auto upstreams = MakeUpstreamIo(
      {}, [this](AttemptEvent aEvent) { m_dispatch->Push(std::move(aEvent)); });
    DispatcherOptions options;
    options.limits = m_settings.limits;
    options.policies = m_settings.policies;
    options.seed = RandomBits();
    m_dispatcher = MakeDispatcher(options, *m_control, *upstreams, *m_metrics);
    m_kernel.Add(std::move(upstreams));
    m_dispatch->Attach(*m_dispatcher, [this](TimePoint aNow) { Tick(aNow); });
    m_api = std::make_unique<OperatorApi>(
      *m_dispatch, *m_dispatcher, *m_control, *m_node, *m_metrics);
  }

  ~EntryDaemon() override
  {
    m_callers.reset();
    m_operators.reset();
    m_kernel.Stop();
  }

  void Start() override
  {
    m_kernel.Start();
    m_node->Announce(false);
    OperatorFrontOptions operators;
    operators.address = m_settings.listen.operator_address;
    operators.port = m_settings.listen.operators;
    operators.credential_digest = m_settings.operator_digest;
    m_operators =
      MakeOperatorFront(operators, [this](const OperatorCall& aCall) {
        return m_api->Handle(aCall);
      });
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
    m_api->SetStopping();
    m_node->Announce(true);
    // The balancer sees the host as not ready before it stops listening.
    std::this_thread::sleep_for(kBalancerNotice);
    m_callers->StopListening();
    const bool finished = AwaitRequests();
    HandOver();
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

  void MakeControl()
  {
    if (!m_settings.static_fleet.empty()) {
      m_fixedFleet = DecodeFleet(ReadFile(m_settings.static_fleet));
    }
    m_node = std::make_unique<NodeRuntime>(m_settings, *m_dispatch, *m_metrics);
    m_node->AddDuties(m_kernel);
    m_control = &m_node->Get();
  }

  void Tick(TimePoint aNow)
  {
    m_node->Get().Tick(aNow);
    ProposeFixedFleet(aNow);
    if (aNow < m_nextGauges) {
      return;
    }
    m_nextGauges = aNow + std::chrono::seconds(1);
    const NodeStatus status = m_node->Get().Status(aNow);
    m_metrics->Set("fresh", {}, status.fresh ? 1 : 0);
    m_metrics->Set("head", {}, static_cast<double>(status.seq));
    m_metrics->Set("members", {}, static_cast<double>(status.members));
    m_metrics->Set("shards_held", {}, static_cast<double>(status.shards_held));
    m_metrics->Set("claims", {}, static_cast<double>(status.claims));
    m_metrics->Set("platform_answers", {}, status.store_answers ? 1 : 0);
  }

  /// Has the configuration of a daemon that runs alone accepted.
  void ProposeFixedFleet(TimePoint aNow)
  {
    const FleetConfig* config = m_control->Config();
    if (!m_fixedFleet || config == nullptr) {
      return;
    }
    ChangeSet change;
    change.id = "static-fleet";
    change.author = m_settings.static_fleet;
    change.rows = Difference(*config, *m_fixedFleet);
    m_fixedFleet.reset();
    m_node->Get().Propose(change, aNow, [](const WriteResult& aResult, auto) {
      if (!aResult.detail.empty()) {
        LogLine("entry", "The fixed fleet is not usable: " + aResult.detail);
      }
    });
  }

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

  /// Gives shards and claims to other daemons and leaves the map.
  void HandOver()
  {
    m_dispatch->Call<bool>([this](TimePoint aNow) {
      m_node->Get().BeginStop(aNow);
      return true;
    });
    const auto stopped = [this](TimePoint aNow) {
      return m_node->Get().IsStopped(aNow);
    };
    while (!m_dispatch->Call<bool>(stopped)) {
      std::this_thread::sleep_for(kPoll);
    }
  }

  EntrySettings m_settings;
  std::unique_ptr<Metrics> m_metrics;
  DispatchDuty* m_dispatch = nullptr;
  std::optional<FleetConfig> m_fixedFleet; ///< To be proposed at the start.
  std::unique_ptr<NodeRuntime> m_node;
  FleetControl* m_control = nullptr;
  std::unique_ptr<Dispatcher> m_dispatcher;
  Kernel m_kernel;
  std::unique_ptr<OperatorApi> m_api;
  std::unique_ptr<OperatorFront> m_operators;
  std::unique_ptr<CallerFront> m_callers;
  TimePoint m_nextGauges{};
};

} // namespace

std::unique_ptr<EntryApp>
MakeEntryApp(const EntrySettings& aSettings)
{
  return std::make_unique<EntryDaemon>(aSettings);
}

} // namespace sapphirelane
