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

/// How often idle connections are looked through.
constexpr Milliseconds kPoolCheck{ 1000 };

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
  AttemptOrder order;
};

class AsioUpstreamIo : public UpstreamIoDuty
{
public:
  AsioUpstreamIo(const UpstreamIoOptions& aOptions,
                 std::function<void(AttemptEvent)> aOnEvent)
    : m_pool(aOptions.pool_per_endpoint)
    , m_context{ m_io,
                 aOptions,
                 m_pool,
                 std::move(aOnEvent),
                 [this](std::uint64_t aId) { m_transfers.erase(aId); } }
    , m_ring(aOptions.ring,
             [this] { asio::post(m_io, [this] { TakeCommands(); }); })
    , m_guard(asio::make_work_guard(m_io))
    , m_timer(m_io)
  {
  }

  std::string Name() const override { return "upstream-io"; }

  void Run() override
  {
    CheckPoolLater();
    m_io.run();
  }

  void Stop() override { m_io.stop(); }

  void Start(AttemptOrder aOrder) override
  {
    Command command;
    command.id = aOrder.id;
    command.order = std::move(aOrder);
    m_ring.PushWaiting(std::move(command));
  }

  void Accept(std::uint64_t aAttempt) override
  {
    Push(Command::Kind::Accept, aAttempt);
  }

  void Cancel(std::uint64_t aAttempt) override
  {
    Push(Command::Kind::Cancel, aAttempt);
  }

private:
  void Push(Command::Kind aKind, std::uint64_t aAttempt)
  {
    Command command;
    command.kind = aKind;
    command.id = aAttempt;
    m_ring.PushWaiting(std::move(command));
  }

  void TakeCommands()
  {
    for (Command& command : m_ring.TakeAll(Duration::zero())) {
      Execute(command);
    }
  }

  void Execute(Command& aCommand)
  {
    if (aCommand.kind == Command::Kind::Start) {
      auto transfer = std::make_shared<UpstreamTransfer>(
        std::move(aCommand.order), m_context);
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
      transfer->Accept();
    }
  }

  void CheckPoolLater()
  {
    m_timer.expires_after(kPoolCheck);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        m_pool.DropOld(Clock::now());
        CheckPoolLater();
      }
    });
  }

  asio::io_context m_io{ 1 };
  ConnectionPool m_pool;
  TransferContext m_context;
  BoundedRing<Command> m_ring;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  asio::steady_timer m_timer;
  std::map<std::uint64_t, std::shared_ptr<UpstreamTransfer>> m_transfers;
};

} // namespace

std::unique_ptr<UpstreamIoDuty>
MakeUpstreamIo(UpstreamIoOptions aOptions,
               std::function<void(AttemptEvent)> aOnEvent)
{
  return std::make_unique<AsioUpstreamIo>(aOptions, std::move(aOnEvent));
}

} // namespace sapphirelane
