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
    StartSession();
  }

  void StartSession()
  {
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

  /// Answers a request and lets the session write until a number is unfinished.
  void Answer(std::size_t aRequest, std::size_t aUnfinished)
  {
    m_requests[aRequest]->AnswerWhole({ 200, {}, std::nullopt }, "own");
    while (m_context.unfinished_requests > aUnfinished) {
      RunOne();
    }
  }

  /// @return Whether the next answer that the caller gets announces the close.
  bool NextAnswerCloses()
  {
    const std::string answer = m_caller.ReadUntil("own");
    REQUIRE(answer.find(" 200 ") != std::string::npos);
    return answer.find("Connection: close") != std::string::npos;
  }

  /// Lets the session read all that has arrived.
  void ReadAll() { m_io.poll(); }

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

/// Guards against a caller that is never told to leave, as it always has one
/// more request outstanding, and is cut off at the end of a planned stop.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops and a caller always has one "
                 "more request outstanding, passes on none of them and closes "
                 "with the last answer",
                 "[stop]")
{
  Send("/1");
  Send("/2");
  ReadUntil(2);
  m_context.close_after_response = true;
  Send("/3");
  ReadAll();
  CHECK(m_requests.size() == 2);
  Answer(0, 1);
  CHECK_FALSE(NextAnswerCloses());
  Send("/4");
  ReadAll();
  CHECK(m_requests.size() == 2);
  Answer(1, m_requests.size() - 2);
  CHECK(NextAnswerCloses());
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against the same on a connection without a pending request.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops and an idle caller sends two "
                 "requests, passes on the first and closes with its answer",
                 "[stop]")
{
  m_context.close_after_response = true;
  Send("/1");
  Send("/2");
  ReadUntil(1);
  ReadAll();
  REQUIRE(m_requests.size() == 1);
  Answer(0, 0);
  CHECK(NextAnswerCloses());
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against requests that take the places of answered ones.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops while the pipeline is full, "
                 "closes with the last answer of those passed on",
                 "[stop]")
{
  constexpr std::size_t kPipelined = 32;
  for (std::size_t sent = 0; sent < kPipelined + 8; ++sent) {
    Send("/" + std::to_string(sent));
  }
  ReadUntil(kPipelined);
  m_context.close_after_response = true;
  for (std::size_t i = 0; i < kPipelined; ++i) {
    Answer(i, kPipelined - 1 - i);
    CHECK(NextAnswerCloses() == (i + 1 == kPipelined));
  }
  CHECK(m_requests.size() == kPipelined);
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against a body that is cut short because no request is read after it.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops while a body is received, "
                 "receives all of it and closes with its answer",
                 "[stop]")
{
  const std::string body = MakeText(3000);
  m_caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n" +
                 body.substr(0, 1000));
  ReadUntil(1);
  m_context.close_after_response = true;
  m_session->CheckTimeouts(m_now);
  m_caller.Write(body.substr(1000));
  Send("/2");
  CHECK(ReadBody(body.size()) == body);
  ReadAll();
  CHECK(m_requests.size() == 1);
  CHECK(m_requests[0]->RequestProgress().complete);
  Answer(0, 0);
  CHECK(NextAnswerCloses());
}

/// Guards against an answer before the end of a body that leaves the caller on
/// a connection that ends unannounced.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops and the answer comes before "
                 "the end of a body, announces the close and closes after "
                 "the body",
                 "[stop]")
{
  m_caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n"
                 "Expect: 100-continue\r\n\r\n");
  ReadUntil(1);
  m_context.close_after_response = true;
  m_caller.Write(MakeText(1000));
  ReadAll();
  Answer(0, 0);
  m_caller.ReadUntil("100 Continue\r\n\r\n");
  CHECK(NextAnswerCloses());
  m_session->CheckTimeouts(Clock::now() + std::chrono::minutes(1));
  CHECK(m_session->IsOpen());
  m_caller.Write(MakeText(2000));
  Send("/2");
  ReadAll();
  CHECK(m_requests.size() == 1);
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against a connection that is closed without a word, as the answer
/// that is under way can no longer announce it.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops after the head of an answer "
                 "was written, closes with the answer to the next request",
                 "[stop]")
{
  Send("/1");
  ReadUntil(1);
  m_requests[0]->Answer({ 200, {}, std::nullopt });
  m_requests[0]->UpstreamWrite("half", 4);
  ReadAll();
  CHECK(m_caller.ReadUntil("half").find("Connection: close") ==
        std::string::npos);
  m_context.close_after_response = true;
  Send("/2");
  Send("/3");
  ReadUntil(2);
  ReadAll();
  REQUIRE(m_requests.size() == 2);
  m_requests[0]->UpstreamFinish();
  Answer(1, 0);
  m_caller.ReadUntil("0\r\n\r\n");
  CHECK(NextAnswerCloses());
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against a 408 for a request that counts as not read.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops while the head of a request "
                 "behind another is incomplete, does not reject it",
                 "[stop]")
{
  Send("/1");
  m_caller.Write("GET /2 HTTP/1.1\r\n");
  ReadUntil(1);
  ReadAll();
  m_context.close_after_response = true;
  m_session->CheckTimeouts(Clock::now() + std::chrono::minutes(1));
  CHECK(m_context.unfinished_requests == 1);
  Answer(0, 0);
  CHECK(NextAnswerCloses());
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Guards against an answer without a body that does not announce the close.
TEST_CASE_METHOD(CallerSessionFixture,
                 "CallerSession, listener stops and a caller has pipelined "
                 "HEAD requests, closes with the last answer",
                 "[stop]")
{
  const std::string head = "HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n";
  m_caller.Write(head + head);
  ReadUntil(2);
  m_context.close_after_response = true;
  m_caller.Write(head);
  ReadAll();
  CHECK(m_requests.size() == 2);
  Answer(0, 1);
  CHECK(m_caller.ReadUntil("\r\n\r\n").find("close") == std::string::npos);
  Answer(1, m_requests.size() - 2);
  CHECK(m_caller.ReadUntil("\r\n\r\n").find("close") != std::string::npos);
  CHECK(m_caller.ReadUntil("never").empty());
}

/// Sessions one after the other, whose connections are broken off.
class BrokenSessionFixture : public CallerSessionFixture
{
protected:
  /// Replaces the caller, and its session, by a new one.
  void Reconnect()
  {
    m_caller = RawConnection::Connect(
      "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    m_io.restart(); // It stops once the last session has closed.
    StartSession();
    m_requests.clear();
    m_attempt.reset();
  }

  /// Has the upstream send a head and a part of a body.
  void AnswerInPart(const std::optional<std::uint64_t>& aLength)
  {
    m_requests.front()->Answer({ 200, {}, aLength });
    m_requests.front()->UpstreamWrite("half", 4);
  }

  /// Lets the session run until it has closed its connection.
  void RunUntilClosed()
  {
    while (m_session->IsOpen()) {
      RunOne();
    }
  }

  /// @return How the body of the last request ends for an attempt.
  StreamResult EndOfBody()
  {
    std::array<char, 64> bytes{};
    std::size_t read = 0;
    return m_requests.back()->UpstreamRead(
      *m_attempt, bytes.data(), bytes.size(), read);
  }

  static constexpr std::uint64_t kLength = 8; ///< Of a whole body.
};

/// Guards against a part of an answer that looks whole to its caller.
TEST_CASE_METHOD(BrokenSessionFixture,
                 "CallerSession, answer is broken off behind its first part, "
                 "ends without the end of the answer",
                 "[reset]")
{
  const std::string next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const char* field : { "", "Connection: close\r\n" }) {
    for (const std::optional<std::uint64_t> length :
         { std::optional<std::uint64_t>(), std::make_optional(kLength) }) {
      INFO("field \"" << field << "\", length " << length.value_or(0));
      Reconnect();
      const bool closes = *field != '\0';
      m_caller.Write("GET /x HTTP/1.1\r\nHost: a\r\n" + std::string(field) +
                     "\r\n" + (closes ? "" : next));
      ReadUntil(closes ? 1 : 2);
      m_requests.back()->CallerFinish();
      AnswerInPart(length);
      ReadAll();
      const std::string start = m_caller.ReadUntil("half");
      CHECK(start.find("HTTP/1.1 200 OK\r\n") == 0);
      const std::string framing =
        length ? "Content-Length: 8\r\n" : "Transfer-Encoding: chunked\r\n";
      CHECK(start.find(framing) != std::string::npos);
      if (!closes) {
        m_requests.back()->AnswerWhole({ 200, {}, std::nullopt }, "own");
      }
      m_requests.front()->UpstreamBreak();
      RunUntilClosed();
      const std::string rest = m_caller.ReadUntil("never");
      CHECK(rest == (length ? "" : "\r\n")); // The end of the chunk.
    }
  }
}

TEST_CASE_METHOD(BrokenSessionFixture,
                 "CallerSession, answer is broken off before its head was "
                 "written, ends without an answer",
                 "[reset]")
{
  for (const std::optional<std::uint64_t> length :
       { std::optional<std::uint64_t>(), std::make_optional(kLength) }) {
    Reconnect();
    Send("/x");
    ReadUntil(1);
    AnswerInPart(length);
    m_requests.front()->UpstreamBreak();
    RunUntilClosed();
    CHECK(m_caller.ReadUntil("never").empty());
  }
}

/// Guards against answers that end with their connection, which callers could
/// not tell from broken ones.
TEST_CASE_METHOD(BrokenSessionFixture,
                 "CallerSession, request in HTTP/1.0, is refused with a length",
                 "[reset]")
{
  m_caller.Write("GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
  RunOne();
  ReadAll();
  const std::string answer = m_caller.ReadUntil("never");
  CHECK(answer.find("HTTP/1.1 505 ") == 0);
  CHECK(answer.find("Content-Length: ") != std::string::npos);
  CHECK(m_requests.empty());
}

/// Guards against a part of a request's body that looks whole to an endpoint.
TEST_CASE_METHOD(BrokenSessionFixture,
                 "CallerSession, caller resets its connection within a body, "
                 "never ends the body",
                 "[reset]")
{
  for (const char* start : { "Content-Length: 8\r\n\r\nhalf",
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "4\r\nhalf\r\n" }) {
    // A write of the answer may meet the reset in place of the read.
    for (const bool answered : { false, true }) {
      INFO(start << ", answered " << answered);
      Reconnect();
      m_caller.Write(std::string("POST /x HTTP/1.1\r\nHost: a\r\n") + start);
      ReadUntil(1);
      CHECK(ReadBody(4) == "half");
      CHECK(EndOfBody() == StreamResult::Wait);
      m_caller.Reset();
      if (answered) {
        AnswerInPart(std::nullopt);
      }
      RunUntilClosed();
      CHECK(EndOfBody() == StreamResult::Broken);
    }
  }
}

} // namespace
} // namespace sapphirelane
