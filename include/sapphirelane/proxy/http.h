#ifndef SAPPHIRELANE_PROXY_HTTP_H
#define SAPPHIRELANE_PROXY_HTTP_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/proxy/dialect.h"

namespace sapphirelane {

/// @brief Response header that marks a replayed response.
///
/// Only the product's own dialect has it.
constexpr const char* kRepeatHeader = "X-Sapphirelane-Repeat";

using Header = std::pair<std::string, std::string>;
using Headers = std::vector<Header>;

/// @brief Finds a header; the case of its name does not matter.
/// @return Its value, or nullptr if it is absent.
const std::string*
FindHeader(const Headers& aHeaders, const std::string& aName);

/// @brief Head of a caller's request, as received.
struct RequestHead
{
  std::uint64_t id = 0;
  std::string method;
  std::string target; ///< Path and query, as sent.
  Headers headers;    ///< All of them, including keys.
  TimePoint arrived{};
};

/// @brief Result of validating a request head.
struct CheckedHead
{
  std::string path;        ///< Target without the query.
  std::string host;        ///< Host name in lower case, without a port.
  std::string request_id;  ///< Set by the caller; empty if absent.
  Headers forward;         ///< Headers to forward to an upstream.
  std::string key_digest;  ///< Of the API key; empty if none.
  std::string idempotency; ///< Idempotency key; empty if none.
  std::optional<Milliseconds> deadline; ///< From the caller's header.
  std::optional<std::uint64_t> length;  ///< Content-Length.
  bool has_body = false;
  std::string fault; ///< Why the request is rejected; empty if valid.
};

/// @brief Validates framing and headers of a request and extracts its keys.
///
/// Removes hop-by-hop headers and those listed in Connection. Rejects
/// conflicting lengths, several keys, keys outside their header, and
/// malformed deadlines or idempotency keys.
CheckedHead
CheckHead(const RequestHead& aRequest, const HttpDialect& aDialect);

/// @brief Head of a response.
struct ResponseHead
{
  int status = 0;
  Headers headers;
  std::optional<std::uint64_t> length;
};

/// @brief Removes hop-by-hop headers from an upstream's response, and those
/// meant for the daemon.
Headers
AnswerHeaders(const Headers& aHeaders, const HttpDialect& aDialect);

/// @return True if the upstream reports that it did not run the request.
bool
SaysNotRun(const ResponseHead& aHead, const HttpDialect& aDialect);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_HTTP_H
