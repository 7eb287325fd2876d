#ifndef SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H
#define SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/time.h"
#include "sapphirelane/claims/claim_table.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Unique number of one question to the fleet.
using AskId = std::uint64_t;

/// @brief How a question for a token ended.
enum class TokenVerdict
{
  Granted,
  Refused,     ///< The account is past its rate and burst.
  Unavailable, ///< No holder could be asked.
};

/// @brief Answer to FleetControl::AskToken.
struct TokenResult
{
  AskId ask = 0;
  TokenVerdict verdict = TokenVerdict::Unavailable;
  Milliseconds retry_after{ 0 };
  TimePoint valid_until{}; ///< A granted token may be used before this.
};

/// @brief Answer to FleetControl::AskClaim.
struct ClaimResult
{
  AskId ask = 0;
  ClaimReply reply;
};

/// @brief Work results of one endpoint, summed over the fleet or one daemon.
struct EndpointEvidence
{
  std::string endpoint;
  std::uint32_t answered = 0;
  std::uint32_t bad = 0;
  std::uint32_t shed = 0;
  Duration answer_time{ 0 }; ///< Mean time of those answered; 0 if unknown.
  /// Requests that other daemons have there now; nothing if it is not known.
  std::optional<std::uint32_t> in_flight;
};

/// @brief How work of this daemon on an endpoint stands.
struct WorkReport
{
  std::string service;
  std::string endpoint;
  std::uint32_t in_flight = 0; ///< Requests of this daemon there, now.
  std::uint32_t answered = 0;  ///< Since the report before.
  std::uint32_t bad = 0;
  std::uint32_t shed = 0;
  Duration answer_time{ 0 }; ///< Of the request that was answered.
  bool begins = false;       ///< The first attempt of a request begins.
  bool extra = false;        ///< A further attempt of a request begins.
};

/// @brief Evidence of other daemons about one service.
struct FleetEvidence
{
  std::string service;
  std::vector<EndpointEvidence> endpoints;
};

using ControlEvent = std::variant<TokenResult, ClaimResult, FleetEvidence>;

/// @brief What a daemon's requests need from the fleet.
///
/// Questions are answered by events, in any order; each question gets exactly
/// one. Used by one thread only.
class FleetControl
{
public:
  virtual ~FleetControl() = default;

  /// @brief The configuration in force, or nullptr if none is known yet.
  virtual const FleetConfig* Config() const = 0;

  /// @brief Keys of the configuration, less those withdrawn.
  virtual const KeyDirectory& Keys() const = 0;

  /// @brief Tells whether the configuration is known to be the newest.
  virtual bool IsFresh(TimePoint aNow) const = 0;

  /// @brief Age of what is known of endpoints; nothing if it does not age.
  virtual std::optional<Duration> ViewAge(TimePoint /*aNow*/) const
  {
    return std::nullopt;
  }

  /// @brief The daemon's place among the fleet's members, and their number.
  virtual std::pair<std::size_t, std::size_t> Rank() const = 0;

  /// @brief Asks for a token to serve one request of an account.
  virtual AskId AskToken(const std::string& aAccount,
                         TimePoint aDeadline,
                         TimePoint aNow) = 0;

  /// @brief Gives back a granted token that was not used.
  virtual void ReturnToken(AskId aAsk, TimePoint aNow) = 0;

  /// @brief Asks for the right to send a run-once request.
  /// @param aClaim Its id and fingerprint; the rest is filled in.
  virtual AskId AskClaim(Claim aClaim, TimePoint aDeadline, TimePoint aNow) = 0;

  /// @brief Tells whether a granted claim may still be sent now.
  virtual bool MaySend(AskId aClaim, TimePoint aNow) = 0;

  /// @brief Notes the end of a request that was sent.
  virtual void FinishClaim(AskId aClaim,
                           ClaimState aState,
                           const KeptAnswer& aAnswer,
                           TimePoint aNow) = 0;

  /// @brief Gives back a claim; only if no byte was sent.
  virtual void ReleaseClaim(AskId aClaim, TimePoint aNow) = 0;

  /// @brief Shares bad results of own work and asks for those of others.
  virtual void ShareEvidence(const FleetEvidence& aEvidence,
                             TimePoint aNow) = 0;

  /// @brief Tells the fleet how work on an endpoint stands.
  virtual void ShareWork(const WorkReport& /*aReport*/, TimePoint /*aNow*/) {}

  /// @brief Notes that a request of a service has its answer.
  virtual void NoteOutcome(const std::string& /*aService*/,
                           bool /*aServed*/,
                           TimePoint /*aNow*/)
  {
  }

  /// @brief Share of a service's requests that the fleet did not serve, lately.
  virtual double Shortfall(const std::string& /*aService*/, TimePoint /*aNow*/)
  {
    return 0;
  }

  /// @brief Asks for one attempt beyond the first from the service's budget,
  /// which the whole fleet shares, and spends it if it is given.
  virtual bool TakeExtra(const std::string& /*aService*/, TimePoint /*aNow*/)
  {
    return true;
  }

  /// @brief The daemon's data centre; empty if that does not matter.
  virtual std::string DataCentre() const { return {}; }

  /// @brief Tells whether this daemon hears of all work at endpoints of other
  /// data centres.
  virtual bool HearsAllWork() const { return true; }

  /// @brief Takes the events that have come in.
  virtual std::vector<ControlEvent> TakeEvents() = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_FLEET_CONTROL_H
