#ifndef SAPPHIRELANE_PROXY_DIALECT_H
#define SAPPHIRELANE_PROXY_DIALECT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sapphirelane/base/registry.h"

namespace sapphirelane {

/// @brief How a load header writes an endpoint's load.
enum class LoadFormat
{
  UsedOfSlots,         ///< "in use/slots"
  RunningWaitingSlots, ///< "running,waiting,slots"
};

/// @brief Header names and values spoken with callers and upstreams.
///
/// A header with an empty name is neither read nor sent.
struct HttpDialect
{
  /// Carries the request's id to the upstream, which echoes it.
  std::string request_id = "X-Sapphirelane-Request";
  /// The caller sends the request's id; otherwise the daemon numbers it.
  bool caller_names_requests = false;
  std::string deadline = "X-Sapphirelane-Deadline-Ms"; ///< Time left, in ms.
  std::string account = "X-Sapphirelane-Account"; ///< Sent to the upstream.
  /// Holds nothing but the caller's key; empty for a bearer key.
  std::string key;
  bool forward_host = false; ///< The upstream sees the caller's Host header.
  std::string idempotency = "Idempotency-Key";
  std::string outcome = "X-Sapphirelane-Outcome"; ///< On refusals.
  std::string load = "X-Sapphirelane-Load";
  LoadFormat load_format = LoadFormat::UsedOfSlots;
  /// In an upstream's answer: the request did not run.
  std::string not_run = "X-Sapphirelane-Shed";
  std::string not_run_value = "not-run"; ///< Empty for any value.
  int not_run_status = 503;              ///< 0 for any status.
  int other_endpoint_status = 0; ///< Also says that it did not run; 0 for none.
  /// Names the endpoint that is meant, so that no other one runs the request.
  std::string expected_endpoint;
  bool fractional_retry_after = false; ///< Callers read "Retry-After: 0.25".
  /// A success without this header is not the endpoint's answer.
  std::string receipt;
};

/// @brief Plug-in that gives the dialect of one platform.
class DialectSource
{
public:
  static constexpr const char* kKind = "HTTP dialect";

  virtual ~DialectSource() = default;

  virtual HttpDialect Get() const = 0;
};

using DialectRegistry = Registry<DialectSource>;

/// @brief Finds a dialect: "sapphirelane" is the product's own, any other name
/// is that of a plug-in.
/// @throws UnknownPlugin if the name is not registered.
HttpDialect
DialectOf(const std::string& aName);

/// @brief Load that an endpoint reports with an answer.
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;

  /// @return Requests at the endpoint for each of its slots.
  double Share() const
  {
    return static_cast<double>(running + waiting) / slots;
  }
};

/// @brief Reads an upstream's load report.
/// @return The load, or nothing if the text is malformed.
std::optional<LoadReport>
ParseLoad(const std::string& aText, LoadFormat aFormat);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DIALECT_H
