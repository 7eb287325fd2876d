#include <atomic>
#include <utility>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/kernel/peer_link.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kWaitingCalls = 256;
constexpr Milliseconds kStopCheck{ 100 };
constexpr const char* kHeadRow = "head";

const char*
KindName(StoreCall::Kind aKind)
{
  switch (aKind) {
    case StoreCall::Kind::ReadHead:
      return "read-head";
    case StoreCall::Kind::SwapHead:
      return "swap-head";
    case StoreCall::Kind::PutObject:
      return "put-object";
    case StoreCall::Kind::GetObject:
      return "get-object";
    case StoreCall::Kind::ListHosts:
      break;
  }
  return "list-hosts";
}

class PlatformDuty : public StoreDuty
{
public:
  PlatformDuty(std::unique_ptr<Platform> aPlatform,
               Metrics& aMetrics,
               std::function<void(StoreResult)> aOnResult)
    : m_platform(std::move(aPlatform))
    , m_metrics(aMetrics)
    , m_onResult(std::move(aOnResult))
    , m_calls(kWaitingCalls)
  {
  }

  std::string Name() const override { return "platform"; }

  void Run() override
  {
    while (!m_stop) {
      auto call = m_calls.TakeOne(kStopCheck);
      if (call) {
        Make(*call);
      }
    }
  }

  void Stop() override { m_stop = true; }

  bool Call(StoreCall aCall) override
  {
    return m_calls.TryPush({ std::move(aCall), std::nullopt });
  }

  void Announce(const ListedHost& aHost) override
  {
    m_calls.TryPush({ {}, aHost });
  }

private:
  struct Work
  {
    StoreCall call;
    std::optional<ListedHost> announcement;
  };

  void Make(const Work& aWork)
  {
    if (aWork.announcement) {
      try {
        m_platform->Hosts().Announce(*aWork.announcement);
      } catch (const PlatformUnavailable& error) {
        m_metrics.Count("platform_failures_total", { { "call", "announce" } });
      }
      return;
    }
    StoreResult result;
    try {
      result = MakeCall(aWork.call);
    } catch (const PlatformUnavailable& error) {
      m_metrics.Count("platform_failures_total",
                      { { "call", KindName(aWork.call.kind) } });
    }
    m_metrics.Count("platform_calls_total",
                    { { "call", KindName(aWork.call.kind) } });
    result.id = aWork.call.id;
    m_onResult(std::move(result));
  }

  StoreResult MakeCall(const StoreCall& aCall)
  {
    StoreResult result;
    result.status = StoreResult::Status::Ok;
    switch (aCall.kind) {
      case StoreCall::Kind::ReadHead: {
        const TableRow row = m_platform->Table().Read(kHeadRow);
        result.version = row.version;
        result.text = row.value;
        if (row.version == 0) {
          result.status = StoreResult::Status::Missing;
        }
        break;
      }
      case StoreCall::Kind::SwapHead: {
        const SwapResult swapped =
          m_platform->Table().Swap(kHeadRow, aCall.version, aCall.text);
        if (swapped == SwapResult::Conflict) {
          result.status = StoreResult::Status::Conflict;
        }
        break;
      }
      case StoreCall::Kind::PutObject:
        m_platform->Objects().Put(aCall.name, aCall.text);
        break;
      case StoreCall::Kind::GetObject: {
        const auto text = m_platform->Objects().Get(aCall.name);
        result.status =
          text ? StoreResult::Status::Ok : StoreResult::Status::Missing;
        result.text = text.value_or("");
        break;
      }
      case StoreCall::Kind::ListHosts:
        result.hosts = m_platform->Hosts().List();
        break;
    }
    return result;
  }

  std::unique_ptr<Platform> m_platform;
  Metrics& m_metrics;
  std::function<void(StoreResult)> m_onResult;
  BoundedRing<Work> m_calls;
  std::atomic<bool> m_stop{ false };
};

} // namespace

std::unique_ptr<StoreDuty>
MakeStoreDuty(std::unique_ptr<Platform> aPlatform,
              Metrics& aMetrics,
              std::function<void(StoreResult)> aOnResult)
{
  return std::make_unique<PlatformDuty>(
    std::move(aPlatform), aMetrics, std::move(aOnResult));
}

} // namespace sapphirelane
