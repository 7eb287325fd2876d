#ifndef SAPPHIRELANE_PROXY_RETRY_CONTROLLER_H
#define SAPPHIRELANE_PROXY_RETRY_CONTROLLER_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/admission/stop_schedule.h"
#include "sapphirelane/config/settings.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/refusal.h"
#include "sapphirelane/proxy/service_book.h"
#include "sapphirelane/routing/retry_policy.h"
#include "sapphirelane/routing/retry_schedule.h"

namespace sapphirelane {

/// @brief What RetryController needs of the dispatcher, which owns the
/// requests.
class RetryActions
{
public:
  virtual ~RetryActions() = default;

  /// @brief Finds a request.
  /// @return The request, or nullptr.
  virtual PendingRequest* FindRequest(std::uint64_t aId) = 0;

  /// @brief Starts an attempt.
  /// @return False if the request must not be sent now or has no endpoint.
  virtual bool TryStartAttempt(std::uint64_t aId,
                               PendingRequest& aRequest,
                               TimePoint aNow) = 0;

  /// @brief Answers a request with a refusal and ends it.
  virtual void RefuseAdmitted(std::uint64_t aId,
                              const Refusal& aRefusal,
                              TimePoint aNow) = 0;

  /// @brief Ends a request whose caller has disconnected.
  virtual void Abandon(std::uint64_t aId,
                       const PendingRequest& aRequest,
                       TimePoint aNow) = 0;

  /// @brief Why a request must not be sent any more, however long it waits: a
  /// planned stop, a withdrawn key, a route or service that is gone.
  virtual std::optional<Refusal> ReasonToRefuse(PendingRequest& aRequest,
                                                TimePoint aNow) = 0;

  /// @brief Whether a request that waited may be sent now; a claim or the
  /// freshness of the configuration may be regained later.
  virtual bool MayResume(const PendingRequest& aRequest, TimePoint aNow) = 0;

  /// @brief Logs a decision on a request.
  virtual void LogRetry(std::uint64_t aId,
                        const std::string& aSentence,
                        const LogFields& aFields) = 0;
};

/// @brief Options of RetryController.
struct RetryControllerOptions
{
  bool waits = false;          ///< See PolicySettings::shed.
  std::size_t max_waiting = 0; ///< Waiting requests of this daemon.
  std::size_t max_waiting_per_account = 0;
};

/// @brief Decides on the further attempts of requests, and keeps those that
/// wait for one.
///
/// A waiting request holds no slot and no connection and keeps its account
/// token. See docs/design/shed-requests.md.
class RetryController
{
public:
  /// @param aControl Must outlive this object, as must all references.
  RetryController(RetryControllerOptions aOptions,
                  std::unique_ptr<RetryPolicy> aRetry,
                  FleetControl& aControl,
                  ServiceTable& aServices,
                  const StopSchedule& aStop,
                  Metrics& aMetrics,
                  Random& aRandom,
                  RetryActions& aActions);

  /// @brief Records the first attempt of a request.
  void OnFirstAttempt(TimePoint aNow);

  /// @brief Records that an endpoint has shed an attempt of a request.
  void OnShed(PendingRequest& aRequest, Attempt& aAttempt, TimePoint aNow);

  /// @brief Handles the end of the last running attempt after a shed response:
  /// sends the request again, lets it wait, or refuses it.
  void OnShedAttemptEnd(std::uint64_t aId,
                        PendingRequest& aRequest,
                        TimePoint aNow);

  /// @brief Sends a request again, now or later, or refuses it.
  /// @param aRefusal Answer if no attempt can be made in time.
  void RetryOrRefuse(std::uint64_t aId,
                     PendingRequest& aRequest,
                     const Refusal& aRefusal,
                     TimePoint aNow);

  /// @brief Starts a further attempt now if the retry budgets allow it.
  bool TryRetry(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow);

  /// @brief Starts a second attempt of a request that takes long, if it may be
  /// resent and the budgets allow it.
  void TryHedge(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow);

  /// @brief Sends or ends the waiting requests whose time has come, the most
  /// urgent ones first.
  void Tick(TimePoint aNow);

  /// @brief Forgets a request that has ended.
  void OnFinish(std::uint64_t aId, TimePoint aNow);

private:
  /// A request that waits for a further attempt.
  struct Waiting
  {
    std::string account;
    std::string service;
    TimePoint since{};
    TimePoint next{}; ///< When to decide again.
    Refusal refusal;  ///< Answer if it is not sent again.
  };

  RetryCase CaseOf(const PendingRequest& aRequest, TimePoint aNow);
  RetryUrgency UrgencyOf(const PendingRequest& aRequest, TimePoint aNow);
  std::uint32_t AttemptsLeft(const PendingRequest& aRequest) const;
  bool HasRoom(const PendingRequest& aRequest, TimePoint aNow);
  bool TakeFromFleetBudget(std::uint64_t aId,
                           const PendingRequest& aRequest,
                           TimePoint aNow);
  bool MayWait(const PendingRequest& aRequest) const;
  void Follow(std::uint64_t aId,
              PendingRequest& aRequest,
              RetryPlan aPlan,
              const Refusal& aRefusal,
              TimePoint aNow);
  void Wait(std::uint64_t aId,
            PendingRequest& aRequest,
            TimePoint aUntil,
            const Refusal& aRefusal,
            TimePoint aNow);
  void CheckWaiting(std::uint64_t aId,
                    PendingRequest& aRequest,
                    TimePoint aNow);
  void EndWait(std::uint64_t aId, const std::string& aEnd, TimePoint aNow);
  void RefuseWaiting(std::uint64_t aId,
                     const PendingRequest& aRequest,
                     Refusal aRefusal,
                     TimePoint aNow);

  RetryControllerOptions m_options;
  std::unique_ptr<RetryPolicy> m_retry;
  std::unique_ptr<RetryPolicy> m_hedge;
  FleetControl& m_control;
  ServiceTable& m_services;
  const StopSchedule& m_stop;
  Metrics& m_metrics;
  Random& m_random;
  RetryActions& m_actions;
  RetrySchedule m_schedule;
  std::map<std::uint64_t, Waiting> m_waiting;
  std::map<std::string, std::size_t> m_waitingByAccount;
};

/// @brief Retry-After of a refusal from the time that the service is expected
/// to need; within the bounds that callers are told.
Milliseconds
RetryAfterOf(Duration aWait);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_RETRY_CONTROLLER_H
