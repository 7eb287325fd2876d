#include "sapphirelane/proxy/caller_session.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "sapphirelane/proxy/loopback.h"

namespace sapphirelane {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Steps the thread of one session, whose requests the test answers.
class CallerSessionFixture
{
protected:
  CallerSessionFixture()
    : m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
    , m_caller(RawConnection::Connect(
        "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())))
  {
    m_context.on_request = [this](ExchangePtr aExchange) {
      m_requests.push_back(std::move(aExchange));
      return true;
    };
    m_session = std::make_shared<CallerSession>(m_acceptor.accept(), m_context);
    m_session->Start(m_now);
  }

  /// Sends a request; it has arrived at the socket when this returns.
  void Send(const std::string& aTarget)
  {
    m_caller.Write("GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }

  /// Lets the session read until it has passed on a number of requests.
  void ReadUntil(std::size_t aRequests)
  {
    while (m_requests.size() < aRequests) {
      m_io.run_one();
    }
  }

  void AnswerLast()
  {
    m_requests.back()->AnswerWhole({ 200, {}, std::nullopt }, "own");
    while (m_context.unfinished_requests > 0) {
      m_io.run_one();
    }
  }

  asio::io_context m_io{ 1 };
  tcp::acceptor m_acceptor;
  RawConnection m_caller;
  SessionContext m_context;
  std::shared_ptr<CallerSession> m_session;
  std::vector<ExchangePtr> m_requests;
  TimePoint m_now{ std::chrono::hours(1) };
};

/// Guards against a planned stop that ends while a kept connection has a
/// request that was not read: it was not closed, and not waited for either, so
/// that the request was passed on and then cut off.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, kept connection with an unread request, is "
                 "not closed as idle and is waited for")
{
  Send("/first");
  ReadUntil(1);
  AnswerLast();
  CHECK_FALSE(m_session->AwaitsRequest(m_now));
  Send("/late");
  m_session->CloseIfIdle(m_now);
  CHECK(m_session->AwaitsRequest(m_now));
  ReadUntil(2);
  CHECK(m_context.unfinished_requests == 1);
  CHECK_FALSE(m_session->AwaitsRequest(m_now)); // It counts once.
  AnswerLast();
  m_caller.ReadUntil("own");
  CHECK(m_caller.ReadUntil("own").find(" 200 ") != std::string::npos);
}

TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, kept connection without a request, is closed "
                 "as idle and not waited for")
{
  Send("/first");
  ReadUntil(1);
  AnswerLast();
  m_session->CloseIfIdle(m_now);
  CHECK_FALSE(m_session->AwaitsRequest(m_now));
  m_caller.ReadUntil("own");
  CHECK(m_caller.ReadUntil("never").empty());
}

TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, new connection, is waited for up to the time "
                 "for its first request")
{
  m_context.limits.first_request_timeout = Milliseconds(300);
  CHECK(m_session->AwaitsRequest(m_now));
  CHECK_FALSE(m_session->AwaitsRequest(m_now + Milliseconds(300)));
}

} // namespace
} // namespace sapphirelane
