#include "sapphirelane/proxy/caller_front.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <set>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/proxy/refusal.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kMostHeadBytes = 32768;
constexpr std::size_t kResponseBlock = 16384;

/// Suspends and resumes one connection of the library.
class ConnectionPort : public CallerPort
{
public:
  explicit ConnectionPort(MHD_Connection* aConnection)
    : m_connection(aConnection)
    , m_socket(
        MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd)
  {
  }

  void Suspend() override { MHD_suspend_connection(m_connection); }
  void Resume() override { MHD_resume_connection(m_connection); }

  bool IsClosed() const override
  {
    char byte = 0;
    const ssize_t got = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool failed =
      got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return got == 0 || failed;
  }

private:
  MHD_Connection* m_connection;
  int m_socket;
};

/// What the library carries from callback to callback of one request.
struct RequestContext
{
  std::string target;
  ExchangePtr exchange;
  std::uint64_t body_bytes = 0;
  bool too_large = false;
};

class MhdFront : public CallerFront
{
public:
  MhdFront(CallerFrontOptions aOptions,
           std::function<bool(ExchangePtr)> aOnRequest)
    : m_options(std::move(aOptions))
    , m_onRequest(std::move(aOnRequest))
    , m_nextRequest(m_options.first_request)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr);
    const auto idle =
      std::chrono::ceil<std::chrono::seconds>(m_options.limits.idle).count();
    m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
      m_options.port,
      nullptr,
      nullptr,
      &MhdFront::OnAccess,
      this,
      MHD_OPTION_SOCK_ADDR,
      &address,
      MHD_OPTION_URI_LOG_CALLBACK,
      &MhdFront::OnTarget,
      this,
      MHD_OPTION_NOTIFY_COMPLETED,
      &MhdFront::OnCompleted,
      this,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(m_options.limits.connections),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(idle),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      kMostHeadBytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE,
      1U,
      MHD_OPTION_STRICT_FOR_CLIENT,
      1,
      MHD_OPTION_END);
    if (m_daemon == nullptr) {
      throw Error("callers: cannot listen on " + m_options.address + ":" +
                  std::to_string(m_options.port));
    }
  }

  ~MhdFront() override
  {
    StopListening();
    EndAll();
    MHD_stop_daemon(m_daemon);
  }

  void StopListening() override
  {
    if (!m_quiet) {
      m_quiet = true;
      const int socket = MHD_quiesce_daemon(m_daemon);
      if (socket >= 0) {
        close(socket);
      }
    }
  }

  std::size_t Open() const override { return m_open; }

private:
  static void* OnTarget(void* /*aSelf*/,
                        const char* aTarget,
                        MHD_Connection* /*aConnection*/)
  {
    auto* context = new RequestContext;
    context->target = aTarget;
    return context;
  }

  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* /*aUrl*/,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aUpload,
                             std::size_t* aUploadSize,
                             void** aContext)
  {
    auto* self = static_cast<MhdFront*>(aSelf);
    auto* context = static_cast<RequestContext*>(*aContext);
    if (!context->exchange) {
      return self->Begin(aConnection, aMethod, aVersion, *context);
    }
    if (*aUploadSize > 0) {
      self->TakeBody(*context, aUpload, *aUploadSize);
      return MHD_YES;
    }
    return self->GiveAnswer(aConnection, *context);
  }

  static MHD_Result AddHeader(void* aHead,
                              MHD_ValueKind /*aKind*/,
                              const char* aName,
                              const char* aValue)
  {
    static_cast<RequestHead*>(aHead)->headers.emplace_back(
      aName, aValue == nullptr ? "" : aValue);
    return MHD_YES;
  }

  /// Answers what has no answer yet; the library refuses to stop while a
  /// connection is suspended.
  void EndAll()
  {
    std::lock_guard<std::mutex> lock(m_openMutex);
    for (const ExchangePtr& exchange : m_openExchanges) {
      Refuse(*exchange,
             { 503, Outcome::Unknown, "stopping", "this host stops now" });
      exchange->UpstreamBreak();
    }
  }

  MHD_Result Begin(MHD_Connection* aConnection,
                   const char* aMethod,
                   const char* aVersion,
                   RequestContext& aContext)
  {
    RequestHead head;
    head.id = m_nextRequest++;
    head.method = aMethod;
    head.target = aContext.target;
    head.arrived = Clock::now();
    MHD_get_connection_values(
      aConnection, MHD_HEADER_KIND, &MhdFront::AddHeader, &head);
    aContext.exchange = std::make_shared<Exchange>(
      std::move(head), m_options.limits.buffer_bytes);
    aContext.exchange->SetPort(std::make_unique<ConnectionPort>(aConnection));
    ++m_open;
    {
      std::lock_guard<std::mutex> lock(m_openMutex);
      m_openExchanges.insert(aContext.exchange);
    }
    if (std::string(aVersion) != "HTTP/1.1") {
      Refuse(*aContext.exchange,
             { 505, Outcome::NotRun, "version", "HTTP/1.1 is required" });
      return MHD_YES;
    }
    if (!m_onRequest(aContext.exchange)) {
      Refuse(*aContext.exchange,
             { 503, Outcome::NotRun, "busy", "this host is full" });
    }
    return MHD_YES;
  }

  void TakeBody(RequestContext& aContext,
                const char* aBytes,
                std::size_t& aSize) const
  {
    const std::size_t size = aContext.exchange->CallerWrite(aBytes, aSize);
    aContext.body_bytes += size;
    aSize -= size;
    if (aContext.body_bytes > m_options.limits.body_bytes &&
        !aContext.too_large) {
      aContext.too_large = true;
      Refuse(*aContext.exchange,
             { 413,
               Outcome::Unknown,
               "too-large",
               "the body grew above the limit" });
      aContext.exchange->CallerBreak();
    }
  }

  MHD_Result GiveAnswer(MHD_Connection* aConnection, RequestContext& aContext)
  {
    if (!aContext.too_large) {
      aContext.exchange->CallerFinish();
    }
    const auto head = aContext.exchange->CallerTakeHead();
    if (!head) {
      return MHD_YES;
    }
    auto* reader = new ExchangePtr(aContext.exchange);
    MHD_Response* response = MHD_create_response_from_callback(
      head->length ? *head->length : MHD_SIZE_UNKNOWN,
      kResponseBlock,
      &MhdFront::OnRead,
      reader,
      &MhdFront::FreeReader);
    for (const Header& header : head->headers) {
      MHD_add_response_header(
        response, header.first.c_str(), header.second.c_str());
    }
    if (m_quiet) {
      MHD_add_response_header(response, "Connection", "close");
    }
    const MHD_Result queued = MHD_queue_response(
      aConnection, static_cast<unsigned int>(head->status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static ssize_t OnRead(void* aReader,
                        std::uint64_t /*aPosition*/,
                        char* aBytes,
                        std::size_t aMost)
  {
    std::size_t read = 0;
    auto& exchange = *static_cast<ExchangePtr*>(aReader);
    switch (exchange->CallerRead(aBytes, aMost, read)) {
      case StreamResult::Some:
        return static_cast<ssize_t>(read);
      case StreamResult::Wait:
        return 0;
      case StreamResult::End:
        return MHD_CONTENT_READER_END_OF_STREAM;
      case StreamResult::Broken:
        break;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }

  static void FreeReader(void* aReader)
  {
    delete static_cast<ExchangePtr*>(aReader);
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* /*aConnection*/,
                          void** aContext,
                          MHD_RequestTerminationCode /*aCode*/)
  {
    auto* self = static_cast<MhdFront*>(aSelf);
    auto* context = static_cast<RequestContext*>(*aContext);
    if (context == nullptr) {
      return;
    }
    if (context->exchange) {
      context->exchange->CallerLeave();
      {
        std::lock_guard<std::mutex> lock(self->m_openMutex);
        self->m_openExchanges.erase(context->exchange);
      }
      --self->m_open;
    }
    delete context;
    *aContext = nullptr;
  }

  CallerFrontOptions m_options;
  std::function<bool(ExchangePtr)> m_onRequest;
  std::uint64_t m_nextRequest;
  MHD_Daemon* m_daemon = nullptr;
  std::atomic<bool> m_quiet{ false };
  std::atomic<std::size_t> m_open{ 0 };
  std::mutex m_openMutex;
  std::set<ExchangePtr> m_openExchanges;
};

} // namespace

std::unique_ptr<CallerFront>
MakeCallerFront(CallerFrontOptions aOptions,
                std::function<bool(ExchangePtr)> aOnRequest)
{
  return std::make_unique<MhdFront>(std::move(aOptions), std::move(aOnRequest));
}

} // namespace sapphirelane
