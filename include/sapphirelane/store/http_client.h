#ifndef SAPPHIRELANE_STORE_HTTP_CLIENT_H
#define SAPPHIRELANE_STORE_HTTP_CLIENT_H

#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief An HTTP answer.
struct HttpReply
{
  int status = 0;
  std::string body;
};

/// @brief Calls one server and waits for the answer; used by one thread.
class HttpClient
{
public:
  virtual ~HttpClient() = default;

  /// @param aHeaders Lines such as "Authorization: Bearer x".
  /// @throws PlatformUnavailable if no whole answer comes in time.
  virtual HttpReply Call(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody,
                         const std::vector<std::string>& aHeaders) = 0;
};

/// @param aAddress "ip:port".
std::unique_ptr<HttpClient>
MakeHttpClient(const std::string& aAddress, Milliseconds aTimeout);

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_HTTP_CLIENT_H
