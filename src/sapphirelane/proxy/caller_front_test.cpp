#include "sapphirelane/proxy/caller_front.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>
#include <vector>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/proxy/loopback.h"

namespace sapphirelane {
namespace {

/// Listener whose requests are passed to the test, which responds to them.
class ListenerFixture
{
protected:
  ListenerFixture()
    : m_requests(100)
  {
    // Binds a free port and releases it for the listener.
    const std::string address = RawListener().Address();
    CallerFrontOptions options;
    options.port = static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
    options.limits.body_bytes = 100;
    m_address = address;
    m_listener = MakeCallerFront(options, [this](ExchangePtr aExchange) {
      return m_requests.TryPush(std::move(aExchange));
    });
  }

  ExchangePtr TakeRequest()
  {
    const auto exchange = m_requests.TakeOne(std::chrono::seconds(20));
    REQUIRE(exchange);
    return *exchange;
  }

  static void Answer(const ExchangePtr& aExchange, const std::string& aBody)
  {
    aExchange->AnswerWhole({ 200, {}, std::nullopt }, aBody);
  }

  static std::string Get(const std::string& aPath)
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  std::string m_address;
  BoundedRing<ExchangePtr> m_requests;
  std::unique_ptr<CallerFront> m_listener;
};

TEST_CASE_METHOD(
  ListenerFixture,
  "CallerListener, pipelined requests, are processed concurrently "
  "and answered in order")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write(Get("/1") + Get("/2") + Get("/3"));
  const ExchangePtr first = TakeRequest();
  const ExchangePtr second = TakeRequest();
  const ExchangePtr third =
    TakeRequest(); // All three arrive before any response.
  Answer(third, "three");
  Answer(second, "two");
  Answer(first, "one");
  caller.ReadUntil("one");
  caller.ReadUntil("two");
  CHECK(caller.ReadUntil("three").find("three") != std::string::npos);
}

TEST_CASE_METHOD(
  ListenerFixture,
  "CallerListener, header name with a space before the colon, is "
  "answered 400 and not dispatched")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nGET ");
  CHECK(caller.ReadUntil("\r\n").find(" 400 ") != std::string::npos);
  CHECK_FALSE(m_requests.TakeOne(Duration(0)));
}

/// Start of a request with a body in chunks.
std::string
PostChunked(const std::string& aPath)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Guards against a trailer or extension of a caller that ends the daemon.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, framing of a body is above the limit, "
                 "answers 400 and serves other callers")
{
  const std::string junk(70000, 'z');
  for (const std::string& body : { "1\r\nx\r\n0\r\nx:" + junk + "\r\n\r\n",
                                   "1;x=" + junk + "\r\nx\r\n0\r\n\r\n",
                                   "1\r\nx\r\n0;x=" + junk + "\r\n\r\n" }) {
    RawConnection caller = RawConnection::Connect(m_address);
    caller.Write(PostChunked("/1") + body);
    CHECK(caller.ReadUntil("\r\n").find(" 400 ") != std::string::npos);
    TakeRequest();
  }
  RawConnection other = RawConnection::Connect(m_address);
  other.Write(Get("/2"));
  Answer(TakeRequest(), "two");
  CHECK(other.ReadUntil("two").find(" 200 ") != std::string::npos);
}

/// Guards against a connection that is held until the request's deadline.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, framing of a body without an end, answers "
                 "400")
{
  for (const char* body : { "1;x=", "0\r\nx:" }) {
    RawConnection caller = RawConnection::Connect(m_address);
    caller.Write(PostChunked("/1") + body + std::string(200000, 'z'));
    CHECK(caller.ReadUntil("\r\n").find(" 400 ") != std::string::npos);
    TakeRequest();
  }
}

/// Guards against a permitted header that ends the daemon.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, header of 70,000 bytes below the limit, is "
                 "passed on")
{
  CallerLimits limits;
  limits.head_bytes = 131072;
  m_listener->SetLimits(limits);
  const std::string value(70000, 'z');
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + value + "\r\n\r\n");
  const ExchangePtr request = TakeRequest();
  const std::string* header = FindHeader(request->Head().headers, "X");
  REQUIRE(header != nullptr);
  CHECK(*header == value);
}

/// Guards against a permitted head that is too large to be read as a whole.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, head of 200,000 bytes below the limit, is "
                 "passed on")
{
  CallerLimits limits;
  limits.head_bytes = 262144;
  limits.head_time = Milliseconds(3000);
  m_listener->SetLimits(limits);
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(200000, 'z') +
               "\r\n\r\n");
  Answer(TakeRequest(), "one");
  CHECK(caller.ReadUntil("one").find(" 200 ") != std::string::npos);
}

TEST_CASE_METHOD(
  ListenerFixture,
  "CallerListener, caller disconnects with pipelined requests, is "
  "reported as gone")
{
  ExchangePtr first;
  {
    RawConnection caller = RawConnection::Connect(m_address);
    caller.Write(Get("/1") + Get("/2"));
    first = TakeRequest();
    TakeRequest();
  }
  while (!first->IsCallerGone()) {
    std::this_thread::yield();
  }
  CHECK(first->IsCallerGone());
}

TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, truncated response, does not look complete")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write(Get("/1"));
  const ExchangePtr first = TakeRequest();
  first->Answer({ 200, {}, std::nullopt });
  first->UpstreamWrite("half", 4);
  caller.ReadUntil("half");
  first->UpstreamBreak();
  CHECK(caller.ReadUntil("0\r\n\r\n").find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, shutting down, answers the requests it has "
                 "read and then closes the connection")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write(Get("/1") + Get("/2"));
  const ExchangePtr first = TakeRequest();
  const ExchangePtr second = TakeRequest();
  m_listener->CloseAfterAnswers();
  CHECK(m_listener->Open() == 2); // The call above has taken effect.
  Answer(first, "one");
  CHECK(caller.ReadUntil("one").find("Connection: close") == std::string::npos);
  Answer(second, "two");
  CHECK(caller.ReadUntil("two").find("Connection: close") != std::string::npos);
}

/// Guards against new connections that outlive a planned stop, while they are
/// still accepted until the load balancer has noticed.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, shutting down, passes on one request of a "
                 "new connection and closes with its answer")
{
  m_listener->CloseAfterAnswers();
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write(Get("/1") + Get("/2"));
  const ExchangePtr first = TakeRequest();
  CHECK(first->Head().target == "/1");
  CHECK(m_listener->Open() == 1);
  Answer(first, "one");
  CHECK(caller.ReadUntil("one").find("Connection: close") != std::string::npos);
  CHECK(caller.ReadUntil("never").empty());
  CHECK_FALSE(m_requests.TakeOne(Duration(0)));
}

TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, body above the limit, is answered 413")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" +
               std::string(200, 'x'));
  TakeRequest();
  CHECK(caller.ReadUntil("\r\n").find(" 413 ") != std::string::npos);
}

TEST_CASE_METHOD(
  ListenerFixture,
  "CallerListener, response before the request body has arrived, "
  "discards the rest and reads the next request")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf");
  Answer(TakeRequest(), "refused");
  caller.ReadUntil("refused");
  caller.Write("rest" + Get("/2"));
  const ExchangePtr second = TakeRequest();
  CHECK(second->Head().target == "/2");
}

/// Listener whose thread the test can hold up in the handler of a request.
class HeldListenerFixture : public ListenerFixture
{
protected:
  HeldListenerFixture()
  {
    m_listener.reset();
    CallerFrontOptions options;
    options.port = static_cast<std::uint16_t>(
      std::stoi(m_address.substr(m_address.rfind(':') + 1)));
    options.first_request_timeout = std::chrono::minutes(1);
    m_listener = MakeCallerFront(options, [this](ExchangePtr aExchange) {
      if (aExchange->Head().target == "/hold") {
        m_held.set_value();
        m_release.get_future().wait();
      }
      return m_requests.TryPush(std::move(aExchange));
    });
  }

  std::promise<void> m_held;
  std::promise<void> m_release;
};

/// Guards against requests that are cut off at a planned stop: the kernel has
/// accepted their connections, but the listener closes before it takes them.
TEST_CASE_METHOD(HeldListenerFixture,
                 "CallerListener, stops listening while connections wait to be "
                 "taken, answers their requests")
{
  RawConnection holder = RawConnection::Connect(m_address);
  holder.Write(Get("/hold"));
  m_held.get_future().wait();
  std::vector<RawConnection> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(RawConnection::Connect(m_address));
    callers.back().Write(Get("/" + std::to_string(i)));
  }
  m_listener->StopListening();
  m_release.set_value();
  Answer(TakeRequest(), "held");
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const auto exchange = m_requests.TakeOne(std::chrono::seconds(5));
    REQUIRE(exchange);
    Answer(*exchange, "own");
  }
  for (RawConnection& caller : callers) {
    CHECK(caller.ReadUntil("own").find("200") != std::string::npos);
  }
}

TEST_CASE_METHOD(HeldListenerFixture,
                 "CallerListener, stops listening right after a caller has "
                 "connected, waits for its first request and answers it")
{
  RawConnection caller = RawConnection::Connect(m_address);
  RawConnection known = RawConnection::Connect(m_address);
  known.Write(Get("/known"));
  Answer(TakeRequest(), "known"); // Both connections are taken.
  known.ReadUntil("known");
  m_listener->StopListening();
  while (m_listener->Open() > 1) {
    std::this_thread::yield(); // The other response is not yet written.
  }
  CHECK(m_listener->Open() == 1);
  caller.Write(Get("/1"));
  const auto exchange = m_requests.TakeOne(std::chrono::seconds(5));
  REQUIRE(exchange);
  Answer(*exchange, "own");
  CHECK(caller.ReadUntil("own").find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(HeldListenerFixture,
                 "CallerListener, stops listening while kept connections have "
                 "requests that it has not read, counts and answers them")
{
  constexpr int kKept = 20;
  // The first read takes a part of such a request.
  const std::string body(40000, 'x');
  std::vector<RawConnection> kept;
  for (int i = 0; i < kKept; ++i) {
    kept.push_back(RawConnection::Connect(m_address));
    kept.back().Write(Get("/first"));
    Answer(TakeRequest(), "first");
    kept.back().ReadUntil("first");
  }
  RawConnection holder = RawConnection::Connect(m_address);
  holder.Write(Get("/hold"));
  m_held.get_future().wait();
  for (int i = 0; i < kKept; ++i) {
    const bool isLarge = i % 2 == 0;
    kept[static_cast<std::size_t>(i)].Write(
      isLarge
        ? "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" +
            body
        : Get("/late"));
  }
  m_listener->StopListening();
  auto open =
    std::async(std::launch::async, [this] { return m_listener->Open(); });
  m_release.set_value();
  CHECK(open.get() == kKept + 1);
  Answer(TakeRequest(), "held");
  for (int i = 0; i < kKept; ++i) {
    const auto exchange = m_requests.TakeOne(std::chrono::seconds(5));
    REQUIRE(exchange);
    Answer(*exchange, "own");
  }
  for (RawConnection& caller : kept) {
    CHECK(caller.ReadUntil("own").find("200") != std::string::npos);
  }
}

TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, stops listening and a caller sends nothing, "
                 "does not wait for it for long")
{
  RawConnection caller = RawConnection::Connect(m_address);
  RawConnection known = RawConnection::Connect(m_address);
  known.Write(Get("/known"));
  Answer(TakeRequest(), "known");
  m_listener->StopListening();
  CHECK(caller.ReadUntil("never").empty()); // It was closed.
  CHECK(m_listener->Open() == 0);
}

/// Guards against a request that is passed on while the daemon ends, as nothing
/// was open before, and is cut off.
TEST_CASE_METHOD(ListenerFixture,
                 "CallerListener, stops listening and nothing is open, passes "
                 "on no request of which a part had come")
{
  RawConnection caller = RawConnection::Connect(m_address);
  caller.Write(Get("/1") + "GET /2 HTTP/1.1\r\n");
  Answer(TakeRequest(), "one"); // The part is read with the first request.
  caller.ReadUntil("one");
  m_listener->StopListening();
  while (m_listener->Open() > 0) {
    std::this_thread::yield();
  }
  caller.Write("Host: a\r\n\r\n");
  CHECK(caller.ReadUntil("never").empty());
  CHECK_FALSE(m_requests.TakeOne(Duration(0)));
}

} // namespace
} // namespace sapphirelane
