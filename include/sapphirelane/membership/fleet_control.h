#ifndef SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H
#define SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/time.h"
#include "sapphirelane/claims/claim_table.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/routing/retry_urgency.h"
#include "sapphirelane/wire/store_version.h"

namespace sapphirelane {

/// @brief Unique number of a request for a token or a claim.
using AskId = std::uint64_t;

/// @brief Outcome of a request for a token.
enum class TokenVerdict
{
  Granted,
  Refused,     ///< The account has exceeded its rate and burst.
  Unavailable, ///< No holder of the token bucket could be reached.
};

/// @brief Result of FleetControl::RequestToken.
struct TokenResult
{
  AskId ask = 0;
  TokenVerdict verdict = TokenVerdict::Unavailable;
  Milliseconds retry_after{ 0 };
  TimePoint valid_until{}; ///< A granted token must be used before this.
};

/// @brief Result of FleetControl::RequestClaim.
struct ClaimResult
{
  AskId ask = 0;
  ClaimReply reply;
};

/// @brief Whether a service's retry budget allows a retry or hedge, and what
/// was known of the budget's window.
struct RetryDecision
{
  bool allowed = true;
  double spent = 0;    ///< Retries and hedges of the fleet in the window.
  double budget = 0;   ///< Those allowed in it.
  Duration known{ 0 }; ///< Part of the window that this daemon knows.
};

/// @brief Results of requests to one endpoint, summed over the fleet or one
/// daemon; input to outlier ejection and load balancing.
struct EndpointEvidence
{
  std::string endpoint;
  std::uint32_t answered = 0; ///< Complete answers.
  std::uint32_t bad = 0;      ///< Failed or stalled attempts.
  std::uint32_t shed = 0;  ///< Attempts that the endpoint rejected as overload.
  std::uint32_t begun = 0; ///< Attempts of other daemons that have started.
  Duration answer_time{ 0 }; ///< Mean response time; 0 if unknown.
  /// Requests of other daemons in progress there; nothing if unknown.
  std::optional<std::uint32_t> in_flight;
};

/// @brief Start, progress or end of one attempt of this daemon at an endpoint.
struct WorkReport
{
  std::string service;
  std::string endpoint;
  std::uint32_t in_flight = 0; ///< Requests of this daemon in progress there.
  std::uint32_t answered = 0;  ///< Since the previous report.
  std::uint32_t bad = 0;
  std::uint32_t shed = 0;
  Duration answer_time{ 0 }; ///< Response time of the answered request.
  bool begins = false;       ///< The first attempt of a request starts.
  bool extra = false;        ///< A retry or hedge of a request starts.
};

/// @brief Endpoint results for one service, exchanged between daemons.
struct FleetEvidence
{
  std::string service;
  std::vector<EndpointEvidence> endpoints;
};

/// @brief An endpoint has told some daemon that it leaves.
struct LeaveReport
{
  std::string service;
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so; 0 if unknown.
};

/// @brief An endpoint has told some daemon what it takes.
struct LimitReport
{
  std::string service;
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so; 0 if unknown.
  /// Requests a second from all hosts together; nothing if it names no limit.
  std::optional<double> limit;
};

/// @brief An endpoint has told some daemon that it is cold.
struct ColdReport
{
  std::string service;
  std::string endpoint;
  std::uint64_t lifetime = 0; ///< Of the process that said so; 0 if unknown.
  Milliseconds left{ 0 };     ///< Time for which it stays cold.
};

/// @brief What became of a request that may end the endpoints that work on it.
struct CrashReport
{
  std::uint64_t request = 0; ///< Fingerprint.
  bool served = false;       ///< It was answered; else an endpoint has ended.
  std::uint64_t process = 0; ///< Hash of the process that has ended.
  Duration worked{ 0 };      ///< For how long it had the request.
};

/// @brief Version and source of a daemon's view of the endpoints.
struct ViewState
{
  StoreVersion version; ///< Store version up to which it is complete.
  Duration age{ 0 };    ///< Time since it matched the store.
  std::string source;   ///< "store", or the daemon that refreshed it.
};

using ControlEvent = std::variant<TokenResult,
                                  ClaimResult,
                                  FleetEvidence,
                                  LeaveReport,
                                  LimitReport,
                                  ColdReport,
                                  CrashReport>;

/// @brief Interface between the request path of a daemon and the control plane
/// of the fleet.
///
/// Each request for a token or claim is answered by exactly one event; events
/// come in any order. Used by one thread only.
class FleetControl
{
public:
  virtual ~FleetControl() = default;

  /// @brief Configuration in force, or nullptr if none is known yet.
  virtual const FleetConfig* Config() const = 0;

  /// @brief Keys of the configuration, without those revoked.
  virtual const KeyDirectory& Keys() const = 0;

  /// @brief Tells whether the configuration is confirmed to be the newest.
  virtual bool IsFresh(TimePoint aNow) const = 0;

  /// @brief State of the view of the endpoints; nothing if it does not age.
  virtual std::optional<ViewState> View(TimePoint /*aNow*/) const
  {
    return std::nullopt;
  }

  /// @brief Rank of this daemon among the members by id, and their number.
  virtual std::pair<std::size_t, std::size_t> Rank() const = 0;

  /// @brief Requests a token of an account's token bucket, for one request.
  virtual AskId AskToken(const std::string& aAccount,
                         TimePoint aDeadline,
                         TimePoint aNow) = 0;

  /// @brief Returns a granted token that was not used.
  virtual void ReturnToken(AskId aAsk, TimePoint aNow) = 0;

  /// @brief Requests the exclusive right to send a run-once request.
  /// @param aClaim Id and fingerprint of the claim; the rest is filled in.
  virtual AskId AskClaim(Claim aClaim, TimePoint aDeadline, TimePoint aNow) = 0;

  /// @brief Tells whether the request of a granted claim may still be sent.
  virtual bool MaySend(AskId aClaim, TimePoint aNow) = 0;

  /// @brief Records how a request ended that was sent under a claim.
  virtual void FinishClaim(AskId aClaim,
                           ClaimState aState,
                           const KeptAnswer& aAnswer,
                           TimePoint aNow) = 0;

  /// @brief Releases a claim; valid only if no byte of the request was sent.
  virtual void ReleaseClaim(AskId aClaim, TimePoint aNow) = 0;

  /// @brief Reports endpoint results of this daemon and requests those of the
  /// others, which arrive as a FleetEvidence event.
  virtual void ShareEvidence(const FleetEvidence& aEvidence,
                             TimePoint aNow) = 0;

  /// @brief Reports the start, progress or end of an attempt to the fleet.
  virtual void ShareWork(const WorkReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Tells the fleet that an endpoint has said that it leaves. The
  /// other daemons get a LeaveReport, unless the message is lost.
  virtual void ShareLeave(const LeaveReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Tells the fleet what limit an endpoint has named. The other daemons
  /// get a LimitReport, unless the message is lost.
  virtual void ShareLimit(const LimitReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Tells the fleet that an endpoint has said that it is cold. The
  /// other daemons get a ColdReport, unless the message is lost.
  virtual void ShareCold(const ColdReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Rank of this daemon among the hosts that send to a cold endpoint,
  /// in an order that all daemons compute identically from the hosts known to
  /// them.
  /// @param aOwners Number of hosts that may send to it.
  /// @return The rank; nothing if this daemon is not among them, or does not
  /// know all hosts yet.
  virtual std::optional<std::size_t> ColdOwnerRank(const std::string& aEndpoint,
                                                   std::size_t aOwners,
                                                   TimePoint /*aNow*/) const
  {
    const auto [rank, hosts] = Rank();
    const std::size_t size = std::max<std::size_t>(1, hosts);
    const std::size_t own = (rank + StableHash(aEndpoint) % size) % size;
    return own < aOwners ? std::optional(own) : std::nullopt;
  }

  /// @brief Tells the fleet that an endpoint has ended under a request, or that
  /// a suspected request was answered. The other daemons get a CrashReport,
  /// unless the message is lost.
  virtual void ShareCrash(const CrashReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Share of what an endpoint takes from all hosts that this one may
  /// use, together with those whose requests it hears of.
  virtual double LimitShare() const
  {
    return 1.0 / static_cast<double>(std::max<std::size_t>(1, Rank().second));
  }

  /// @brief Records that a request of a service has ended.
  /// @param aServed The request got a successful answer.
  virtual void NoteOutcome(const std::string& /*aService*/,
                           bool /*aServed*/,
                           TimePoint /*aNow*/)
  {
  }

  /// @brief Share of a service's recent requests that the fleet did not serve.
  virtual double Shortfall(const std::string& /*aService*/, TimePoint /*aNow*/)
  {
    return 0;
  }

  /// @brief Spends one retry or hedge from the service's retry budget, which
  /// the whole fleet shares. If it is not allowed, the attempt must not be
  /// made. Less urgent requests leave a part of the budget to more urgent ones;
  /// see UrgencyReserve.
  virtual RetryDecision TakeExtra(const std::string& /*aService*/,
                                  const RetryUrgency& /*aUrgency*/,
                                  TimePoint /*aNow*/)
  {
    return {};
  }

  /// @brief Data centre of this daemon; empty if placement ignores it.
  virtual std::string DataCentre() const { return {}; }

  /// @brief Tells whether this daemon receives all load reports on an endpoint.
  virtual bool HearsWorkOf(const std::string& /*aEndpoint*/) const
  {
    return true;
  }

  /// @brief Changes whenever HearsWorkOf may return something else.
  virtual std::uint64_t HearingRevision() const { return 0; }

  /// @brief Removes and returns the events that have arrived.
  virtual std::vector<ControlEvent> TakeEvents() = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H
