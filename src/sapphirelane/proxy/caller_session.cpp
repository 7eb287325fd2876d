#include "sapphirelane/proxy/caller_session.h"

#include <limits>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include "sapphirelane/proxy/head_scan.h"
#include "sapphirelane/proxy/refusal.h"

namespace sapphirelane {

namespace http = boost::beast::http;

namespace {

/// Requests of one connection that are worked on at the same time.
constexpr std::size_t kMostTurns = 32;

/// Bytes asked of the socket at once.
constexpr std::size_t kReadBlock = 16384;

/// Bytes of an answer that are written at once.
constexpr std::size_t kWriteBlock = 16384;

/// Bytes that may wait unparsed; beyond them the socket is not read.
constexpr std::size_t kMostUnparsed = 131072;

/// Longest wait for the caller's end after the last answer; a few round trips.
constexpr Milliseconds kLinger{ 2000 };

/// Lets another thread wake a session that waits for its answer.
class SessionPort : public CallerPort
{
public:
  SessionPort(std::function<void()> aWake)
    : m_wake(std::move(aWake))
  {
  }

  void Suspend() override {}
  void Resume() override { m_wake(); }
  bool IsClosed() const override { return false; } // The session tells itself.

private:
  std::function<void()> m_wake;
};

bool
HasNoBody(int aStatus)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

std::string
ReasonOf(int aStatus)
{
  return std::string(http::obsolete_reason(static_cast<http::status>(aStatus)));
}

} // namespace

CallerSession::CallerSession(Socket aSocket, SessionContext& aContext)
  : m_socket(std::move(aSocket))
  , m_context(aContext)
{
}

void
CallerSession::Start(TimePoint aNow)
{
  m_lastActive = aNow;
  Read();
}

void
CallerSession::CheckTime(TimePoint aNow)
{
  if (!m_open) {
    return;
  }
  const SessionLimits& limits = m_context.limits;
  if (m_headPending && aNow - m_headBegun > limits.head_time) {
    RefuseBytes(408, "the head did not come in time");
    return;
  }
  const bool waits = !m_turns.empty() || m_incoming || m_headPending;
  const Duration patience = m_lingers ? Duration(kLinger) : limits.idle;
  if ((!waits || m_lingers) && aNow - m_lastActive > patience) {
    Close();
  }
}

void
CallerSession::CloseIfIdle()
{
  if (m_open && m_turns.empty() && !m_incoming && !m_headPending) {
    CloseGently();
  }
}

void
CallerSession::Abort()
{
  Close();
}

void
CallerSession::Read()
{
  if (!m_open || m_reading || m_input.size() >= kMostUnparsed) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    m_input.prepare(kReadBlock),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void
CallerSession::OnRead(const boost::system::error_code& aError,
                      std::size_t aSize)
{
  m_reading = false;
  if (!m_open) {
    return;
  }
  if (aError) {
    Close(); // The caller has gone, or its connection is broken.
    return;
  }
  if (m_lingers || m_endsInput) {
    m_input.clear(); // Nobody will look at it.
    Read();
    return;
  }
  m_input.commit(aSize);
  m_lastActive = Clock::now();
  Parse();
  Read();
}

void
CallerSession::Parse()
{
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  bool more = true;
  while (more && m_open && !m_endsInput) {
    more = m_incoming ? ParseBody() : ParseHead();
  }
  m_parsing = false;
  if (m_open) {
    Pump();
  }
}

bool
CallerSession::ParseHead()
{
  if (m_input.size() == 0 || m_turns.size() >= kMostTurns) {
    m_headPending = false;
    return false;
  }
  const auto bytes = m_input.data();
  const HeadScan scan =
    ScanHead({ static_cast<const char*>(bytes.data()), bytes.size() });
  const bool large =
    scan.size > m_context.limits.head_bytes ||
    (scan.size == 0 && bytes.size() > m_context.limits.head_bytes);
  if (large) {
    RefuseBytes(431, "the head is above the limit");
    return false;
  }
  if (scan.size == 0) {
    if (!m_headPending) {
      m_headPending = true;
      m_headBegun = m_lastActive;
    }
    return false;
  }
  m_headPending = false;
  if (!scan.fault.empty()) {
    RefuseBytes(400, scan.fault);
    return false;
  }
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(scan.size + 1));
  m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code error;
  m_input.consume(m_parser->put(m_input.data(), error));
  if (error && error != http::error::need_more) {
    RefuseBytes(400, "the head cannot be read: " + error.message());
    return false;
  }
  BeginRequest();
  return m_open;
}

void
CallerSession::BeginRequest()
{
  const auto& message = m_parser->get();
  RequestHead head;
  head.method = std::string(message.method_string());
  head.target = std::string(message.target());
  for (const auto& field : message) {
    head.headers.emplace_back(field.name_string(), field.value());
  }
  constexpr unsigned kHttp11 = 11;
  const bool current = message.version() == kHttp11;
  const bool continues =
    absl::EqualsIgnoreCase(
      absl::string_view(message[http::field::expect].data(),
                        message[http::field::expect].size()),
      "100-continue") &&
    m_turns.empty();
  const bool closes = !m_parser->keep_alive();
  m_incoming = AddTurn(std::move(head));
  m_incoming->closes = closes;
  m_bodyBytes = 0;
  m_endsInput = closes && m_parser->is_done();
  if (!current) {
    m_incoming->closes = true;
    Refuse(*m_incoming->exchange,
           { 505, Outcome::NotRun, "version", "HTTP/1.1 is required" },
           m_context.dialect);
  } else if (!m_context.on_request(m_incoming->exchange)) {
    Refuse(*m_incoming->exchange,
           { 503, Outcome::NotRun, "busy", "this host is full" },
           m_context.dialect);
  } else if (continues && !m_parser->is_done()) {
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    Write(false);
  }
  if (m_parser->is_done()) {
    EndRequest();
  }
}

CallerSession::TurnPtr
CallerSession::AddTurn(RequestHead aHead)
{
  aHead.id = m_context.next_request++;
  aHead.arrived = Clock::now();
  auto turn = std::make_shared<Turn>();
  turn->bodyless = aHead.method == "HEAD";
  turn->exchange =
    std::make_shared<Exchange>(std::move(aHead), m_context.limits.buffer_bytes);
  const auto executor = m_socket.get_executor();
  turn->exchange->SetPort(
    std::make_unique<SessionPort>([executor, weak = weak_from_this()] {
      boost::asio::post(executor, [weak] {
        if (auto self = weak.lock()) {
          self->Parse(); // Goes on with the body as well as with the answer.
          self->Read();
        }
      });
    }));
  m_turns.push_back(turn);
  ++m_context.open;
  return turn;
}

bool
CallerSession::ParseBody()
{
  if (!GiveBody()) {
    return false;
  }
  if (m_parser->is_done()) {
    EndRequest();
    return true;
  }
  if (m_input.size() == 0) {
    return false;
  }
  boost::system::error_code error;
  const std::size_t used = m_parser->put(m_input.data(), error);
  m_input.consume(used);
  m_body += std::exchange(m_parser->get().body(), std::string());
  m_bodyBytes += m_body.size();
  if (error && error != http::error::need_more) {
    m_incoming->exchange->CallerBreak();
    m_incoming->closes = true;
    m_endsInput = true;
    Refuse(*m_incoming->exchange,
           { 400, Outcome::Unknown, "malformed", "the body cannot be read" },
           m_context.dialect);
    m_incoming.reset();
    return false;
  }
  if (m_bodyBytes > m_context.limits.body_bytes) {
    Refuse(
      *m_incoming->exchange,
      { 413, Outcome::Unknown, "too-large", "the body grew above the limit" },
      m_context.dialect);
    m_incoming->exchange->CallerBreak();
    m_incoming->closes = true;
    m_endsInput = true;
    m_incoming.reset();
    return false;
  }
  return GiveBody() && (used > 0 || m_parser->is_done());
}

bool
CallerSession::GiveBody()
{
  while (!m_body.empty()) {
    const std::size_t taken =
      m_incoming->exchange->CallerWrite(m_body.data(), m_body.size());
    if (taken == 0) {
      return false; // The session is woken when there is room.
    }
    m_body.erase(0, taken);
  }
  return true;
}

void
CallerSession::EndRequest()
{
  m_incoming->exchange->CallerFinish();
  m_endsInput = m_endsInput || m_incoming->closes;
  m_incoming.reset();
  m_parser.reset();
}

void
CallerSession::RefuseBytes(int aStatus, const std::string& aDetail)
{
  m_endsInput = true;
  m_headPending = false;
  m_input.clear();
  auto turn = AddTurn({});
  turn->closes = true;
  turn->exchange->CallerFinish();
  Refuse(*turn->exchange,
         { aStatus, Outcome::NotRun, "malformed", aDetail },
         m_context.dialect);
  Pump();
}

void
CallerSession::Pump()
{
  if (m_writing || !m_open || m_turns.empty()) {
    return;
  }
  const bool done = FillOutput(*m_turns.front());
  if (!m_open) {
    return;
  }
  if (!m_output.empty()) {
    Write(done);
  } else if (done) {
    EndTurn();
  }
}

/// @return True if the turn's answer is whole in the output.
bool
CallerSession::FillOutput(Turn& aTurn)
{
  if (!aTurn.head_written) {
    const auto head = aTurn.exchange->CallerTakeHead();
    if (!head) {
      return false;
    }
    WriteHead(aTurn, *head);
  }
  std::string block(kWriteBlock, '\0');
  while (m_output.size() < kWriteBlock) {
    std::size_t size = 0;
    const StreamResult result =
      aTurn.exchange->CallerRead(block.data(), block.size(), size);
    switch (result) {
      case StreamResult::Some:
        if (aTurn.bodyless) {
          break;
        }
        if (aTurn.chunked) {
          absl::StrAppend(&m_output, absl::Hex(size), "\r\n");
        }
        m_output.append(block, 0, size);
        if (aTurn.chunked) {
          m_output += "\r\n";
        }
        break;
      case StreamResult::End:
        if (aTurn.chunked) {
          m_output += "0\r\n\r\n";
        }
        return true;
      case StreamResult::Wait:
        return false;
      case StreamResult::Broken:
        Close(); // The answer must not look whole.
        return false;
    }
  }
  return false;
}

void
CallerSession::WriteHead(Turn& aTurn, const ResponseHead& aHead)
{
  aTurn.head_written = true;
  // Requests that were read already are answered before the connection ends.
  const bool last = m_turns.size() == 1 && !m_incoming;
  if (m_context.closing && last) {
    aTurn.closes = true;
    m_endsInput = true;
  }
  absl::StrAppend(
    &m_output, "HTTP/1.1 ", aHead.status, " ", ReasonOf(aHead.status), "\r\n");
  for (const Header& header : aHead.headers) {
    absl::StrAppend(&m_output, header.first, ": ", header.second, "\r\n");
  }
  aTurn.bodyless = aTurn.bodyless || HasNoBody(aHead.status);
  if (aHead.length) {
    absl::StrAppend(&m_output, "Content-Length: ", *aHead.length, "\r\n");
  } else if (!aTurn.bodyless) {
    aTurn.chunked = true;
    m_output += "Transfer-Encoding: chunked\r\n";
  }
  if (aTurn.closes) {
    m_output += "Connection: close\r\n";
  }
  m_output += "\r\n";
}

void
CallerSession::Write(bool aTurnDone)
{
  if (m_writing) {
    return;
  }
  m_writing = true;
  boost::asio::async_write(
    m_socket,
    boost::asio::buffer(m_output),
    [self = shared_from_this(),
     aTurnDone](const boost::system::error_code& aError,
                std::size_t /*aSize*/) { self->OnWritten(aError, aTurnDone); });
}

void
CallerSession::OnWritten(const boost::system::error_code& aError,
                         bool aTurnDone)
{
  m_writing = false;
  m_output.clear();
  if (!m_open) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  m_lastActive = Clock::now();
  if (aTurnDone) {
    EndTurn();
  } else {
    Pump();
  }
}

void
CallerSession::EndTurn()
{
  const TurnPtr turn = m_turns.front();
  m_turns.pop_front();
  turn->exchange->CallerLeave();
  --m_context.open;
  if (turn->closes) {
    CloseGently();
    return;
  }
  Parse();
  Read();
}

void
CallerSession::CloseGently()
{
  if (!m_open) {
    return;
  }
  // Bytes that come in after a close would make the kernel reset the
  // connection and drop the answer on its way, so they are read away first.
  m_lingers = true;
  m_endsInput = true;
  for (const TurnPtr& turn : m_turns) {
    turn->exchange->CallerLeave();
    --m_context.open;
  }
  m_turns.clear();
  m_incoming.reset();
  m_input.clear();
  boost::system::error_code ignored;
  m_socket.shutdown(Socket::shutdown_send, ignored);
  Read();
}

void
CallerSession::Close()
{
  if (!m_open) {
    return;
  }
  m_open = false;
  for (const TurnPtr& turn : m_turns) {
    turn->exchange->CallerLeave();
    --m_context.open;
  }
  m_turns.clear();
  m_incoming.reset();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

} // namespace sapphirelane
