#include "sapphirelane/proxy/upstream_io.h"

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/claims/claim.h"

namespace sapphirelane {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kMostWaitMs = 1000;

struct Command
{
  enum class Kind
  {
    Start,
    Accept,
    Cancel,
  };

  Kind kind = Kind::Start;
  std::uint64_t id = 0;
  AttemptOrder order;
};

/// One running transfer.
class Transfer
{
public:
  Transfer(AttemptOrder aOrder,
           const UpstreamIoOptions& aOptions,
           const std::function<void(AttemptEvent)>& aOnEvent,
           TimePoint aNow)
    : m_order(std::move(aOrder))
    , m_onEvent(aOnEvent)
    , m_easy(curl_easy_init())
  {
    SetRequest();
    SetConnection(aOptions, aNow);
    SetCallbacks();
  }

  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  ~Transfer()
  {
    m_order.exchange->SetUpstreamWake(nullptr);
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
  }

  CURL* Easy() const { return m_easy; }
  const AttemptOrder& Order() const { return m_order; }

  /// Lets a paused transfer go on.
  void Wake() { curl_easy_pause(m_easy, CURLPAUSE_CONT); }

  /// Reports the head of an answer without a body, if not done yet.
  void ReportHead()
  {
    if (m_headReported || m_head.status < kFirstFinalStatus) {
      return;
    }
    m_headReported = true;
    AttemptEvent event;
    event.id = m_order.id;
    event.kind = AttemptEvent::Kind::Head;
    event.head = m_head;
    m_onEvent(std::move(event));
  }

  /// Ends the stream into the exchange and reports the end.
  void ReportEnd(CURLcode aCode, const std::string& aError)
  {
    const bool whole = aCode == CURLE_OK && m_head.status > 0;
    if (whole) {
      ReportHead();
    }
    AttemptEvent event;
    event.id = m_order.id;
    event.whole = whole;
    event.sent = MayHaveSent();
    event.caller_fault = m_callerBroke;
    event.body_kept = whole && m_keptWhole;
    event.kept_body = event.body_kept ? m_kept : std::string();
    if (!whole) {
      event.error = aError.empty() ? curl_easy_strerror(aCode) : aError;
    }
    m_ended = true;
    m_whole = whole;
    CloseStream();
    m_onEvent(std::move(event));
  }

  bool Ended() const { return m_ended; }
  bool Accepted() const { return m_accepted; }

  /// Passes the end on to the exchange once the answer is accepted.
  void CloseStream()
  {
    if (!m_ended || !m_accepted) {
      return;
    }
    if (m_whole) {
      m_order.exchange->UpstreamFinish();
    } else {
      m_order.exchange->UpstreamBreak();
    }
  }

  void MarkAccepted() { m_accepted = true; }

private:
  bool MayHaveSent() const
  {
    long bytes = 0;
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0 || m_head.status > 0;
  }

  void SetRequest()
  {
    const std::string url = "http://" + m_order.address + m_order.target;
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_order.method.c_str());
    if (m_order.has_body) {
      curl_easy_setopt(m_easy, CURLOPT_UPLOAD, 1L);
      if (m_order.length) {
        curl_easy_setopt(m_easy,
                         CURLOPT_INFILESIZE_LARGE,
                         static_cast<curl_off_t>(*m_order.length));
      }
    } else if (m_order.method == "HEAD") {
      curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
      curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_order.method.c_str());
    }
    // Headers that the library would add of its own accord are taken out.
    Append("Expect:");
    if (FindHeader(m_order.headers, "accept") == nullptr) {
      Append("Accept:");
    }
    const bool bodyMethod = m_order.method == "POST" ||
                            m_order.method == "PUT" ||
                            m_order.method == "PATCH";
    if (!m_order.has_body && bodyMethod) {
      Append("Content-Length: 0");
    }
    for (const Header& header : m_order.headers) {
      const std::string line = header.second.empty()
                                 ? header.first + ";"
                                 : header.first + ": " + header.second;
      Append(line);
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
  }

  void Append(const std::string& aLine)
  {
    m_headers = curl_slist_append(m_headers, aLine.c_str());
  }

  void SetConnection(const UpstreamIoOptions& aOptions, TimePoint aNow)
  {
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_easy,
                     CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(aOptions.connect_timeout.count()));
    const auto left = ToMilliseconds(m_order.deadline - aNow).count();
    curl_easy_setopt(
      m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<long>(1, left)));
    const auto proven =
      std::chrono::ceil<std::chrono::seconds>(aOptions.proven_for).count();
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, static_cast<long>(proven));
    if (m_order.new_connection) {
      // The library repeats a request by itself only on a reused connection.
      curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    }
  }

  void SetCallbacks()
  {
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_READFUNCTION, &Transfer::OnRead);
    curl_easy_setopt(m_easy, CURLOPT_READDATA, this);
  }

  static std::size_t OnBody(char* aBytes,
                            std::size_t aOne,
                            std::size_t aSize,
                            void* aSelf)
  {
    return static_cast<Transfer*>(aSelf)->TakeBody(aBytes, aOne * aSize);
  }

  std::size_t TakeBody(const char* aBytes, std::size_t aSize)
  {
    ReportHead();
    if (!m_accepted || !m_order.exchange->UpstreamWrite(aBytes, aSize)) {
      return CURL_WRITEFUNC_PAUSE;
    }
    if (m_keptWhole && m_kept.size() + aSize <= kMostKeptBody) {
      m_kept.append(aBytes, aSize);
    } else {
      m_keptWhole = false;
      m_kept.clear();
    }
    return aSize;
  }

  static std::size_t OnHeader(char* aBytes,
                              std::size_t aOne,
                              std::size_t aSize,
                              void* aSelf)
  {
    static_cast<Transfer*>(aSelf)->TakeHeader(
      absl::string_view(aBytes, aOne * aSize));
    return aOne * aSize;
  }

  void TakeHeader(absl::string_view aLine)
  {
    const absl::string_view line = absl::StripAsciiWhitespace(aLine);
    if (absl::StartsWith(line, "HTTP/")) {
      m_head = {};
      const std::size_t space = line.find(' ');
      constexpr std::size_t kStatusDigits = 3;
      if (space != absl::string_view::npos) {
        (void)absl::SimpleAtoi(line.substr(space + 1, kStatusDigits),
                               &m_head.status);
      }
      return;
    }
    const std::size_t colon = line.find(':');
    if (m_headReported || colon == absl::string_view::npos) {
      return;
    }
    const std::string name(line.substr(0, colon));
    const std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    std::uint64_t length = 0;
    if (absl::EqualsIgnoreCase(name, "content-length") &&
        absl::SimpleAtoi(value, &length)) {
      m_head.length = length;
    }
    m_head.headers.emplace_back(name, value);
  }

  static std::size_t OnRead(char* aBytes,
                            std::size_t aOne,
                            std::size_t aSize,
                            void* aSelf)
  {
    return static_cast<Transfer*>(aSelf)->GiveBody(aBytes, aOne * aSize);
  }

  std::size_t GiveBody(char* aBytes, std::size_t aMost)
  {
    std::size_t read = 0;
    switch (m_order.exchange->UpstreamRead(aBytes, aMost, read)) {
      case StreamResult::Some:
        return read;
      case StreamResult::End:
        return 0;
      case StreamResult::Wait:
        return CURL_READFUNC_PAUSE;
      case StreamResult::Broken:
        break;
    }
    m_callerBroke = true;
    return CURL_READFUNC_ABORT;
  }

  AttemptOrder m_order;
  const std::function<void(AttemptEvent)>& m_onEvent;
  CURL* m_easy;
  curl_slist* m_headers = nullptr;
  ResponseHead m_head;
  bool m_headReported = false;
  bool m_accepted = false;
  bool m_callerBroke = false;
  bool m_ended = false;
  bool m_whole = false;
  std::string m_kept;
  bool m_keptWhole = true;
};

class CurlUpstreamIo : public UpstreamIoDuty
{
public:
  CurlUpstreamIo(UpstreamIoOptions aOptions,
                 std::function<void(AttemptEvent)> aOnEvent)
    : m_options(aOptions)
    , m_onEvent(std::move(aOnEvent))
    , m_multi(curl_multi_init())
    , m_ring(aOptions.ring, [this] { curl_multi_wakeup(m_multi); })
  {
    curl_multi_setopt(
      m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, aOptions.pool_per_endpoint);
    // Idle connections kept over all endpoints.
    constexpr long kIdleConnections = 256;
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
  }

  ~CurlUpstreamIo() override
  {
    for (auto& entry : m_transfers) {
      curl_multi_remove_handle(m_multi, entry.second->Easy());
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }

  std::string Name() const override { return "upstream-io"; }

  void Run() override
  {
    while (!m_stop) {
      for (Command& command : m_ring.TakeAll(Duration::zero())) {
        Execute(command);
      }
      WakeTransfers();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      Reap();
      curl_multi_poll(m_multi, nullptr, 0, kMostWaitMs, nullptr);
    }
  }

  void Stop() override
  {
    m_stop = true;
    curl_multi_wakeup(m_multi);
  }

  void Start(AttemptOrder aOrder) override
  {
    Command command;
    command.kind = Command::Kind::Start;
    command.id = aOrder.id;
    command.order = std::move(aOrder);
    m_ring.PushWaiting(std::move(command));
  }

  void Accept(std::uint64_t aAttempt) override
  {
    Push(Command::Kind::Accept, aAttempt);
  }

  void Cancel(std::uint64_t aAttempt) override
  {
    Push(Command::Kind::Cancel, aAttempt);
  }

private:
  void Push(Command::Kind aKind, std::uint64_t aAttempt)
  {
    Command command;
    command.kind = aKind;
    command.id = aAttempt;
    m_ring.PushWaiting(std::move(command));
  }

  void Execute(Command& aCommand)
  {
    if (aCommand.kind == Command::Kind::Start) {
      Begin(std::move(aCommand.order));
      return;
    }
    auto found = m_transfers.find(aCommand.id);
    if (found == m_transfers.end()) {
      return;
    }
    Transfer& transfer = *found->second;
    if (aCommand.kind == Command::Kind::Cancel) {
      End(transfer, CURLE_ABORTED_BY_CALLBACK, "cancelled");
    } else if (aCommand.kind == Command::Kind::Accept) {
      transfer.MarkAccepted();
      if (transfer.Ended()) {
        transfer.CloseStream();
        m_transfers.erase(found);
        return;
      }
      transfer.Wake();
    }
  }

  void Begin(AttemptOrder aOrder)
  {
    const TimePoint now = Clock::now();
    if (now >= aOrder.send_before) {
      EndUnsent(aOrder.id, "the right to send had lapsed");
      return;
    }
    if (aOrder.rewind && !aOrder.exchange->RewindRequest()) {
      EndUnsent(aOrder.id, "the body is too large to be sent again");
      return;
    }
    const std::uint64_t id = aOrder.id;
    ExchangePtr exchange = aOrder.exchange;
    auto transfer =
      std::make_unique<Transfer>(std::move(aOrder), m_options, m_onEvent, now);
    exchange->SetUpstreamWake([this, id] { WakeLater(id); });
    curl_multi_add_handle(m_multi, transfer->Easy());
    m_transfers[id] = std::move(transfer);
  }

  void EndUnsent(std::uint64_t aAttempt, const std::string& aError)
  {
    AttemptEvent event;
    event.id = aAttempt;
    event.sent = false;
    event.error = aError;
    m_onEvent(std::move(event));
  }

  /// Called from the caller's thread, under the exchange's lock.
  void WakeLater(std::uint64_t aAttempt)
  {
    {
      std::lock_guard<std::mutex> lock(m_wakeMutex);
      m_wakes.insert(aAttempt);
    }
    curl_multi_wakeup(m_multi);
  }

  void WakeTransfers()
  {
    std::set<std::uint64_t> wakes;
    {
      std::lock_guard<std::mutex> lock(m_wakeMutex);
      wakes.swap(m_wakes);
    }
    for (std::uint64_t id : wakes) {
      auto found = m_transfers.find(id);
      if (found != m_transfers.end() && !found->second->Ended()) {
        found->second->Wake();
      }
    }
  }

  void Reap()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      const CURLcode code = message->data.result;
      End(*transfer, code, "");
    }
  }

  void End(Transfer& aTransfer, CURLcode aCode, const std::string& aError)
  {
    if (aTransfer.Ended()) {
      if (aError == "cancelled") {
        m_transfers.erase(aTransfer.Order().id);
      }
      return;
    }
    curl_multi_remove_handle(m_multi, aTransfer.Easy());
    aTransfer.ReportEnd(aCode, aError);
    const bool waits = aCode == CURLE_OK && !aTransfer.Accepted();
    if (!waits) {
      m_transfers.erase(aTransfer.Order().id);
    }
  }

  UpstreamIoOptions m_options;
  std::function<void(AttemptEvent)> m_onEvent;
  CURLM* m_multi;
  BoundedRing<Command> m_ring;
  std::map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
  std::mutex m_wakeMutex;
  std::set<std::uint64_t> m_wakes; ///< At most one for each transfer.
  std::atomic<bool> m_stop{ false };
};

} // namespace

std::unique_ptr<UpstreamIoDuty>
MakeUpstreamIo(UpstreamIoOptions aOptions,
               std::function<void(AttemptEvent)> aOnEvent)
{
  return std::make_unique<CurlUpstreamIo>(aOptions, std::move(aOnEvent));
}

} // namespace sapphirelane
