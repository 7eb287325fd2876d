#ifndef SAPPHIRELANE_STORE_HTTP_CLIENT_H
#define SAPPHIRELANE_STORE_HTTP_CLIENT_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Response to an HTTP request.
struct HttpReply
{
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers; ///< By name in lower case.
};

/// @brief Blocking HTTP client for one server. Not thread-safe.
class HttpClient
{
public:
  virtual ~HttpClient() = default;

  /// @brief Sends a request and waits for the response.
  /// @param aHeaders Header lines such as "Authorization: Bearer x".
  /// @throws PlatformUnavailable if no complete response arrives in time.
  virtual HttpReply Call(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody,
                         const std::vector<std::string>& aHeaders) = 0;
};

/// @param aAddress "ip:port" of the server.
/// @param aTimeout Time limit of a whole call.
std::unique_ptr<HttpClient>
MakeHttpClient(const std::string& aAddress, Milliseconds aTimeout);

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_HTTP_CLIENT_H
