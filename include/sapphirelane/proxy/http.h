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

/// @brief Headers that only the product's own dialect has.
constexpr const char* kRepeatHeader = "X-Sapphirelane-Repeat";

using Header = std::pair<std::string, std::string>;
using Headers = std::vector<Header>;

/// @brief Finds a header, whatever the case of its name.
/// @return Its value, or nullptr if it is absent.
const std::string*
FindHeader(const Headers& aHeaders, const std::string& aName);

/// @brief A caller's request as it came in.
struct RequestHead
{
  std::uint64_t id = 0;
  std::string method;
  std::string target; ///< Path and query, as sent.
  Headers headers;    ///< All, with keys still in them.
  TimePoint arrived{};
};

/// @brief What is left of a request after checking its head.
struct CheckedHead
{
  std::string path;        ///< Target without the query.
  std::string host;        ///< Host name in lower case, without a port.
  std::string request_id;  ///< As the caller named it; empty if it did not.
  Headers forward;         ///< Headers that may go to an upstream.
  std::string key_digest;  ///< Of the presented key; empty if none.
  std::string idempotency; ///< Idempotency key; empty if none.
  std::optional<Milliseconds> deadline; ///< From the caller's header.
  std::optional<std::uint64_t> length;  ///< Content-Length.
  bool has_body = false;
  std::string fault; ///< Why the request is refused; empty if it is sound.
};

/// @brief Checks framing and headers of a request and takes out the keys.
///
/// Removes hop-by-hop headers and those that Connection names. Refuses
/// conflicting lengths, several keys, keys outside their header, and
/// deadlines or idempotency keys that are malformed.
CheckedHead
CheckHead(const RequestHead& aRequest, const HttpDialect& aDialect);

/// @brief Head of an answer.
struct ResponseHead
{
  int status = 0;
  Headers headers;
  std::optional<std::uint64_t> length;
};

/// @brief Removes hop-by-hop headers of an upstream's answer, and those that
/// are meant for the daemon.
Headers
AnswerHeaders(const Headers& aHeaders, const HttpDialect& aDialect);

/// @brief Tells whether an upstream says that it did not run the request.
bool
SaysNotRun(const ResponseHead& aHead, const HttpDialect& aDialect);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_HTTP_H
