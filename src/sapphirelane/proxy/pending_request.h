#ifndef SAPPHIRELANE_PROXY_PENDING_REQUEST_H
#define SAPPHIRELANE_PROXY_PENDING_REQUEST_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Processing stage of a request.
enum class RequestStage
{
  AwaitingToken,
  Queued,
  AwaitingClaim,
  AwaitingResponse, ///< An attempt runs; no response head was forwarded.
  AwaitingRetry,    ///< Waits for a further attempt; see RetryController.
  Responding,       ///< A response head was forwarded.
};

/// @brief Whether no attempt of a request in this stage is running.
inline bool
IsUnsent(RequestStage aStage)
{
  return aStage != RequestStage::AwaitingResponse &&
         aStage != RequestStage::Responding;
}

/// @brief One attempt of a request.
struct Attempt
{
  std::uint64_t id = 0;
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the endpoint.
  TimePoint started{};
  bool trial = false;         ///< Tests an ejected endpoint.
  double queued_turns = 0;    ///< See Placement.
  bool stalled = false;       ///< Reported as stalled.
  bool head_received = false; ///< The response head has arrived.
  bool failed = false;        ///< By its response head.
  bool misdirected = false;   ///< Another endpoint has taken the address.
  bool shed = false;          ///< The upstream says that it did not run.
};

/// @brief State of a request from its arrival to its completion.
struct PendingRequest
{
  ExchangePtr exchange;
  std::string log_id; ///< Request id in log lines.
  CheckedHead head;
  std::string account; ///< Empty on a route without authentication.
  std::string service;
  Route route;
  std::uint64_t fingerprint = 0; ///< See CrashGuard.
  std::uint32_t priority = 0;    ///< Of the account or the route; 0 is highest.
  RequestStage stage = RequestStage::AwaitingToken;
  TimePoint deadline{};
  AskId token_ask = 0;
  TimePoint token_valid_until{};
  AskId claim_ask = 0;
  bool claim_granted = false;
  bool slot_reserved = false; ///< Holds a slot while the claim is pending.
  TimePoint next_claim_at{};  ///< When to poll the claim of a repeated request.
  bool is_repeat = false;     ///< Another running request holds the claim.
  bool may_have_run = false;  ///< An attempt may have reached an upstream.
  bool hedged = false;
  std::uint64_t forwarded_attempt = 0; ///< Its answer goes to the caller.
  int response_status = 0;
  std::string response_content_type;
  std::vector<Attempt> attempts;            ///< Running attempts.
  std::vector<std::string> tried_endpoints; ///< Of running and ended attempts.
  std::uint32_t attempts_made = 0;
  std::uint32_t attempts_sent = 0; ///< Those that may have sent a byte.
  std::uint32_t sheds = 0;         ///< Attempts that were shed.
  std::uint32_t retry_waits = 0;   ///< Times that it has waited for a retry.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_PENDING_REQUEST_H
