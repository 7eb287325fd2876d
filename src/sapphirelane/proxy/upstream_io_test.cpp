#include "sapphirelane/proxy/upstream_io.h"

#include <catch2/catch.hpp>

#include <thread>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/proxy/loopback.h"

namespace sapphirelane {
namespace {

class QuietPort : public CallerPort
{
public:
  void Suspend() override {}
  void Resume() override {}
  bool IsClosed() const override { return false; }
};

/// The client of upstreams against an endpoint that writes what a test says.
/// Nothing depends on time: every step waits for the one before.
class UpstreamFixture
{
protected:
  UpstreamFixture()
    : m_events(100)
    , m_io(MakeUpstreamIo({},
                          [this](AttemptEvent aEvent) {
                            m_events.PushWaiting(std::move(aEvent));
                          }))
    , m_thread([this] { m_io->Run(); })
  {
  }

  ~UpstreamFixture()
  {
    m_io->Stop();
    m_thread.join();
  }

  void Start(std::uint64_t aId, bool aHold = true)
  {
    RequestHead head;
    m_exchange = std::make_shared<Exchange>(head, 65536);
    m_exchange->SetPort(std::make_unique<QuietPort>());
    m_exchange->CallerFinish();
    AttemptOrder order;
    order.id = aId;
    order.exchange = m_exchange;
    order.endpoint = "e";
    order.address = m_listener.Address();
    order.method = "GET";
    order.target = "/x";
    order.headers = { { "Id", std::to_string(aId) } };
    order.echo_header = "Id";
    order.echo = std::to_string(aId);
    order.hold = aHold;
    const TimePoint late = Clock::now() + std::chrono::minutes(5);
    order.send_before = late;
    order.deadline = late;
    order.give_up = late;
    m_io->Start(order);
  }

  AttemptEvent Next()
  {
    const auto event = m_events.TakeOne(std::chrono::seconds(20));
    REQUIRE(event);
    return *event;
  }

  static std::string Answer(const std::string& aId, const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nId: " + aId +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  /// Takes the answer's body as its caller would.
  std::string Body()
  {
    std::string body;
    char bytes[256];
    for (;;) {
      std::size_t read = 0;
      const StreamResult result =
        m_exchange->CallerRead(bytes, sizeof bytes, read);
      if (result == StreamResult::Some) {
        body.append(bytes, read);
      } else if (result != StreamResult::Wait) {
        return body;
      } else {
        std::this_thread::yield();
      }
    }
  }

  RawListener m_listener;
  BoundedRing<AttemptEvent> m_events;
  std::unique_ptr<UpstreamIoDuty> m_io;
  std::thread m_thread;
  ExchangePtr m_exchange;
};

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, second answer after the right one, reaches no "
                 "later request")
{
  Start(1);
  RawConnection first = m_listener.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Write(Answer("1", "one"));
  CHECK(Next().head.status == 200);
  CHECK(Next().kept);
  m_io->Accept(1);
  CHECK(Body() == "one");
  // The next request goes out on the kept connection before the second answer
  // to the first one comes in.
  Start(2);
  first.ReadUntil("Id: 2\r\n");
  first.Write(Answer("1", "one more") + Answer("2", "two"));
  CHECK(Next().head.status == 200);
  const AttemptEvent end = Next();
  CHECK(end.whole);
  CHECK_FALSE(end.kept); // Its answers can no longer be told apart surely.
  m_io->Accept(2);
  CHECK(Body() == "two");
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, bytes on an idle connection, drops it")
{
  Start(1);
  RawConnection first = m_listener.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Write(Answer("1", "one"));
  Next();
  CHECK(Next().kept);
  m_io->Accept(1);
  CHECK(Body() == "one");
  first.Write("stray");
  CHECK(first.ReadUntil("never").empty()); // It is closed.
  Start(2);
  RawConnection second = m_listener.Accept();
  second.ReadUntil("Id: 2\r\n");
  second.Write(Answer("2", "two"));
  Next();
  CHECK(Next().whole);
  m_io->Accept(2);
  CHECK(Body() == "two");
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, answer without the echo, keeps no connection")
{
  Start(1);
  RawConnection first = m_listener.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  Next();
  CHECK_FALSE(Next().kept);
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, held answer cut off, reports no head")
{
  Start(1);
  {
    RawConnection first = m_listener.Accept();
    first.ReadUntil("\r\n\r\n");
    first.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf");
  }
  const AttemptEvent end = Next();
  CHECK(end.kind == AttemptEvent::Kind::End);
  CHECK_FALSE(end.whole);
  CHECK(end.sent);
}

TEST_CASE_METHOD(UpstreamFixture, "UpstreamIo, bytes that are no answer, fails")
{
  for (const char* bytes :
       { "HELLO\r\n\r\n", "HTTP/1.1 200 OK\r\nId : 1\r\n\r\n" }) {
    Start(1);
    RawConnection first = m_listener.Accept();
    first.ReadUntil("\r\n\r\n");
    first.Write(bytes);
    CHECK_FALSE(Next().whole);
  }
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, answer without a length, is whole if its "
                 "connection ends")
{
  Start(1);
  {
    RawConnection first = m_listener.Accept();
    first.ReadUntil("\r\n\r\n");
    first.Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  }
  CHECK(Next().head.status == 200);
  CHECK(Next().whole);
  m_io->Accept(1);
  CHECK(Body() == "all of it");
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, nobody listens, has sent nothing")
{
  std::string address;
  {
    const RawListener gone;
    address = gone.Address();
  }
  AttemptOrder order;
  order.id = 1;
  order.exchange = std::make_shared<Exchange>(RequestHead{}, 65536);
  order.exchange->SetPort(std::make_unique<QuietPort>());
  order.address = address;
  order.method = "GET";
  order.target = "/";
  const TimePoint late = Clock::now() + std::chrono::minutes(5);
  order.send_before = late;
  order.deadline = late;
  order.give_up = late;
  m_io->Start(order);
  const AttemptEvent end = Next();
  CHECK_FALSE(end.whole);
  CHECK_FALSE(end.sent);
}

TEST_CASE_METHOD(UpstreamFixture,
                 "UpstreamIo, kept connection found dead, says so")
{
  Start(1);
  {
    RawConnection first = m_listener.Accept();
    first.ReadUntil("\r\n\r\n");
    first.Write(Answer("1", "one"));
    Next();
    Next();
    Start(2);
    first.ReadUntil("Id: 2\r\n");
  } // The endpoint drops the connection with the request unanswered.
  const AttemptEvent end = Next();
  CHECK_FALSE(end.whole);
  CHECK(end.stale);
  CHECK(end.sent); // It may have run, for all that is known.
}

} // namespace
} // namespace sapphirelane
