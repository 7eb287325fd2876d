#include "sapphirelane/proxy/caller_front.h"

#include <atomic>
#include <future>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/proxy/caller_session.h"

namespace sapphirelane {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval between timeout checks; short against timeouts of seconds.
constexpr Milliseconds kSessionCheckInterval{ 500 };

SessionLimits
MakeSessionLimits(const CallerFrontOptions& aOptions)
{
  SessionLimits limits;
  limits.body_bytes = aOptions.limits.body_bytes;
  limits.buffer_bytes = aOptions.limits.buffer_bytes;
  limits.idle_timeout = aOptions.limits.idle;
  limits.first_request_timeout = aOptions.first_request_timeout;
  return limits;
}

class AsioCallerListener : public CallerFront
{
public:
  AsioCallerListener(CallerFrontOptions aOptions,
                     std::function<bool(ExchangePtr)> aOnRequest)
    : m_options(std::move(aOptions))
    , m_acceptor(m_io)
    , m_checkTimer(m_io)
  {
    m_context.limits = MakeSessionLimits(m_options);
    m_context.dialect = m_options.dialect;
    m_context.next_request_id = m_options.first_request;
    m_context.on_request = std::move(aOnRequest);
    Listen();
    Accept();
    ScheduleSessionCheck();
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~AsioCallerListener() override { Stop(); }

  void Stop() override
  {
    if (!m_thread.joinable()) {
      return;
    }
    asio::post(m_io, [this] {
      StopAccepting();
      m_checkTimer.cancel();
      for (const auto& session : m_sessions) {
        session->Abort();
      }
      m_sessions.clear();
      m_io.stop();
    });
    m_thread.join();
  }

  void CloseAfterAnswers() override
  {
    asio::post(m_io, [this] { m_context.close_after_response = true; });
  }

  void StopListening() override
  {
    asio::post(m_io, [this] {
      m_context.close_after_response = true;
      m_context.close_idle = true;
      TakeWaitingConnections();
      StopAccepting();
      for (const auto& session : m_sessions) {
        session->CloseIfIdle(Clock::now());
      }
    });
  }

  void SetLimits(const CallerLimits& aLimits) override
  {
    asio::post(m_io, [this, aLimits] {
      SessionLimits limits = MakeSessionLimits(m_options);
      if (aLimits.head_bytes > 0) {
        limits.head_bytes = aLimits.head_bytes;
      }
      if (aLimits.body_bytes > 0) {
        limits.body_bytes = aLimits.body_bytes;
      }
      if (aLimits.head_time > Milliseconds::zero()) {
        limits.head_timeout = aLimits.head_time;
      }
      if (aLimits.idle > Milliseconds::zero()) {
        limits.idle_timeout = aLimits.idle;
      }
      m_context.limits = limits;
    });
  }

  std::size_t Open() override
  {
    // Only the listener's thread may read the count.
    std::promise<std::size_t> open;
    asio::post(m_io, [this, &open] {
      const std::size_t count = CountUnfinished(Clock::now());
      if (count == 0 && m_context.close_idle) {
        EndInput();
      }
      open.set_value(count);
    });
    return open.get_future().get();
  }

private:
  void Listen()
  {
    boost::system::error_code error;
    const tcp::endpoint endpoint(
      asio::ip::make_address(m_options.address, error), m_options.port);
    if (!error) {
      m_acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      m_acceptor.bind(endpoint, error);
    }
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      throw Error("callers: cannot listen on " + m_options.address + ":" +
                  std::to_string(m_options.port) + ": " + error.message());
    }
  }

  void Accept()
  {
    m_accepting = true;
    m_acceptor.async_accept(
      [this](const boost::system::error_code& aError, tcp::socket aSocket) {
        OnAccept(aError, std::move(aSocket));
      });
  }

  void OnAccept(const boost::system::error_code& aError, tcp::socket aSocket)
  {
    if (aError == asio::error::operation_aborted || !m_acceptor.is_open()) {
      return;
    }
    const bool full = m_sessions.size() >= m_options.limits.connections;
    if (aError) {
      // File descriptors may have run out; the next check accepts again.
      LogLine("callers",
              "A connection from a caller could not be accepted: " +
                aError.message());
      m_accepting = false;
      return;
    }
    if (!full) {
      StartSession(std::move(aSocket));
    }
    Accept();
  }

  void StartSession(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    auto session =
      std::make_shared<CallerSession>(std::move(aSocket), m_context);
    m_sessions.insert(session);
    session->Start(Clock::now());
  }

  /// Takes the connections that the kernel has accepted already; closing the
  /// acceptor would reset them, and the callers may have sent requests.
  void TakeWaitingConnections()
  {
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error && m_sessions.size() < m_options.limits.connections) {
      tcp::socket socket(m_io);
      m_acceptor.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
  }

  /// Requests without a complete response, and while the listener stops, new
  /// connections whose first request may be under way.
  std::size_t CountUnfinished(TimePoint aNow) const
  {
    std::size_t count = m_context.unfinished_requests;
    for (const auto& session : m_sessions) {
      const bool awaited = m_context.close_idle && session->AwaitsRequest(aNow);
      count += awaited ? 1 : 0;
    }
    return count;
  }

  /// Reads no further request; what comes now would be cut off.
  void EndInput()
  {
    for (const auto& session : m_sessions) {
      session->EndInput();
    }
  }

  void StopAccepting()
  {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  }

  void ScheduleSessionCheck()
  {
    m_checkTimer.expires_after(kSessionCheckInterval);
    m_checkTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        CheckSessions(Clock::now());
        ScheduleSessionCheck();
      }
    });
  }

  void CheckSessions(TimePoint aNow)
  {
    if (!m_accepting && m_acceptor.is_open()) {
      Accept();
    }
    for (auto it = m_sessions.begin(); it != m_sessions.end();) {
      (*it)->CheckTimeouts(aNow);
      it = (*it)->IsOpen() ? std::next(it) : m_sessions.erase(it);
    }
  }

  CallerFrontOptions m_options;
  asio::io_context m_io{ 1 };
  tcp::acceptor m_acceptor;
  asio::steady_timer m_checkTimer;
  SessionContext m_context;
  std::set<std::shared_ptr<CallerSession>> m_sessions;
  bool m_accepting = false;
  std::thread m_thread;
};

} // namespace

std::unique_ptr<CallerFront>
MakeCallerFront(CallerFrontOptions aOptions,
                std::function<bool(ExchangePtr)> aOnRequest)
{
  return std::make_unique<AsioCallerListener>(std::move(aOptions),
                                              std::move(aOnRequest));
}

} // namespace sapphirelane
