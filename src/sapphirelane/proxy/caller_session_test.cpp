#include "sapphirelane/proxy/caller_session.h"

#include <array>
#include <memory>
#include <optional>
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

  void RunOne() { REQUIRE(m_io.run_one_for(std::chrono::seconds(20)) > 0); }

  /// Lets the session read until it has passed on a number of requests.
  void ReadUntil(std::size_t aRequests)
  {
    while (m_requests.size() < aRequests) {
      RunOne();
    }
  }

  void AnswerLast()
  {
    m_requests.back()->AnswerWhole({ 200, {}, std::nullopt }, "own");
    while (m_context.unfinished_requests > 0) {
      m_io.run_one();
    }
  }

  /// Reads bytes of the last request's body as an attempt does, and lets the
  /// session go on meanwhile.
  std::string ReadBody(std::size_t aSize)
  {
    Exchange& exchange = *m_requests.back();
    if (!m_attempt) {
      m_attempt = exchange.AddAttempt([] {});
    }
    std::string body;
    std::array<char, 512> bytes{};
    while (body.size() < aSize) {
      std::size_t read = 0;
      exchange.UpstreamRead(*m_attempt, bytes.data(), bytes.size(), read);
      body.append(bytes.data(), read);
      if (read == 0) {
        RunOne();
      }
    }
    return body;
  }

  /// Numbered words up to a size, so that each place tells itself apart.
  static std::string MakeText(std::size_t aSize)
  {
    std::string text;
    for (int number = 0; text.size() < aSize; ++number) {
      text += std::to_string(number) + " ";
    }
    return text.substr(0, aSize);
  }

  asio::io_context m_io{ 1 };
  tcp::acceptor m_acceptor;
  RawConnection m_caller;
  SessionContext m_context;
  std::shared_ptr<CallerSession> m_session;
  std::vector<ExchangePtr> m_requests;
  std::optional<Exchange::AttemptId> m_attempt; ///< See ReadBody.
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

/// Guards against bytes that are consumed from memory into which a read is
/// under way.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, body comes faster than it is sent on, passes "
                 "it on unchanged, and the next request",
                 "[body]")
{
  constexpr std::size_t kPartBytes = 5000;
  m_context.limits.buffer_bytes = 1024;
  const std::string body = MakeText(3 * kPartBytes);
  m_caller.Write("POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" +
                 body.substr(0, kPartBytes));
  ReadUntil(1);
  m_caller.Write(body.substr(kPartBytes, kPartBytes));
  RunOne(); // Reads the second part, for which there is no room yet.
  std::string read = ReadBody(2 * kPartBytes);
  m_caller.Write(body.substr(2 * kPartBytes) +
                 "GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  read += ReadBody(kPartBytes);
  CHECK(read == body);
  ReadUntil(2);
  CHECK(m_requests.back()->Head().target == "/next");
}

/// Guards against the same where the pipeline is full.
TEST_CASE_METHOD(
  CallerSessionFixture,
  "CallerSession, 400 pipelined requests, passes on each of them "
  "once and in order",
  "[body]")
{
  constexpr std::size_t kRequests = 400;
  for (std::size_t sent = 0; sent < kRequests;) {
    std::string requests;
    for (std::size_t i = 0; i < kRequests / 4; ++i, ++sent) {
      requests +=
        "GET /" + std::to_string(sent) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    m_caller.Write(requests);
    for (std::size_t answered = m_requests.size(); answered < sent;
         ++answered) {
      ReadUntil(answered + 1);
      m_requests[answered]->AnswerWhole({ 200, {}, std::nullopt }, "own");
    }
  }
  REQUIRE(m_requests.size() == kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    CHECK(m_requests[i]->Head().target == "/" + std::to_string(i));
  }
}

/// Guards against a connection that is neither read nor closed: the answer of
/// the request whose body is refused has been written before.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, body turns out malformed after the answer was "
                 "written, closes the connection")
{
  m_caller.Write("POST /up HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n");
  ReadUntil(1);
  AnswerLast(); // Before the end of the body.
  m_caller.Write("no chunk\r\n\r\n");
  const TimePoint end = Clock::now() + std::chrono::seconds(3);
  while (Clock::now() < end) {
    m_io.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(m_context.unfinished_requests == 0);
  m_caller.ReadUntil("own");
  CHECK(m_caller.IsClosed());
}

} // namespace
} // namespace sapphirelane
