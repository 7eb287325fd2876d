#include "sapphirelane/proxy/operator_front.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <utility>

#include <absl/strings/match.h>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/secret.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr unsigned int kThreadCount = 4;
constexpr unsigned int kIdleTimeoutSeconds = 30;
constexpr std::size_t kBearerPrefixLength = 7;

struct RequestContext
{
  OperatorCall request;
  bool too_large = false;
};

class MhdOperatorListener : public OperatorFront
{
public:
  MhdOperatorListener(OperatorFrontOptions aOptions,
                      std::function<OperatorReply(const OperatorCall&)> aHandle)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandle))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD,
                                m_options.port,
                                nullptr,
                                nullptr,
                                &MhdOperatorListener::OnAccess,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &MhdOperatorListener::OnCompleted,
                                this,
                                MHD_OPTION_THREAD_POOL_SIZE,
                                kThreadCount,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                kIdleTimeoutSeconds,
                                MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                1U,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
      throw Error("operators: cannot listen on " + m_options.address + ":" +
                  std::to_string(m_options.port));
    }
  }

  ~MhdOperatorListener() override { MHD_stop_daemon(m_daemon); }

private:
  static MHD_Result AddQueryParameter(void* aRequest,
                                      MHD_ValueKind /*aKind*/,
                                      const char* aName,
                                      const char* aValue)
  {
    auto* request = static_cast<OperatorCall*>(aRequest);
    request->query[aName] = aValue == nullptr ? "" : aValue;
    return MHD_YES;
  }

  static MHD_Result OnAccess(void* aListener,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* /*aVersion*/,
                             const char* aUpload,
                             std::size_t* aUploadSize,
                             void** aContext)
  {
    auto* listener = static_cast<MhdOperatorListener*>(aListener);
    auto* context = static_cast<RequestContext*>(*aContext);
    if (context == nullptr) {
      context = new RequestContext;
      context->request.method = aMethod;
      context->request.path = aUrl;
      MHD_get_connection_values(aConnection,
                                MHD_GET_ARGUMENT_KIND,
                                &MhdOperatorListener::AddQueryParameter,
                                &context->request);
      *aContext = context;
      return MHD_YES;
    }
    if (*aUploadSize > 0) {
      context->too_large =
        context->too_large ||
        context->request.body.size() + *aUploadSize > kMaxBodyBytes;
      if (!context->too_large) {
        context->request.body.append(aUpload, *aUploadSize);
      }
      *aUploadSize = 0;
      return MHD_YES;
    }
    return listener->SendResponse(aConnection, *context);
  }

  bool IsAuthorized(MHD_Connection* aConnection,
                    const OperatorCall& aRequest) const
  {
    if (!absl::StartsWith(aRequest.path, "/v1/")) {
      return true;
    }
    const char* value = MHD_lookup_connection_value(
      aConnection, MHD_HEADER_KIND, "Authorization");
    const std::string text = value == nullptr ? "" : value;
    if (!absl::StartsWithIgnoreCase(text, "bearer ")) {
      return false;
    }
    return EqualSecrets(DigestOf(text.substr(kBearerPrefixLength)),
                        m_options.credential_digest);
  }

  MHD_Result SendResponse(MHD_Connection* aConnection,
                          const RequestContext& aContext)
  {
    OperatorReply reply;
    if (!IsAuthorized(aConnection, aContext.request)) {
      reply = { 401, "application/json", "{\"error\":\"credential\"}\n" };
    } else if (aContext.too_large) {
      reply = { 413, "application/json", "{\"error\":\"too large\"}\n" };
    } else {
      reply = m_handler(aContext.request);
    }
    MHD_Response* response = MHD_create_response_from_buffer(
      reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(
      response, "Content-Type", reply.content_type.c_str());
    const MHD_Result queued = MHD_queue_response(
      aConnection, static_cast<unsigned int>(reply.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static void OnCompleted(void* /*aSelf*/,
                          MHD_Connection* /*aConnection*/,
                          void** aContext,
                          MHD_RequestTerminationCode /*aCode*/)
  {
    delete static_cast<RequestContext*>(*aContext);
    *aContext = nullptr;
  }

  OperatorFrontOptions m_options;
  std::function<OperatorReply(const OperatorCall&)> m_handler;
  MHD_Daemon* m_daemon = nullptr;
};

} // namespace

std::unique_ptr<OperatorFront>
MakeOperatorFront(OperatorFrontOptions aOptions,
                  std::function<OperatorReply(const OperatorCall&)> aHandle)
{
  return std::make_unique<MhdOperatorListener>(std::move(aOptions),
                                               std::move(aHandle));
}

} // namespace sapphirelane
