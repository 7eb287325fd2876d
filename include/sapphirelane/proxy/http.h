#ifndef SAPPHIRELANE_PROXY_HTTP_H
#define SAPPHIRELANE_PROXY_HTTP_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Header names of the project, as callers and upstreams see them.
constexpr const char* kOutcomeHeader = "X-Sapphirelane-Outcome";
constexpr const char* kRequestIdHeader = "X-Sapphirelane-Request";
constexpr const char* kDeadlineHeader = "X-Sapphirelane-Deadline-Ms";
constexpr const char* kAccountHeader = "X-Sapphirelane-Account";
constexpr const char* kLoadHeader = "X-Sapphirelane-Load";
constexpr const char* kShedHeader = "X-Sapphirelane-Shed";
constexpr const char* kRepeatHeader = "X-Sapphirelane-Repeat";
constexpr const char* kIdempotencyHeader = "Idempotency-Key";

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
CheckHead(const RequestHead& aRequest);

/// @brief Head of an answer.
struct ResponseHead
{
  int status = 0;
  Headers headers;
  std::optional<std::uint64_t> length;
};

/// @brief Removes hop-by-hop headers of an upstream's answer.
Headers
AnswerHeaders(const Headers& aHeaders);

/// @brief Reads an upstream's load report, "in use/slots".
/// @return Share of slots in use, or nothing if it is malformed.
std::optional<double>
ParseLoad(const std::string& aText);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_HTTP_H
