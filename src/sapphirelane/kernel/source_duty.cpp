#include "sapphirelane/kernel/source_duty.h"

#include <atomic>
#include <utility>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/base/error.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kWaitingCalls = 64;

/// How long the duty may take to notice that it is to stop.
constexpr Milliseconds kStopCheck{ 500 };

class CallingDuty : public SourceDuty
{
public:
  CallingDuty(std::unique_ptr<FleetSource> aSource,
              Metrics& aMetrics,
              std::function<void(SourceResult)> aOnResult)
    : m_source(std::move(aSource))
    , m_metrics(aMetrics)
    , m_onResult(std::move(aOnResult))
    , m_calls(kWaitingCalls)
  {
  }

  std::string Name() const override { return "source"; }

  void Run() override
  {
    while (!m_stop) {
      const auto call = m_calls.TakeOne(kStopCheck);
      if (call) {
        Make(*call);
      }
    }
  }

  void Stop() override { m_stop = true; }

  bool Call(SourceCall aCall) override
  {
    return m_calls.TryPush(std::move(aCall));
  }

private:
  void Make(const SourceCall& aCall)
  {
    SourceResult result;
    result.kind = aCall.kind;
    result.after = aCall.after;
    result.asked = Clock::now();
    try {
      Read(aCall, result);
      result.answered = true;
    } catch (const PlatformUnavailable& error) {
      result.error = error.what();
    }
    m_metrics.Count("platform_calls_total",
                    { { "call", SourceCallName(aCall.kind) },
                      { "answered", result.answered ? "yes" : "no" } });
    m_onResult(std::move(result));
  }

  void Read(const SourceCall& aCall, SourceResult& aResult)
  {
    switch (aCall.kind) {
      case SourceCall::Kind::ReadEndpoints:
        aResult.endpoints = m_source->ReadEndpoints(aCall.after);
        break;
      case SourceCall::Kind::ReadConfig:
        aResult.config = m_source->ReadConfig(aCall.after);
        break;
      case SourceCall::Kind::ReadHosts:
        aResult.hosts = m_source->ReadHosts();
        break;
      case SourceCall::Kind::WriteHost:
        m_source->WriteHost(aCall.host);
        break;
      case SourceCall::Kind::RemoveHost:
        m_source->RemoveHost(aCall.host.host);
        break;
    }
  }

  std::unique_ptr<FleetSource> m_source;
  Metrics& m_metrics;
  std::function<void(SourceResult)> m_onResult;
  BoundedRing<SourceCall> m_calls;
  std::atomic<bool> m_stop{ false };
};

} // namespace

std::unique_ptr<SourceDuty>
MakeSourceDuty(std::unique_ptr<FleetSource> aSource,
               Metrics& aMetrics,
               std::function<void(SourceResult)> aOnResult)
{
  return std::make_unique<CallingDuty>(
    std::move(aSource), aMetrics, std::move(aOnResult));
}

} // namespace sapphirelane
