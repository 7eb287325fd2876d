#include "sapphirelane/proxy/upstream_transfer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "sapphirelane/claims/claim.h"
#include "sapphirelane/proxy/head_scan.h"

namespace sapphirelane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kBlock = 16384;

/// Largest head of an answer.
constexpr std::size_t kMostHead = 65536;

/// Largest answer that is held back until it is whole.
constexpr std::size_t kMostHeld = 65536;

/// Bytes of an answer that wait for a slow caller; then reading stops.
constexpr std::size_t kMostWaiting = 262144;

constexpr int kFirstFinalStatus = 200;

/// Share of the time that an endpoint promises to keep an idle connection.
constexpr double kKeepAliveShare = 0.7;

/// Reads "timeout=5" of a Keep-Alive header.
std::optional<Duration>
KeepAliveTime(const ResponseHead& aHead)
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
    Seconds(seconds * kKeepAliveShare));
}

} // namespace

UpstreamTransfer::UpstreamTransfer(AttemptOrder aOrder,
                                   TransferContext& aContext)
  : m_order(std::move(aOrder))
  , m_context(aContext)
  , m_timer(aContext.io)
{
}

void
UpstreamTransfer::Start(TimePoint aNow)
{
  if (aNow >= m_order.send_before) {
    Finish(false, "the right to send had lapsed");
    return;
  }
  if (m_order.rewind && !m_order.exchange->RewindRequest()) {
    Finish(false, "the body is too large to be sent again");
    return;
  }
  TakeWakes();
  const std::string key = m_order.endpoint + "@" + m_order.address;
  if (!m_order.new_connection) {
    m_connection = m_context.pool.Take(key, m_order.unused_for, aNow);
  }
  if (m_connection != nullptr) {
    Send(aNow);
    return;
  }
  m_connection = std::make_shared<UpstreamConnection>(m_context.io);
  m_connection->key = key;
  Connect();
}

/// The caller's side wakes this attempt from now on.
void
UpstreamTransfer::TakeWakes()
{
  m_order.exchange->SetUpstreamWake(
    [io = &m_context.io, weak = weak_from_this()] {
      asio::post(*io, [weak] {
        if (auto self = weak.lock()) {
          self->OnWake();
        }
      });
    });
}

void
UpstreamTransfer::Connect()
{
  const std::size_t colon = m_order.address.rfind(':');
  Error error;
  std::uint32_t port = 0;
  const auto ip =
    asio::ip::make_address(m_order.address.substr(0, colon), error);
  if (error || !absl::SimpleAtoi(m_order.address.substr(colon + 1), &port)) {
    Finish(false, "address " + m_order.address + " is not ip:port");
    return;
  }
  m_connecting = true;
  StartTimer(Clock::now() + m_context.options.connect_timeout,
             "no connection in time");
  m_connection->socket.async_connect(
    { ip, static_cast<std::uint16_t>(port) },
    [self = shared_from_this()](const Error& aError) {
      self->OnConnected(aError);
    });
}

void
UpstreamTransfer::OnConnected(const Error& aError)
{
  if (m_ended) {
    return;
  }
  m_connecting = false;
  if (aError) {
    Finish(false, aError.message());
    return;
  }
  Error ignored;
  m_connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Send(Clock::now());
}

void
UpstreamTransfer::StartTimer(TimePoint aWhen, const char* aWhat)
{
  m_timer.expires_at(aWhen);
  m_timer.async_wait([self = shared_from_this(), aWhat](const Error& aError) {
    if (!aError && !self->m_ended) {
      self->OnTimer(aWhat);
    }
  });
}

void
UpstreamTransfer::OnTimer(const char* aWhat)
{
  m_mayKeep = false;
  Finish(false, aWhat);
}

void
UpstreamTransfer::Send(TimePoint aNow)
{
  if (aNow >= m_order.send_before || aNow >= m_order.deadline) {
    Finish(false, "the right to send had lapsed");
    return;
  }
  StartTimer(m_order.give_up, "no answer in time");
  m_parser.emplace();
  m_output = HeadText(aNow);
  m_requestWhole = !m_order.has_body;
  m_sent = true;
  SendMore();
  Read();
}

std::string
UpstreamTransfer::HeadText(TimePoint aNow) const
{
  std::string text =
    absl::StrCat(m_order.method, " ", m_order.target, " HTTP/1.1\r\n");
  if (FindHeader(m_order.headers, "Host") == nullptr) {
    absl::StrAppend(&text, "Host: ", m_order.address, "\r\n");
  }
  for (const Header& header : m_order.headers) {
    absl::StrAppend(&text, header.first, ": ", header.second, "\r\n");
  }
  if (!m_order.deadline_header.empty()) {
    const auto left = ToMilliseconds(m_order.deadline - aNow).count();
    absl::StrAppend(&text,
                    m_order.deadline_header,
                    ": ",
                    std::max<std::int64_t>(1, left),
                    "\r\n");
  }
  const bool bodyMethod = m_order.method == "POST" || m_order.method == "PUT" ||
                          m_order.method == "PATCH";
  if (m_order.has_body && !m_order.length) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (m_order.has_body || bodyMethod) {
    absl::StrAppend(
      &text, "Content-Length: ", m_order.length.value_or(0), "\r\n");
  }
  return text + "\r\n";
}

void
UpstreamTransfer::SendMore()
{
  if (m_writing || m_ended || m_connection == nullptr || m_connecting) {
    return;
  }
  if (!TakeRequestBody()) {
    m_callerBroke = true;
    m_mayKeep = false;
    Finish(false, "the caller broke its body off");
    return;
  }
  if (m_output.empty()) {
    return;
  }
  m_writing = true;
  asio::async_write(
    m_connection->socket,
    asio::buffer(m_output),
    [self = shared_from_this()](const Error& aError, std::size_t /*aSize*/) {
      self->OnSent(aError);
    });
}

/// Adds what the caller has sent to the output.
/// @return False if the caller broke its body off.
bool
UpstreamTransfer::TakeRequestBody()
{
  std::string block(m_requestWhole ? 0 : kBlock, '\0');
  while (!m_requestWhole && m_output.size() < kBlock) {
    std::size_t size = 0;
    switch (m_order.exchange->UpstreamRead(block.data(), block.size(), size)) {
      case StreamResult::Some:
        if (!m_order.length) {
          absl::StrAppend(&m_output, absl::Hex(size), "\r\n");
        }
        m_output.append(block, 0, size);
        if (!m_order.length) {
          m_output += "\r\n";
        }
        break;
      case StreamResult::End:
        m_requestWhole = true;
        if (!m_order.length) {
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
UpstreamTransfer::OnSent(const Error& aError)
{
  m_writing = false;
  m_output.clear();
  if (m_ended) {
    return;
  }
  if (aError) {
    // An answer may have come before the endpoint closed; the reading side
    // finds it, or the end.
    m_mayKeep = false;
    m_requestWhole = true;
    return;
  }
  SendMore();
}

void
UpstreamTransfer::Read()
{
  if (m_reading || m_ended || m_held.size() >= kMostWaiting) {
    return;
  }
  m_reading = true;
  m_connection->socket.async_read_some(
    m_connection->input.prepare(kBlock),
    [self = shared_from_this(), connection = m_connection](
      const Error& aError, std::size_t aSize) { self->OnRead(aError, aSize); });
}

void
UpstreamTransfer::OnRead(const Error& aError, std::size_t aSize)
{
  m_reading = false;
  if (m_ended) {
    return;
  }
  if (aError) {
    OnInputEnd(aError);
    return;
  }
  m_anyAnswer = true;
  m_connection->input.commit(aSize);
  while (!m_ended && Parse()) {
  }
  if (!m_ended) {
    Flush();
    Read();
  }
}

void
UpstreamTransfer::OnInputEnd(const Error& aError)
{
  m_mayKeep = false;
  const bool clean = aError == asio::error::eof;
  if (clean && m_headRead && !m_foreign && m_parser->need_eof()) {
    OnAnswerWhole();
    return;
  }
  Finish(false,
         clean ? "the connection ended before the answer did"
               : aError.message());
}

/// Takes one step of the answer out of the input.
/// @return False if more bytes are needed.
bool
UpstreamTransfer::Parse()
{
  auto& input = m_connection->input;
  if (input.size() == 0) {
    return false;
  }
  if (!m_parser->is_header_done()) {
    const auto bytes = input.data();
    const HeadScan scan =
      ScanHead({ static_cast<const char*>(bytes.data()), bytes.size() });
    if (scan.size == 0 && bytes.size() < kMostHead) {
      return false;
    }
    if (scan.size == 0 || scan.size > kMostHead || !scan.fault.empty()) {
      m_mayKeep = false;
      Finish(false, "the answer's head cannot be read");
      return false;
    }
    m_parser->header_limit(static_cast<std::uint32_t>(scan.size + 1));
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_order.method == "HEAD");
  }
  const bool hadHead = m_parser->is_header_done();
  Error error;
  const std::size_t used = m_parser->put(input.data(), error);
  input.consume(used);
  if (error && error != http::error::need_more) {
    m_mayKeep = false;
    Finish(false, "the answer cannot be read: " + error.message());
    return false;
  }
  if (!hadHead && m_parser->is_header_done()) {
    OnAnswerHead();
  }
  const std::string body = std::exchange(m_parser->get().body(), std::string());
  if (m_headRead && !m_foreign) {
    m_held += body;
    m_keptWhole = m_keptWhole && m_kept.size() + body.size() <= kMostKeptBody;
    m_kept = m_keptWhole ? m_kept + body : std::string();
  }
  if (m_parser->is_done()) {
    if (m_headRead && !m_foreign) {
      OnAnswerWhole();
      return false;
    }
    m_parser.emplace(); // An interim answer, or one of another request.
    m_foreign = false;
    return true;
  }
  return used > 0 && input.size() > 0;
}

void
UpstreamTransfer::OnAnswerHead()
{
  const auto& message = m_parser->get();
  ResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.headers.emplace_back(field.name_string(), field.value());
  }
  if (head.status < kFirstFinalStatus) {
    return;
  }
  const std::string* echo = m_order.echo_header.empty()
                              ? nullptr
                              : FindHeader(head.headers, m_order.echo_header);
  if (!m_order.echo.empty()) {
    // Later answers on this connection could not be told apart.
    m_mayKeep = m_mayKeep && echo != nullptr;
    m_foreign = echo != nullptr && *echo != m_order.echo;
  }
  if (m_foreign) {
    m_mayKeep = false;
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
UpstreamTransfer::OnAnswerWhole()
{
  m_whole = true;
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
  if (m_whole && !m_head.length) {
    m_head.length = m_held.size();
  }
  AttemptEvent event;
  event.id = m_order.id;
  event.kind = AttemptEvent::Kind::Head;
  event.head = m_head;
  m_context.on_event(std::move(event));
}

void
UpstreamTransfer::Flush()
{
  const bool hold = m_order.hold && !m_whole && m_held.size() < kMostHeld;
  if (!hold) {
    ReportHead();
  }
  if (!m_accepted) {
    return;
  }
  while (!m_held.empty()) {
    const std::size_t size = std::min(m_held.size(), kBlock);
    if (!m_order.exchange->UpstreamWrite(m_held.data(), size)) {
      return; // The caller reads slowly; it wakes this side later.
    }
    m_held.erase(0, size);
  }
  if (m_ended && m_whole) {
    m_order.exchange->UpstreamFinish();
    Forget();
  } else if (m_ended) {
    m_order.exchange->UpstreamBreak();
    Forget();
  }
}

void
UpstreamTransfer::OnWake()
{
  if (!m_ended) {
    SendMore();
  }
  if (m_accepted) {
    Flush();
  }
  if (!m_ended && m_parser) {
    Read();
  }
}

void
UpstreamTransfer::Accept()
{
  m_accepted = true;
  TakeWakes(); // A hedged attempt may have taken them over.
  Flush();
  if (!m_ended && m_parser) {
    Read();
  }
}

void
UpstreamTransfer::Cancel()
{
  if (m_ended) {
    Forget();
    return;
  }
  m_mayKeep = false;
  Finish(false, "cancelled");
}

void
UpstreamTransfer::Finish(bool aWhole, const std::string& aError)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_whole = aWhole;
  m_timer.cancel();
  AttemptEvent event;
  event.id = m_order.id;
  event.whole = aWhole;
  event.sent = m_sent;
  event.caller_fault = m_callerBroke;
  event.stale =
    !aWhole && m_connection != nullptr && m_connection->used && !m_anyAnswer;
  event.body_kept = aWhole && m_keptWhole;
  event.kept_body = event.body_kept ? m_kept : std::string();
  event.error = aError;
  event.kept = ReleaseConnection();
  m_context.on_event(std::move(event));
  if (m_accepted) {
    Flush();
  } else if (!aWhole) {
    Forget();
  }
}

/// @return True if the connection was kept.
bool
UpstreamTransfer::ReleaseConnection()
{
  if (m_connection == nullptr) {
    return false;
  }
  const bool keep = m_whole && m_mayKeep && m_requestWhole && !m_writing &&
                    m_parser->keep_alive() && m_connection->input.size() == 0;
  if (keep) {
    const Duration proven = m_context.options.proven_for;
    m_connection->last_used = Clock::now();
    m_connection->unused_at =
      m_connection->last_used +
      std::min(proven, KeepAliveTime(m_head).value_or(proven));
    m_connection->used = true;
    m_context.pool.Put(m_connection);
  } else {
    Error ignored;
    m_connection->socket.close(ignored);
  }
  m_connection = nullptr;
  return keep;
}

void
UpstreamTransfer::Forget()
{
  m_context.on_done(m_order.id);
}

} // namespace sapphirelane
