#include "sapphirelane/proxy/upstream_transfer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/claims/claim.h"
#include "sapphirelane/wire/http_head.h"

namespace sapphirelane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Largest single read, and about the largest single write.
constexpr std::size_t kBlockBytes = 16384;

/// Largest accepted head of a response, and largest accepted trailers.
constexpr std::size_t kMaxHeadBytes = 65536;

/// Body size from which a delayed response is forwarded before it is complete.
constexpr std::size_t kMaxDelayedBytes = 65536;

/// Buffered body bytes above which the socket is not read, so that a slow
/// caller slows down the upstream.
constexpr std::size_t kMaxBufferedBytes = 262144;

/// Time to learn whether an endpoint has ended; it takes a round trip.
constexpr Milliseconds kEndpointCheckTimeout{ 50 };

constexpr int kMinFinalStatus = 200;

/// Interim responses that are skipped before a response; an endpoint that sends
/// more would hold the attempt until its time limit.
constexpr int kMaxInterimResponses = 16;

/// Fraction of the announced keep-alive timeout for which an idle connection is
/// reused; the rest keeps clear of the moment when the endpoint closes it.
constexpr double kKeepAliveFraction = 0.7;

/// Reads the timeout parameter of a Keep-Alive header ("timeout=5") and
/// reduces it by kKeepAliveFraction.
std::optional<Duration>
ParseKeepAliveTimeout(const ResponseHead& aHead)
{
  const std::string* text = FindHeader(aHead.headers, "Keep-Alive");
  const std::size_t at =
    text == nullptr ? std::string::npos : text->find("timeout=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  constexpr std::size_t kNameSize = 8;
  const std::string digits = text->substr(at + kNameSize);
  std::uint32_t seconds = 0;
  const std::size_t end = digits.find_first_not_of("0123456789");
  if (!absl::SimpleAtoi(digits.substr(0, end), &seconds)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    Seconds(seconds * kKeepAliveFraction));
}

} // namespace

UpstreamTransfer::UpstreamTransfer(AttemptOrder aAttempt,
                                   TransferContext& aContext)
  : m_attempt(std::move(aAttempt))
  , m_context(aContext)
  , m_timer(aContext.io)
{
}

void
UpstreamTransfer::Start(TimePoint aNow)
{
  if (aNow >= m_attempt.send_before) {
    Finish(false, "the right to send had lapsed");
    return;
  }
  if (!JoinExchange()) {
    return;
  }
  const std::string key = absl::StrCat(
    m_attempt.endpoint, "@", m_attempt.address, "/", m_attempt.lifetime);
  if (!m_attempt.new_connection) {
    m_connection = m_context.pool.Acquire(
      key, StableHash(m_attempt.echo), m_attempt.unused_for, aNow);
  }
  if (m_connection != nullptr) {
    SendRequest(aNow);
    return;
  }
  m_connection = std::make_shared<UpstreamConnection>(m_context.io);
  m_connection->pool_key = key;
  m_connection->number = ++m_context.last_connection;
  Connect();
}

/// Starts to read the request body.
/// @return False if that is not possible; the attempt is finished then.
bool
UpstreamTransfer::JoinExchange()
{
  m_exchangeId = m_attempt.exchange->AddAttempt(
    [io = &m_context.io, weak = weak_from_this()] {
      asio::post(*io, [weak] {
        if (auto self = weak.lock()) {
          self->OnWake();
        }
      });
    });
  if (m_exchangeId) {
    return true;
  }
  if (!FinishIfAnswered()) {
    m_bodyGone = true;
    Finish(false, "the body is too large to be sent again");
  }
  return false;
}

/// Ends an attempt that is no longer needed before it sends more.
/// @return True if the request has been answered or refused.
bool
UpstreamTransfer::FinishIfAnswered()
{
  if (!m_attempt.exchange->IsAnswered()) {
    return false;
  }
  m_bodyGone = true;
  m_reusable = false;
  Finish(false, "the request was answered meanwhile");
  return true;
}

void
UpstreamTransfer::Connect()
{
  const auto address = Address();
  if (!address) {
    Finish(false, "address " + m_attempt.address + " is not ip:port");
    return;
  }
  m_connecting = true;
  StartTimer(Clock::now() + m_context.options.connect_timeout,
             "no connection in time");
  m_connection->socket.async_connect(
    *address, [self = shared_from_this()](const Error& aError) {
      self->OnConnected(aError);
    });
}

std::optional<asio::ip::tcp::endpoint>
UpstreamTransfer::Address() const
{
  const std::size_t colon = m_attempt.address.rfind(':');
  Error error;
  std::uint32_t port = 0;
  const auto ip =
    asio::ip::make_address(m_attempt.address.substr(0, colon), error);
  if (error || !absl::SimpleAtoi(m_attempt.address.substr(colon + 1), &port)) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

void
UpstreamTransfer::OnConnected(const Error& aError)
{
  if (m_finished) {
    return;
  }
  m_connecting = false;
  if (aError) {
    Finish(false, aError.message());
    return;
  }
  Error ignored;
  m_connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  SendRequest(Clock::now());
}

void
UpstreamTransfer::StartTimer(TimePoint aExpiry, const char* aReason)
{
  m_timer.expires_at(aExpiry);
  m_timer.async_wait([self = shared_from_this(), aReason](const Error& aError) {
    if (!aError && !self->m_finished) {
      self->OnTimeout(aReason);
    }
  });
}

void
UpstreamTransfer::OnTimeout(const char* aReason)
{
  m_reusable = false;
  Finish(false, aReason);
}

void
UpstreamTransfer::SendRequest(TimePoint aNow)
{
  if (aNow >= m_attempt.send_before || aNow >= m_attempt.deadline) {
    Finish(false, "the right to send had lapsed");
    return;
  }
  if (FinishIfAnswered()) {
    return;
  }
  StartTimer(m_attempt.give_up, "no answer in time");
  m_parser.emplace(kMaxHeadBytes);
  m_output = FormatRequestHead(aNow);
  m_requestComplete = !m_attempt.has_body;
  m_connection->sent_requests.insert(StableHash(m_attempt.echo));
  WriteOutput();
  Read();
}

std::string
UpstreamTransfer::FormatRequestHead(TimePoint aNow) const
{
  std::string text =
    absl::StrCat(m_attempt.method, " ", m_attempt.target, " HTTP/1.1\r\n");
  if (FindHeader(m_attempt.headers, "Host") == nullptr) {
    absl::StrAppend(&text, "Host: ", m_attempt.address, "\r\n");
  }
  for (const Header& header : m_attempt.headers) {
    absl::StrAppend(&text, header.first, ": ", header.second, "\r\n");
  }
  if (!m_attempt.deadline_header.empty()) {
    const auto timeLeft = ToMilliseconds(m_attempt.deadline - aNow).count();
    absl::StrAppend(&text,
                    m_attempt.deadline_header,
                    ": ",
                    std::max<std::int64_t>(1, timeLeft),
                    "\r\n");
  }
  const bool methodHasBody = m_attempt.method == "POST" ||
                             m_attempt.method == "PUT" ||
                             m_attempt.method == "PATCH";
  if (m_attempt.has_body && !m_attempt.length) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (m_attempt.has_body || methodHasBody) {
    absl::StrAppend(
      &text, "Content-Length: ", m_attempt.length.value_or(0), "\r\n");
  }
  return text + "\r\n";
}

void
UpstreamTransfer::WriteOutput()
{
  if (m_writing || m_finished || m_connection == nullptr || m_connecting ||
      m_checking) {
    return;
  }
  if (!AppendRequestBody()) {
    if (!FinishIfAnswered()) {
      m_bodyGone = true;
      m_reusable = false;
      Finish(false, "the body can no longer be read");
    }
    return;
  }
  if (m_output.empty()) {
    return;
  }
  m_writing = true;
  m_maybeSent = true;
  // The write refers to the socket even after Finish().
  m_connection->socket.async_write_some(
    asio::buffer(m_output),
    [self = shared_from_this(), connection = m_connection](const Error& aError,
                                                           std::size_t aSize) {
      self->OnWritten(aError, aSize);
    });
}

/// Appends available bytes of the request body to the output.
/// @return False if the body was broken off.
bool
UpstreamTransfer::AppendRequestBody()
{
  std::string block(m_requestComplete ? 0 : kBlockBytes, '\0');
  while (!m_requestComplete && m_output.size() < kBlockBytes) {
    std::size_t size = 0;
    switch (m_attempt.exchange->UpstreamRead(
      *m_exchangeId, block.data(), block.size(), size)) {
      case StreamResult::Some:
        if (!m_attempt.length) {
          absl::StrAppend(&m_output, absl::Hex(size), "\r\n");
        }
        m_output.append(block, 0, size);
        m_sentBodyBytes += size;
        if (!m_attempt.length) {
          m_output += "\r\n";
        }
        break;
      case StreamResult::End:
        m_requestComplete = true;
        m_sentBodyEnd = true;
        if (!m_attempt.length) {
          m_output += "0\r\n\r\n";
        }
        break;
      case StreamResult::Wait:
        return true;
      case StreamResult::Broken:
        return false;
    }
  }
  return true;
}

void
UpstreamTransfer::OnWritten(const Error& aError, std::size_t aSize)
{
  m_writing = false;
  m_output.erase(0, aError ? std::string::npos : aSize);
  if (m_finished) {
    return;
  }
  if (aError) {
    // The endpoint may have responded before it closed the connection; OnRead
    // will receive the response or the end of the stream.
    m_reusable = false;
    m_writeFailed = aError != asio::error::operation_aborted;
    m_requestComplete = true;
  }
  if (m_streamEnded) {
    OnStreamEnd();
  } else if (!aError) {
    WriteOutput();
  }
}

void
UpstreamTransfer::Read()
{
  if (m_reading || m_streamEnded || m_finished || m_checking ||
      m_buffered.size() >= kMaxBufferedBytes) {
    return;
  }
  m_reading = true;
  m_connection->socket.async_read_some(
    m_connection->input.Prepare(kBlockBytes),
    [self = shared_from_this(), connection = m_connection](
      const Error& aError, std::size_t aSize) { self->OnRead(aError, aSize); });
}

void
UpstreamTransfer::OnRead(const Error& aError, std::size_t aSize)
{
  m_reading = false;
  if (m_finished) {
    return;
  }
  if (aError) {
    OnReadError(aError);
    return;
  }
  m_receivedAny = true;
  m_connection->input.Commit(aSize);
  while (!m_finished && ParseInput()) {
  }
  // The parser checks the size of a chunk's extension and of the trailers only
  // once they are complete.
  if (!m_finished && m_connection->input.Size() > kMaxHeadBytes) {
    m_reusable = false;
    Finish(false, "the answer's framing is too long");
  }
  if (!m_finished) {
    FlushResponse();
    Read();
  }
}

void
UpstreamTransfer::OnReadError(const Error& aError)
{
  m_reusable = false;
  if (aError != asio::error::eof) {
    OnBrokenOff(aError.message());
    return;
  }
  m_streamEnded = true;
  if (m_writing) {
    // OnWritten follows with the result of the write.
    Error ignored;
    m_connection->socket.cancel(ignored);
    return;
  }
  OnStreamEnd();
}

void
UpstreamTransfer::OnStreamEnd()
{
  const bool endsAnswer =
    m_headRead && !m_mismatched && m_parser->need_eof() && !m_writeFailed;
  if (endsAnswer) {
    OnResponseComplete();
  } else {
    OnBrokenOff("the connection ended before the answer did");
  }
}

void
UpstreamTransfer::OnBrokenOff(const std::string& aError)
{
  if (m_receivedAny) {
    Finish(false, aError);
  } else {
    CheckEndpoint(aError);
  }
}

void
UpstreamTransfer::CheckEndpoint(const std::string& aError)
{
  const auto address = Address();
  if (m_checking || !address) {
    return;
  }
  m_checking = true;
  auto connection = std::make_shared<UpstreamConnection>(m_context.io);
  connection->pool_key = m_connection->pool_key;
  connection->number = ++m_context.last_connection;
  m_timer.expires_after(kEndpointCheckTimeout);
  m_timer.async_wait(
    [self = shared_from_this(), connection, aError](const Error& aResult) {
      if (!aResult && !self->m_finished) {
        Error ignored;
        connection->socket.close(ignored);
        self->Finish(false, aError);
      }
    });
  connection->socket.async_connect(
    *address,
    [self = shared_from_this(), connection, aError](const Error& aResult) {
      self->OnEndpointChecked(aResult, connection, aError);
    });
}

void
UpstreamTransfer::OnEndpointChecked(const Error& aResult,
                                    const UpstreamConnectionPtr& aConnection,
                                    const std::string& aError)
{
  if (!aResult) {
    // The next request to the endpoint uses it.
    Error ignored;
    aConnection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    aConnection->last_used = Clock::now();
    aConnection->expires_at =
      aConnection->last_used + m_context.options.proven_for;
    aConnection->reused = true; // It may be dead when it is used.
    m_context.pool.Release(aConnection);
  }
  m_endpointEnded = aResult == asio::error::connection_refused;
  Finish(false, aError);
}

/// Parses the next part of the response.
/// @return False if more bytes are needed.
bool
UpstreamTransfer::ParseInput()
{
  auto& input = m_connection->input;
  if (input.Size() == 0) {
    return false;
  }
  if (!m_parser->is_header_done()) {
    const HeadScanResult scan = ScanHead(input.Text(), HttpMessage::Response);
    if (scan.size == 0 && input.Size() < kMaxHeadBytes) {
      return false;
    }
    if (scan.size == 0 || scan.size > kMaxHeadBytes || !scan.error.empty()) {
      m_reusable = false;
      RecordStrayBytes();
      Finish(false,
             "the answer's head cannot be read: " +
               (scan.error.empty() ? "it is too long" : scan.error));
      return false;
    }
    m_parser->header_limit(static_cast<std::uint32_t>(scan.size + 1));
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_attempt.method == "HEAD");
  }
  const bool headWasDone = m_parser->is_header_done();
  Error error;
  const std::size_t used = m_parser->put(input.Data(), error);
  input.Consume(used);
  if (error && error != http::error::need_more) {
    m_reusable = false;
    Finish(false, "the answer cannot be read: " + error.message());
    return false;
  }
  if (!headWasDone && m_parser->is_header_done()) {
    const bool interim = m_parser->Head().status < kMinFinalStatus;
    m_interimResponses += interim ? 1 : 0;
    if (m_interimResponses > kMaxInterimResponses) {
      m_reusable = false;
      RecordStrayBytes();
      Finish(false, "too many interim responses");
      return false;
    }
    OnResponseHead();
  }
  const std::string body = m_parser->TakeBody();
  if (m_headRead && !m_mismatched) {
    m_buffered += body;
    m_captureComplete =
      m_captureComplete && m_captured.size() + body.size() <= kMostKeptBody;
    m_captured = m_captureComplete ? m_captured + body : std::string();
  }
  if (m_parser->is_done()) {
    if (m_headRead && !m_mismatched) {
      OnResponseComplete();
      return false;
    }
    // An interim response, or one to another request.
    m_parser.emplace(kMaxHeadBytes);
    m_mismatched = false;
    return true;
  }
  return used > 0 && input.Size() > 0;
}

void
UpstreamTransfer::OnResponseHead()
{
  ResponseHead head;
  head.status = m_parser->Head().status;
  head.headers = m_parser->Head().headers;
  if (head.status < kMinFinalStatus) {
    return;
  }
  const std::string* echo = m_attempt.echo_header.empty()
                              ? nullptr
                              : FindHeader(head.headers, m_attempt.echo_header);
  // Without the echoed id, a second response to this request could not be told
  // from that to a later one on this connection.
  m_reusable = m_reusable && echo != nullptr;
  m_mismatched = echo != nullptr && *echo != m_attempt.echo;
  if (m_mismatched) {
    m_reusable = false;
    return;
  }
  const auto length = m_parser->content_length();
  if (length) {
    head.length = *length;
  }
  m_head = std::move(head);
  m_headRead = true;
}

void
UpstreamTransfer::OnResponseComplete()
{
  m_complete = true;
  ReportHead();
  Finish(true, "");
}

void
UpstreamTransfer::ReportHead()
{
  if (m_headReported || !m_headRead) {
    return;
  }
  m_headReported = true;
  if (m_complete && !m_head.length) {
    m_head.length = m_buffered.size();
  }
  AttemptEvent event;
  event.id = m_attempt.id;
  event.kind = AttemptEvent::Kind::Head;
  event.connection = m_connection->number;
  event.head = m_head;
  m_context.on_event(std::move(event));
}

void
UpstreamTransfer::FlushResponse()
{
  const bool delay =
    m_attempt.hold && !m_complete && m_buffered.size() < kMaxDelayedBytes;
  if (!delay) {
    ReportHead();
  }
  if (!m_forwarding) {
    return;
  }
  while (!m_buffered.empty()) {
    const std::size_t size = std::min(m_buffered.size(), kBlockBytes);
    if (!m_attempt.exchange->UpstreamWrite(m_buffered.data(), size)) {
      return; // The buffer is full; the exchange wakes this transfer later.
    }
    m_buffered.erase(0, size);
  }
  if (m_finished && m_complete) {
    m_attempt.exchange->UpstreamFinish();
    NotifyDone();
  } else if (m_finished) {
    m_attempt.exchange->UpstreamBreak();
    NotifyDone();
  }
}

void
UpstreamTransfer::OnWake()
{
  if (!m_finished) {
    WriteOutput();
  }
  if (m_forwarding) {
    FlushResponse();
  }
  if (!m_finished && m_parser) {
    Read();
  }
}

void
UpstreamTransfer::ForwardResponse()
{
  m_forwarding = true;
  FlushResponse();
  if (!m_finished && m_parser) {
    Read();
  }
}

void
UpstreamTransfer::Cancel()
{
  if (m_finished) {
    if (m_forwarding) {
      m_attempt.exchange->UpstreamBreak(); // Its caller has not read all of it.
    }
    NotifyDone();
    return;
  }
  m_reusable = false;
  Finish(false, "cancelled");
}

void
UpstreamTransfer::Finish(bool aComplete, const std::string& aError)
{
  if (m_finished) {
    return;
  }
  m_finished = true;
  m_complete = aComplete;
  m_timer.cancel();
  if (m_exchangeId) {
    m_attempt.exchange->CloseRequestBody(*m_exchangeId);
  }
  AttemptEvent event;
  event.id = m_attempt.id;
  event.whole = aComplete;
  event.sent = m_maybeSent;
  event.body_gone = m_bodyGone;
  event.sent_body = CheckSentBody(aError);
  event.stale = !aComplete && m_connection != nullptr && m_connection->reused &&
                !m_receivedAny;
  event.endpoint_ended = m_endpointEnded;
  event.body_kept = aComplete && m_captureComplete;
  event.kept_body = event.body_kept ? m_captured : std::string();
  event.error = aError;
  event.connection = m_connection == nullptr ? 0 : m_connection->number;
  event.kept = ReleaseConnection();
  m_context.on_event(std::move(event));
  if (m_forwarding) {
    FlushResponse();
  } else if (!aComplete) {
    NotifyDone();
  }
}

SentBody
UpstreamTransfer::CheckSentBody(const std::string& aError) const
{
  if (!m_attempt.has_body || !m_maybeSent) {
    return SentBody::Whole;
  }
  const BodyProgress received = m_attempt.exchange->RequestProgress();
  const bool same = received.complete && m_sentBodyBytes == received.bytes;
  if (m_sentBodyEnd && same) {
    return SentBody::Whole;
  }
  LogLine("body",
          m_sentBodyEnd ? "A body was changed on its way to an endpoint."
                        : "A body was sent to an endpoint in part.",
          LogFields()
            .Add("request", m_attempt.echo)
            .Add("attempt_id", m_attempt.id)
            .Add("endpoint", m_attempt.endpoint)
            .Add("framing", m_attempt.length ? "length" : "chunks")
            .Add("received", received.bytes)
            .Add("received_whole", received.complete ? "yes" : "no")
            .Add("sent", m_sentBodyBytes)
            .Add("error", aError));
  return m_sentBodyEnd ? SentBody::Changed : SentBody::Partial;
}

/// Keeps the endpoint's connections from being reused for a while: it has sent
/// bytes that are no response.
void
UpstreamTransfer::RecordStrayBytes()
{
  m_context.pool.ForbidReuse(m_connection->pool_key, Clock::now());
}

/// Returns the connection to the pool if it is reusable; closes it otherwise.
/// @return True if it was returned to the pool.
bool
UpstreamTransfer::ReleaseConnection()
{
  if (m_connection == nullptr) {
    return false;
  }
  const bool strayBytes =
    m_complete && m_parser->is_done() && m_connection->input.Size() > 0;
  if (strayBytes) {
    RecordStrayBytes();
  }
  const bool reusable = m_complete && m_reusable && m_requestComplete &&
                        !m_writing && m_parser->keep_alive() &&
                        m_connection->input.Size() == 0;
  bool kept = false;
  if (reusable) {
    const Duration maxIdleTime = m_context.options.proven_for;
    m_connection->last_used = Clock::now();
    m_connection->expires_at =
      m_connection->last_used +
      std::min(maxIdleTime,
               ParseKeepAliveTimeout(m_head).value_or(maxIdleTime));
    m_connection->reused = true;
    kept = m_context.pool.Release(m_connection);
  } else {
    Error ignored;
    m_connection->socket.close(ignored);
  }
  m_connection = nullptr;
  return kept;
}

void
UpstreamTransfer::NotifyDone()
{
  if (m_exchangeId) {
    m_attempt.exchange->RemoveAttempt(*m_exchangeId);
  }
  m_context.on_done(m_attempt.id);
}

} // namespace sapphirelane
