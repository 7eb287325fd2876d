#include "sapphirelane/proxy/entry_app.h"

#include <optional>
#include <thread>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/caller_front.h"
#include "sapphirelane/proxy/dispatch_duty.h"
#include "sapphirelane/proxy/fleet_runtime.h"
#include "sapphirelane/proxy/operator_api.h"

namespace sapphirelane {

namespace {

/// Interval between updates of the gauges.
constexpr Milliseconds kGaugeInterval{ 1000 };

class EntryDaemon : public EntryApp
{
public:
  explicit EntryDaemon(const EntrySettings& aSettings)
    : m_settings(aSettings)
    , m_dialect(DialectOf(m_settings.policies.dialect))
    , m_metrics(MakeMetrics())
  {
    auto dispatch = std::make_unique<DispatchDuty>(m_settings.limits.in_flight);
    m_dispatch = dispatch.get();
    m_kernel.Add(std::move(dispatch));
    MakeFleetRuntime();
    m_fleet->AddDuties(m_kernel);
    UpstreamIoOptions io;
    io.connect_timeout = m_settings.limits.connect_timeout;
    auto upstreams = MakeUpstreamIo(
      io, [this](AttemptEvent aEvent) { m_dispatch->Push(std::move(aEvent)); });
    DispatcherOptions options;
    options.limits = m_settings.limits;
    options.policies = m_settings.policies;
    options.cold_starts = m_settings.cold_starts;
    options.dialect = m_dialect;
    options.seed = RandomBits();
    m_dispatcher =
      MakeDispatcher(options, m_fleet->Control(), *upstreams, *m_metrics);
    m_kernel.Add(std::move(upstreams));
    m_dispatch->Attach(*m_dispatcher, [this](TimePoint aNow) { Tick(aNow); });
    m_api = std::make_unique<OperatorApi>(
      *m_dispatch, *m_dispatcher, *m_fleet, *m_metrics);
  }

  ~EntryDaemon() override { StopThreads(); }

  void Start() override
  {
    StartCallerListener();
    m_kernel.Start();
    m_fleet->Announce(false);
    OperatorFrontOptions operators;
    operators.address = m_settings.listen.operator_address;
    operators.port = m_settings.listen.operators;
    operators.credential_digest = m_settings.operator_digest;
    m_operatorListener =
      MakeOperatorFront(operators, [this](const OperatorCall& aRequest) {
        return m_api->Handle(aRequest);
      });
    LogLine("entry",
            "The daemon is serving.",
            LogFields()
              .Add("host", m_settings.host)
              .Add("data_centre", m_settings.data_centre)
              .Add("source",
                   m_settings.platform.source.empty()
                     ? "own"
                     : m_settings.platform.source.c_str()));
  }

  bool StopPlanned() override
  {
    LogLine("entry",
            "The daemon is being stopped.",
            LogFields()
              .Add("host", m_settings.host)
              .Add("drain_ms", Duration(m_settings.drain)));
    const TimePoint drainDeadline = Clock::now() + m_settings.drain;
    m_api->SetStopping();
    m_dispatch->PostWaiting([this, drainDeadline](TimePoint aNow) {
      m_dispatcher->BeginStop(drainDeadline, aNow);
    });
    m_callerListener->CloseAfterAnswers();
    m_fleet->Announce(true);
    // Keeps accepting until the load balancer has seen /readyz fail.
    std::this_thread::sleep_for(m_settings.balancer_notice);
    m_callerListener->StopListening();
    const bool allCompleted = WaitForRequests(drainDeadline);
    if (!allCompleted) {
      m_dispatch->PostWaiting(
        [this](TimePoint) { m_dispatcher->LogUnfinished(); });
    }
    LeaveFleet();
    StopThreads();
    LogLine("entry",
            allCompleted ? "Stopped with no request cut off."
                         : "Stopped; requests were cut off at the drain limit.",
            LogFields().Add("host", m_settings.host));
    return allCompleted;
  }

private:
  static constexpr Milliseconds kPollInterval{ 20 };
  static constexpr int kRequestIdSpareBits = 16;

  void MakeFleetRuntime()
  {
    const std::string& name = m_settings.platform.source;
    if (name.empty()) {
      m_fleet = MakeNodeRuntime(m_settings, *m_dispatch, *m_metrics);
      return;
    }
    auto source = SourceRegistry::Make(name, m_settings.platform);
    source->Adjust(m_settings);
    m_fleet = MakeStoreFleetRuntime(
      m_settings, std::move(source), *m_dispatch, *m_metrics);
  }

  void StartCallerListener()
  {
    CallerFrontOptions callers;
    callers.address = m_settings.listen.address;
    callers.port = m_settings.listen.callers;
    callers.limits = m_settings.limits;
    callers.dialect = m_dialect;
    // Starts at random, so that request ids of different daemons and runs do
    // not collide. The shift keeps the first id far from overflow.
    callers.first_request = RandomBits() >> kRequestIdSpareBits;
    m_callerListener = MakeCallerFront(callers, [this](ExchangePtr aExchange) {
      return m_dispatch->Push(std::move(aExchange));
    });
  }

  /// Stops all threads. What they use of each other is destroyed only when none
  /// of them runs any more.
  void StopThreads()
  {
    if (m_callerListener) {
      m_callerListener->Stop();
    }
    m_operatorListener.reset();
    m_kernel.Stop();
  }

  void Tick(TimePoint aNow)
  {
    m_fleet->Tick(aNow);
    const FleetConfig* config = m_fleet->Control().Config();
    if (config != nullptr && config->version != m_limitsVersion) {
      m_limitsVersion = config->version;
      m_callerListener->SetLimits(config->limits);
    }
    if (aNow >= m_nextGaugeUpdate) {
      m_nextGaugeUpdate = aNow + kGaugeInterval;
      m_fleet->Measure(*m_metrics, aNow);
    }
  }

  bool WaitForRequests(TimePoint aDrainDeadline)
  {
    while (m_callerListener->Open() > 0) {
      if (Clock::now() >= aDrainDeadline) {
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return true;
  }

  /// Hands shards and claims over to other daemons and leaves the shard map.
  void LeaveFleet()
  {
    m_dispatch->Call<bool>([this](TimePoint aNow) {
      m_fleet->BeginStop(aNow);
      return true;
    });
    const auto stopped = [this](TimePoint aNow) {
      return m_fleet->IsStopped(aNow);
    };
    while (!m_dispatch->Call<bool>(stopped)) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  EntrySettings m_settings;
  HttpDialect m_dialect;
  std::unique_ptr<Metrics> m_metrics;
  DispatchDuty* m_dispatch = nullptr;
  std::unique_ptr<FleetRuntime> m_fleet;
  std::unique_ptr<Dispatcher> m_dispatcher;
  Kernel m_kernel;
  std::unique_ptr<OperatorApi> m_api;
  std::unique_ptr<OperatorFront> m_operatorListener;
  std::unique_ptr<CallerFront> m_callerListener;
  std::uint64_t m_limitsVersion = 0;
  TimePoint m_nextGaugeUpdate{};
};

} // namespace

std::unique_ptr<EntryApp>
MakeEntryApp(const EntrySettings& aSettings)
{
  return std::make_unique<EntryDaemon>(aSettings);
}

} // namespace sapphirelane
