#ifndef SAPPHIRELANE_PROXY_DIALECT_H
#define SAPPHIRELANE_PROXY_DIALECT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sapphirelane/base/registry.h"

namespace sapphirelane {

/// @brief Format of the load header of a response.
enum class LoadFormat
{
  UsedOfSlots,         ///< "in use/slots"
  RunningWaitingSlots, ///< "running,waiting,slots"
};

/// @brief Names and values of the HTTP headers exchanged with callers and
/// upstreams.
///
/// A platform with its own header names provides another dialect. A header with
/// an empty name is neither read nor sent.
struct HttpDialect
{
  /// Header with the request id, sent to the upstream and echoed by it.
  std::string request_id = "X-Sapphirelane-Request";
  /// Whether the caller sets the request id; otherwise the daemon assigns it.
  bool caller_names_requests = false;
  std::string deadline = "X-Sapphirelane-Deadline-Ms"; ///< Time left in ms.
  std::string account = "X-Sapphirelane-Account"; ///< Sent to the upstream.
  /// Header with the caller's API key; empty if the key is a bearer token.
  std::string key;
  bool forward_host = false; ///< Forward the caller's Host header.
  std::string idempotency = "Idempotency-Key";
  std::string outcome = "X-Sapphirelane-Outcome"; ///< On refusals.
  std::string load = "X-Sapphirelane-Load";
  LoadFormat load_format = LoadFormat::UsedOfSlots;
  /// Header of an upstream's response that says that the request did not run.
  std::string not_run = "X-Sapphirelane-Shed";
  std::string not_run_value = "not-run"; ///< Empty for any value.
  int not_run_status = 503;              ///< 0 for any status.
  /// Header of an endpoint's response that says that it leaves.
  std::string leaving = "X-Sapphirelane-Leaving";
  std::string leaving_value = "1";
  /// Header of an endpoint's response with the requests a second that it takes
  /// from all hosts together.
  std::string limit = "X-Sapphirelane-Limit";
  /// Header of an endpoint's response with the time in ms for which it stays
  /// cold; see Service::cold_per_second.
  std::string cold = "X-Sapphirelane-Cold-Ms";
  /// Status of an endpoint that is not the intended one, so that the request
  /// did not run; 0 for none.
  int other_endpoint_status = 0;
  /// Header with the intended endpoint, so that no other one runs the request.
  std::string expected_endpoint;
  bool fractional_retry_after = false; ///< Callers accept "Retry-After: 0.25".
  /// Header that every success of an endpoint carries. A success without it is
  /// not the endpoint's response.
  std::string receipt;
};

/// @brief Plug-in that provides the dialect of a platform.
class DialectSource
{
public:
  static constexpr const char* kKind = "HTTP dialect";

  virtual ~DialectSource() = default;

  virtual HttpDialect Get() const = 0;
};

using DialectRegistry = Registry<DialectSource>;

/// @brief Returns the dialect with a name: "sapphirelane" is built in, any
/// other is a plug-in.
/// @throws UnknownPlugin if the name is not registered.
HttpDialect
DialectOf(const std::string& aName);

/// @brief Load that an endpoint reports with a response.
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;

  /// @return Number of requests at the endpoint per slot.
  double Share() const
  {
    return static_cast<double>(running + waiting) / slots;
  }
};

/// @brief Parses an upstream's load header.
/// @return The load, or nothing if the text is malformed.
std::optional<LoadReport>
ParseLoad(const std::string& aText, LoadFormat aFormat);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DIALECT_H
