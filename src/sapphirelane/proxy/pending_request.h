#ifndef SAPPHIRELANE_PROXY_PENDING_REQUEST_H
#define SAPPHIRELANE_PROXY_PENDING_REQUEST_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Where a request stands.
enum class Stage
{
  AwaitToken,
  Queued,
  AwaitClaim,
  Sending,   ///< At least one attempt runs; no head has been passed on.
  Answering, ///< A head has been passed on.
};

/// @brief One attempt of a request.
struct Attempt
{
  std::uint64_t id = 0;
  std::string endpoint;
  TimePoint started{};
  bool trial = false;
  bool stalled = false; ///< Reported as stalled.
  bool headed = false;  ///< Its head has come.
  bool failed = false;  ///< Its head says so.
  bool moved = false;   ///< Another endpoint has the address.
  bool shed = false;    ///< The upstream said that it did not run it.
};

/// @brief A request between its arrival and its end.
struct PendingRequest
{
  ExchangePtr exchange;
  std::string name; ///< Its id in logs.
  CheckedHead head;
  std::string account; ///< Empty on a route open to all.
  std::string service;
  Route route;
  Stage stage = Stage::AwaitToken;
  TimePoint deadline{};
  AskId token = 0;
  TimePoint token_until{};
  AskId claim = 0;
  bool claimed = false;    ///< The claim was granted.
  bool reserved = false;   ///< A slot is set aside while the claim is asked.
  TimePoint claim_again{}; ///< When to ask for a running repeat anew.
  bool repeats = false;    ///< It is claimed by another request that runs.
  bool left = false;       ///< A byte of an attempt may have been sent.
  bool hedged = false;
  int answer_status = 0;
  std::string answer_type;
  std::vector<Attempt> attempts;  ///< Running.
  std::vector<std::string> tried; ///< Endpoints, also of ended ones.
  std::uint32_t attempts_made = 0;
  std::uint32_t attempts_sent = 0; ///< Those of which a byte may have left.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_PENDING_REQUEST_H
