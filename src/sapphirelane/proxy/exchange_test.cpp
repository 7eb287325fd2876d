#include "sapphirelane/proxy/exchange.h"

#include <catch2/catch.hpp>

#include <array>

namespace sapphirelane {
namespace {

/// Records whether the caller is suspended.
class RecordingConnection : public CallerPort
{
public:
  explicit RecordingConnection(bool& aSuspended)
    : m_suspended(aSuspended)
  {
  }

  void Suspend() override { m_suspended = true; }
  void Resume() override { m_suspended = false; }
  bool IsClosed() const override { return false; }

private:
  bool& m_suspended;
};

class ExchangeFixture
{
protected:
  ExchangeFixture()
  {
    m_exchange.SetPort(std::make_unique<RecordingConnection>(m_suspended));
    m_attempt = m_exchange.AddAttempt([] {});
  }

  std::string UpstreamRead(StreamResult& aResult)
  {
    std::array<char, 64> bytes{};
    std::size_t read = 0;
    aResult =
      m_exchange.UpstreamRead(*m_attempt, bytes.data(), bytes.size(), read);
    return { bytes.data(), read };
  }

  std::string CallerRead(StreamResult& aResult)
  {
    std::array<char, 64> bytes{};
    std::size_t read = 0;
    aResult = m_exchange.CallerRead(bytes.data(), bytes.size(), read);
    return { bytes.data(), read };
  }

  bool m_suspended = false;
  Exchange m_exchange{ RequestHead{}, 8 };
  std::optional<Exchange::AttemptId> m_attempt; ///< See UpstreamRead.
};

TEST_CASE_METHOD(ExchangeFixture,
                 "Exchange, buffer full, suspends the caller until it is read")
{
  CHECK(m_exchange.CallerWrite("0123456789", 10) == 8);
  CHECK(m_exchange.CallerWrite("89", 2) == 0);
  CHECK(m_suspended);
  StreamResult result = StreamResult::Wait;
  CHECK(UpstreamRead(result) == "01234567");
  CHECK_FALSE(m_suspended);
}

TEST_CASE_METHOD(ExchangeFixture,
                 "Exchange, response aborted, never reads as complete")
{
  m_exchange.Answer({ 200, {}, std::nullopt });
  m_exchange.UpstreamWrite("half", 4);
  m_exchange.UpstreamBreak();
  StreamResult result = StreamResult::Wait;
  CHECK(CallerRead(result) == "half");
  CallerRead(result);
  CHECK(result == StreamResult::Broken);
}

TEST_CASE_METHOD(
  ExchangeFixture,
  "Exchange, caller disconnects within the body, aborts the request")
{
  m_exchange.CallerWrite("half", 4);
  m_exchange.CallerLeave();
  StreamResult result = StreamResult::Wait;
  CHECK(UpstreamRead(result) == "half");
  UpstreamRead(result);
  CHECK(result == StreamResult::Broken);
}

TEST_CASE_METHOD(
  ExchangeFixture,
  "Exchange, second attempt, reads the body from its start; that "
  "of a large one cannot be")
{
  m_exchange.CallerWrite("0123", 4);
  StreamResult result = StreamResult::Wait;
  CHECK(UpstreamRead(result) == "0123");
  m_attempt = m_exchange.AddAttempt([] {});
  REQUIRE(m_attempt);
  CHECK(UpstreamRead(result) == "0123");
  m_exchange.CallerWrite("45678", 5);
  CHECK(UpstreamRead(result) == "45678");
  CHECK_FALSE(m_exchange.AddAttempt([] {}));
}

/// Guards against an endpoint's bytes behind a whole answer.
TEST_CASE_METHOD(ExchangeFixture,
                 "Exchange, upstream answers a request that was refused, keeps "
                 "the refusal")
{
  m_exchange.AnswerWhole({ 413, {}, std::nullopt }, "refused");
  CHECK_FALSE(m_exchange.Answer({ 200, {}, std::nullopt }));
  CHECK(m_exchange.UpstreamWrite("served", 6));
  m_exchange.UpstreamBreak();
  StreamResult result = StreamResult::Wait;
  CHECK(CallerRead(result) == "refused");
  CallerRead(result);
  CHECK(result == StreamResult::End);
}

/// Guards against a body that is cut by a refusal and looks whole.
TEST_CASE_METHOD(ExchangeFixture,
                 "Exchange, answered before the request body is read, never "
                 "reads it as complete",
                 "[body]")
{
  m_exchange.CallerWrite("half", 4);
  StreamResult result = StreamResult::Wait;
  CHECK(UpstreamRead(result) == "half");
  m_exchange.CallerWrite("rest", 4);
  m_exchange.AnswerWhole({ 504, {}, std::nullopt }, "");
  m_exchange.CallerFinish();
  CHECK(UpstreamRead(result).empty());
  CHECK(result == StreamResult::Broken);
}

TEST_CASE_METHOD(ExchangeFixture, "Exchange, second response, keeps the first")
{
  CHECK(m_exchange.AnswerWhole({ 503, {}, std::nullopt }, "first"));
  CHECK_FALSE(m_exchange.AnswerWhole({ 200, {}, std::nullopt }, "second"));
  CHECK(m_exchange.CallerTakeHead()->status == 503);
}

} // namespace
} // namespace sapphirelane
