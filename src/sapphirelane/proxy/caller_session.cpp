#include "sapphirelane/proxy/caller_session.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include "sapphirelane/proxy/refusal.h"
#include "sapphirelane/wire/http_head.h"

namespace sapphirelane {

namespace http = boost::beast::http;

namespace {

/// Pipelined requests of one connection that are processed concurrently.
constexpr std::size_t kMaxPipelinedRequests = 32;

/// Largest single read from the socket.
constexpr std::size_t kReadBytes = 16384;

/// Response bytes collected for a single write to the socket.
constexpr std::size_t kWriteBytes = 16384;

/// Unparsed input above which the socket is no longer read, unless a head may
/// be larger.
constexpr std::size_t kMaxUnparsedBytes = 131072;

/// Time for the caller to close its side after the last response; allows for
/// a few round trips.
constexpr Milliseconds kLingerTimeout{ 2000 };

/// Wakes a session from another thread when its exchange makes progress.
class SessionWaker : public CallerPort
{
public:
  SessionWaker(std::function<void()> aWake)
    : m_wake(std::move(aWake))
  {
  }

  void Suspend() override {}
  void Resume() override { m_wake(); }
  // The session reports a closed connection with CallerLeave instead.
  bool IsClosed() const override { return false; }

private:
  std::function<void()> m_wake;
};

bool
ForbidsBody(int aStatus)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

std::string
ReasonPhrase(int aStatus)
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
  m_startedAt = aNow;
  m_lastActive = aNow;
  Read();
}

void
CallerSession::CheckTimeouts(TimePoint aNow)
{
  if (!m_open) {
    return;
  }
  if (m_context.close_idle) {
    CloseIfIdle(aNow);
  }
  EndInputIfStopping();
  const SessionLimits& limits = m_context.limits;
  if (m_headIncomplete && aNow - m_headStarted > limits.head_timeout) {
    RejectInput(408, "the head did not come in time");
    return;
  }
  const bool busy = !m_pipeline.empty() || m_receiving || m_headIncomplete;
  const Duration timeout =
    m_lingering ? Duration(kLingerTimeout) : limits.idle_timeout;
  if ((!busy || m_lingering) && aNow - m_lastActive > timeout) {
    Close();
  }
}

void
CallerSession::CloseIfIdle(TimePoint aNow)
{
  const bool idle = m_open && !m_lingering && m_pipeline.empty() &&
                    !m_receiving && !m_headIncomplete;
  if (idle && !AwaitsRequest(aNow)) {
    ShutdownGracefully();
  }
}

bool
CallerSession::AwaitsRequest(TimePoint aNow) const
{
  const bool busy = !m_pipeline.empty() || m_receiving || m_headIncomplete;
  if (!m_open || m_lingering || busy) {
    return false;
  }
  boost::system::error_code error;
  const bool hasUnreadInput = m_socket.available(error) > 0;
  return hasUnreadInput ||
         (!m_hadRequest &&
          aNow - m_startedAt < m_context.limits.first_request_timeout);
}

void
CallerSession::EndInput()
{
  if (!m_lingering && m_pipeline.empty()) {
    m_headIncomplete = false;
    ShutdownGracefully();
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
  const std::size_t limit =
    std::max(kMaxUnparsedBytes, m_context.limits.head_bytes + 1);
  if (!m_open || m_reading || m_input.Size() >= limit) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    m_input.Prepare(kReadBytes),
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
    Close(); // The caller closed the connection, or it failed.
    return;
  }
  if (m_lingering || m_inputEnded) {
    m_input.Clear(); // No further request is accepted; discard the input.
    Read();
    return;
  }
  m_input.Commit(aSize);
  m_lastActive = Clock::now();
  ParseInput();
  Read();
}

void
CallerSession::ParseInput()
{
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  bool progress = true;
  while (progress && m_open && !m_inputEnded) {
    progress = m_receiving ? ParseBody() : ParseHead();
  }
  m_parsing = false;
  if (m_open) {
    WriteResponses();
  }
}

bool
CallerSession::ParseHead()
{
  if (EndInputIfStopping()) {
    return false;
  }
  if (m_input.Size() == 0 || m_pipeline.size() >= kMaxPipelinedRequests) {
    m_headIncomplete = false;
    return false;
  }
  const HeadScanResult scan = ScanHead(m_input.Text(), HttpMessage::Request);
  const bool tooLarge =
    scan.size > m_context.limits.head_bytes ||
    (scan.size == 0 && m_input.Size() > m_context.limits.head_bytes);
  if (tooLarge) {
    RejectInput(431, "the head is above the limit");
    return false;
  }
  if (scan.size == 0) {
    if (!m_headIncomplete) {
      m_headIncomplete = true;
      m_headStarted = m_lastActive;
    }
    return false;
  }
  m_headIncomplete = false;
  if (!scan.error.empty()) {
    RejectInput(400, scan.error);
    return false;
  }
  m_parser.emplace(m_context.limits.head_bytes);
  m_parser->header_limit(static_cast<std::uint32_t>(scan.size + 1));
  m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code error;
  m_input.Consume(m_parser->put(m_input.Data(), error));
  if (error && error != http::error::need_more) {
    RejectInput(400, "the head cannot be read: " + error.message());
    return false;
  }
  BeginRequest();
  return m_open;
}

bool
CallerSession::EndInputIfStopping()
{
  // A response whose head is written cannot announce the close any more; the
  // next request's can.
  const bool announces =
    !m_pipeline.empty() && !m_pipeline.back()->head_written && !m_receiving;
  if (!m_context.close_after_response || !announces) {
    return false;
  }
  m_inputEnded = true;
  m_headIncomplete = false;
  m_input.Clear();
  return true;
}

void
CallerSession::BeginRequest()
{
  RequestHead head;
  head.method = m_parser->Head().method;
  head.target = m_parser->Head().target;
  head.headers = m_parser->Head().headers;
  constexpr int kHttp11 = 11;
  const bool isHttp11 = m_parser->Head().version == kHttp11;
  const std::string* expect = FindHeader(head.headers, "Expect");
  const bool expectsContinue =
    expect != nullptr && absl::EqualsIgnoreCase(*expect, "100-continue") &&
    m_pipeline.empty();
  const bool closesConnection = !m_parser->keep_alive();
  m_receiving = AddToPipeline(std::move(head));
  m_receiving->closes_connection = closesConnection;
  m_receivedBytes = 0;
  m_inputEnded = closesConnection && m_parser->is_done();
  if (!isHttp11) {
    m_receiving->closes_connection = true;
    Refuse(*m_receiving->exchange,
           { 505, Outcome::NotRun, "version", "HTTP/1.1 is required" },
           m_context.dialect);
  } else if (!m_context.on_request(m_receiving->exchange)) {
    Refuse(*m_receiving->exchange,
           { 503, Outcome::NotRun, "busy", "this host is full" },
           m_context.dialect);
  } else if (expectsContinue && !m_parser->is_done()) {
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    WriteOutput(false);
  }
  if (m_parser->is_done()) {
    FinishRequestBody();
  }
}

CallerSession::PipelinedRequestPtr
CallerSession::AddToPipeline(RequestHead aHead)
{
  m_hadRequest = true;
  aHead.id = m_context.next_request_id++;
  aHead.arrived = Clock::now();
  auto request = std::make_shared<PipelinedRequest>();
  request->omits_body = aHead.method == "HEAD";
  request->exchange =
    std::make_shared<Exchange>(std::move(aHead), m_context.limits.buffer_bytes);
  const auto executor = m_socket.get_executor();
  request->exchange->SetPort(
    std::make_unique<SessionWaker>([executor, weak = weak_from_this()] {
      boost::asio::post(executor, [weak] {
        if (auto self = weak.lock()) {
          self->ParseInput(); // Resumes the request body and the response.
          self->Read();
        }
      });
    }));
  m_pipeline.push_back(request);
  ++m_context.unfinished_requests;
  return request;
}

bool
CallerSession::ParseBody()
{
  if (!ForwardRequestBody()) {
    return false;
  }
  if (m_parser->is_done()) {
    FinishRequestBody();
    return true;
  }
  if (m_input.Size() == 0) {
    return false;
  }
  boost::system::error_code error;
  const std::size_t used = m_parser->put(m_input.Data(), error);
  m_input.Consume(used);
  m_undelivered += m_parser->TakeBody();
  m_receivedBytes += m_undelivered.size();
  if (error && error != http::error::need_more) {
    RejectBody("the body cannot be read: " + error.message());
    return false;
  }
  // Body bytes are always used, so what is left is framing without an end.
  if (used == 0 && m_input.Size() > m_context.limits.head_bytes) {
    RejectBody("the framing of the body is above the limit");
    return false;
  }
  if (m_receivedBytes > m_context.limits.body_bytes) {
    Refuse(
      *m_receiving->exchange,
      { 413, Outcome::Unknown, "too-large", "the body grew above the limit" },
      m_context.dialect);
    StopReceiving();
    return false;
  }
  return ForwardRequestBody() && (used > 0 || m_parser->is_done());
}

bool
CallerSession::ForwardRequestBody()
{
  while (!m_undelivered.empty()) {
    const std::size_t accepted = m_receiving->exchange->CallerWrite(
      m_undelivered.data(), m_undelivered.size());
    if (accepted == 0) {
      return false; // The exchange wakes the session when there is room.
    }
    m_undelivered.erase(0, accepted);
  }
  return true;
}

void
CallerSession::FinishRequestBody()
{
  m_receiving->exchange->CallerFinish();
  const bool closesConnection = m_receiving->closes_connection;
  m_inputEnded = m_inputEnded || closesConnection;
  m_receiving.reset();
  m_parser.reset();
  if (closesConnection && m_pipeline.empty()) {
    ShutdownGracefully(); // The response was written before.
  }
}

void
CallerSession::RejectBody(const std::string& aDetail)
{
  Refuse(*m_receiving->exchange,
         { 400, Outcome::Unknown, "malformed", aDetail },
         m_context.dialect);
  StopReceiving();
}

void
CallerSession::StopReceiving()
{
  m_receiving->exchange->CallerBreak();
  m_receiving->closes_connection = true;
  m_inputEnded = true;
  const bool answered = m_pipeline.empty() || m_pipeline.back() != m_receiving;
  m_receiving.reset();
  if (answered) {
    ShutdownGracefully();
  }
}

void
CallerSession::RejectInput(int aStatus, const std::string& aDetail)
{
  m_inputEnded = true;
  m_headIncomplete = false;
  m_input.Clear();
  auto request = AddToPipeline({});
  request->closes_connection = true;
  request->exchange->CallerFinish();
  Refuse(*request->exchange,
         { aStatus, Outcome::NotRun, "malformed", aDetail },
         m_context.dialect);
  WriteResponses();
}

void
CallerSession::WriteResponses()
{
  if (m_writing || !m_open || m_pipeline.empty()) {
    return;
  }
  const bool complete = AppendResponse(*m_pipeline.front());
  if (!m_open) {
    return;
  }
  if (!m_output.empty()) {
    WriteOutput(complete);
  } else if (complete) {
    FinishResponse();
  }
}

/// @return True if all of the response has been appended.
bool
CallerSession::AppendResponse(PipelinedRequest& aRequest)
{
  if (!aRequest.head_written) {
    const auto head = aRequest.exchange->CallerTakeHead();
    if (!head) {
      return false;
    }
    AppendResponseHead(aRequest, *head);
  }
  std::string block(kWriteBytes, '\0');
  while (m_output.size() < kWriteBytes) {
    std::size_t size = 0;
    const StreamResult result =
      aRequest.exchange->CallerRead(block.data(), block.size(), size);
    switch (result) {
      case StreamResult::Some:
        if (aRequest.omits_body) {
          break;
        }
        if (aRequest.chunked) {
          absl::StrAppend(&m_output, absl::Hex(size), "\r\n");
        }
        m_output.append(block, 0, size);
        if (aRequest.chunked) {
          m_output += "\r\n";
        }
        break;
      case StreamResult::End:
        if (aRequest.chunked) {
          m_output += "0\r\n\r\n";
        }
        return true;
      case StreamResult::Wait:
        return false;
      case StreamResult::Broken:
        Close(); // A truncated response must not look complete.
        return false;
    }
  }
  return false;
}

void
CallerSession::AppendResponseHead(PipelinedRequest& aRequest,
                                  const ResponseHead& aHead)
{
  // Only the last of the requests that were passed on closes the connection, so
  // that the others still get their response.
  if (m_context.close_after_response && m_pipeline.size() == 1) {
    aRequest.closes_connection = true;
    EndInputIfStopping();
  }
  aRequest.head_written = true;
  absl::StrAppend(&m_output,
                  "HTTP/1.1 ",
                  aHead.status,
                  " ",
                  ReasonPhrase(aHead.status),
                  "\r\n");
  for (const Header& header : aHead.headers) {
    absl::StrAppend(&m_output, header.first, ": ", header.second, "\r\n");
  }
  aRequest.omits_body = aRequest.omits_body || ForbidsBody(aHead.status);
  if (aHead.length) {
    absl::StrAppend(&m_output, "Content-Length: ", *aHead.length, "\r\n");
  } else if (!aRequest.omits_body) {
    aRequest.chunked = true;
    m_output += "Transfer-Encoding: chunked\r\n";
  }
  if (aRequest.closes_connection) {
    m_output += "Connection: close\r\n";
  }
  m_output += "\r\n";
}

void
CallerSession::WriteOutput(bool aResponseComplete)
{
  if (m_writing) {
    return;
  }
  m_writing = true;
  boost::asio::async_write(
    m_socket,
    boost::asio::buffer(m_output),
    [self = shared_from_this(), aResponseComplete](
      const boost::system::error_code& aError, std::size_t /*aSize*/) {
      self->OnWritten(aError, aResponseComplete);
    });
}

void
CallerSession::OnWritten(const boost::system::error_code& aError,
                         bool aResponseComplete)
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
  if (aResponseComplete) {
    FinishResponse();
  } else {
    WriteResponses();
  }
}

void
CallerSession::FinishResponse()
{
  const PipelinedRequestPtr request = m_pipeline.front();
  m_pipeline.pop_front();
  request->exchange->CallerLeave();
  --m_context.unfinished_requests;
  // A caller may read the response only when it has sent all of the body.
  const bool takesRest = m_context.close_after_response && m_receiving;
  if (request->closes_connection && !takesRest) {
    ShutdownGracefully();
    return;
  }
  ParseInput();
  Read();
}

void
CallerSession::ShutdownGracefully()
{
  if (!m_open) {
    return;
  }
  // Closing the socket with unread input makes the kernel reset the connection,
  // which can discard a response in flight. Input is therefore drained first.
  m_lingering = true;
  m_inputEnded = true;
  for (const PipelinedRequestPtr& request : m_pipeline) {
    request->exchange->CallerLeave();
    --m_context.unfinished_requests;
  }
  m_pipeline.clear();
  m_receiving.reset();
  m_input.Clear();
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
  for (const PipelinedRequestPtr& request : m_pipeline) {
    request->exchange->CallerLeave();
    --m_context.unfinished_requests;
  }
  m_pipeline.clear();
  m_receiving.reset();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

} // namespace sapphirelane
