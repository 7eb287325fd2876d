#include "sapphirelane/proxy/upstream_io.h"

#include <atomic>
#include <map>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/proxy/connection_pool.h"
#include "sapphirelane/proxy/upstream_transfer.h"

namespace sapphirelane {

namespace asio = boost::asio;

namespace {

/// Interval between removals of expired idle connections.
constexpr Milliseconds kPoolCheckInterval{ 1000 };

struct Command
{
  enum class Kind
  {
    Start,
    Accept,
    Cancel,
  };

  Kind kind = Kind::Start;
  std::uint64_t id = 0;
  AttemptOrder params;
};

class AsioUpstreamClient : public UpstreamIoDuty
{
public:
  AsioUpstreamClient(const UpstreamIoOptions& aOptions,
                     std::function<void(AttemptEvent)> aOnEvent)
    : m_pool(aOptions.pool_per_endpoint)
    , m_context{ m_io,
                 aOptions,
                 m_pool,
                 std::move(aOnEvent),
                 [this](std::uint64_t aId) { m_transfers.erase(aId); } }
    , m_commands(aOptions.ring,
                 [this] { asio::post(m_io, [this] { ExecuteCommands(); }); })
    , m_workGuard(asio::make_work_guard(m_io))
    , m_poolTimer(m_io)
  {
  }

  std::string Name() const override { return "upstream-io"; }

  void Run() override
  {
    SchedulePoolCheck();
    m_io.run();
  }

  void Stop() override { m_io.stop(); }

  void Start(AttemptOrder aParams) override
  {
    Command command;
    command.id = aParams.id;
    command.params = std::move(aParams);
    m_commands.PushWaiting(std::move(command));
  }

  void Accept(std::uint64_t aAttemptId) override
  {
    Push(Command::Kind::Accept, aAttemptId);
  }

  void Cancel(std::uint64_t aAttemptId) override
  {
    Push(Command::Kind::Cancel, aAttemptId);
  }

private:
  void Push(Command::Kind aKind, std::uint64_t aAttemptId)
  {
    Command command;
    command.kind = aKind;
    command.id = aAttemptId;
    m_commands.PushWaiting(std::move(command));
  }

  void ExecuteCommands()
  {
    for (Command& command : m_commands.TakeAll(Duration::zero())) {
      Execute(command);
    }
  }

  void Execute(Command& aCommand)
  {
    if (aCommand.kind == Command::Kind::Start) {
      auto transfer = std::make_shared<UpstreamTransfer>(
        std::move(aCommand.params), m_context);
      m_transfers[aCommand.id] = transfer;
      transfer->Start(Clock::now());
      return;
    }
    auto found = m_transfers.find(aCommand.id);
    if (found == m_transfers.end()) {
      return;
    }
    const auto transfer = found->second;
    if (aCommand.kind == Command::Kind::Cancel) {
      transfer->Cancel();
    } else {
      transfer->ForwardResponse();
    }
  }

  void SchedulePoolCheck()
  {
    m_poolTimer.expires_after(kPoolCheckInterval);
    m_poolTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        m_pool.RemoveExpired(Clock::now());
        SchedulePoolCheck();
      }
    });
  }

  asio::io_context m_io{ 1 };
  ConnectionPool m_pool;
  TransferContext m_context;
  BoundedRing<Command> m_commands;
  asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
  asio::steady_timer m_poolTimer;
  std::map<std::uint64_t, std::shared_ptr<UpstreamTransfer>> m_transfers;
};

} // namespace

std::unique_ptr<UpstreamIoDuty>
MakeUpstreamIo(UpstreamIoOptions aOptions,
               std::function<void(AttemptEvent)> aOnEvent)
{
  return std::make_unique<AsioUpstreamClient>(aOptions, std::move(aOnEvent));
}

} // namespace sapphirelane
