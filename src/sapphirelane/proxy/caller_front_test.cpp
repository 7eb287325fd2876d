#include "sapphirelane/proxy/caller_front.h"

#include <catch2/catch.hpp>

#include <thread>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/proxy/loopback.h"

namespace sapphirelane {
namespace {

/// The callers' front with requests handed to the test, which answers them.
class FrontFixture
{
protected:
  FrontFixture()
    : m_requests(100)
  {
    // A port that was free a moment ago.
    const std::string address = RawListener().Address();
    CallerFrontOptions options;
    options.port = static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
    options.limits.body_bytes = 100;
    m_address = address;
    m_front = MakeCallerFront(options, [this](ExchangePtr aExchange) {
      return m_requests.TryPush(std::move(aExchange));
    });
  }

  ExchangePtr Next()
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
  std::unique_ptr<CallerFront> m_front;
};

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, pipelined requests, are worked on together and "
                 "answered in order")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write(Get("/1") + Get("/2") + Get("/3"));
  const ExchangePtr first = Next();
  const ExchangePtr second = Next();
  const ExchangePtr third = Next(); // None has its answer yet.
  Answer(third, "three");
  Answer(second, "two");
  Answer(first, "one");
  caller.ReadUntil("one");
  caller.ReadUntil("two");
  CHECK(caller.ReadUntil("three").find("three") != std::string::npos);
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, header name with a space before the colon, is "
                 "answered 400 and goes nowhere")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nGET ");
  CHECK(caller.ReadUntil("\r\n").find(" 400 ") != std::string::npos);
  CHECK_FALSE(m_requests.TakeOne(Duration(0)));
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, caller leaves with requests behind its own, is "
                 "seen to be gone")
{
  ExchangePtr first;
  {
    RawConnection caller = RawConnection::To(m_address);
    caller.Write(Get("/1") + Get("/2"));
    first = Next();
    Next();
  }
  while (!first->IsCallerGone()) {
    std::this_thread::yield();
  }
  CHECK(first->IsCallerGone());
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, answer broken off, does not look whole")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write(Get("/1"));
  const ExchangePtr first = Next();
  first->Answer({ 200, {}, std::nullopt });
  first->UpstreamWrite("half", 4);
  caller.ReadUntil("half");
  first->UpstreamBreak();
  CHECK(caller.ReadUntil("0\r\n\r\n").find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, stopping, answers what it has read and then "
                 "ends the connection")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write(Get("/1") + Get("/2"));
  const ExchangePtr first = Next();
  const ExchangePtr second = Next();
  m_front->CloseAfterAnswers();
  CHECK(m_front->Open() == 2); // The front has taken the order by now.
  Answer(first, "one");
  CHECK(caller.ReadUntil("one").find("Connection: close") == std::string::npos);
  Answer(second, "two");
  CHECK(caller.ReadUntil("two").find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, body above the limit, is answered 413")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" +
               std::string(200, 'x'));
  Next();
  CHECK(caller.ReadUntil("\r\n").find(" 413 ") != std::string::npos);
}

TEST_CASE_METHOD(FrontFixture,
                 "CallerFront, answer before the body has come, takes the rest "
                 "away and goes on")
{
  RawConnection caller = RawConnection::To(m_address);
  caller.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf");
  Answer(Next(), "refused");
  caller.ReadUntil("refused");
  caller.Write("rest" + Get("/2"));
  const ExchangePtr second = Next();
  CHECK(second->Head().target == "/2");
}

} // namespace
} // namespace sapphirelane
