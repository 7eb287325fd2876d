#ifndef SAPPHIRELANE_PROXY_SERVICE_STATE_H
#define SAPPHIRELANE_PROXY_SERVICE_STATE_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/base/log.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/routing/balancer.h"
#include "sapphirelane/routing/cold_start_limits.h"
#include "sapphirelane/routing/ejector.h"
#include "sapphirelane/routing/endpoint_limits.h"
#include "sapphirelane/routing/endpoint_notices.h"
#include "sapphirelane/routing/shed_share.h"

namespace sapphirelane {

/// @brief Constraints of one attempt that is to be placed on an endpoint.
struct PlaceRequest
{
  bool may_try = false;    ///< May test an ejected endpoint.
  bool repeatable = false; ///< Another attempt may follow a failure.
  std::uint64_t body_bytes = 0;
  Duration target{ 0 };           ///< Target latency; 0 for none.
  Duration left{ 0 };             ///< Until the deadline; 0 for no limit.
  bool explores = false;          ///< May probe new and idle endpoints.
  bool spread = false;            ///< Many of the service's requests fail.
  std::vector<std::string> avoid; ///< Endpoints that were tried before.
};

/// @brief The endpoint chosen for one attempt.
struct Placement
{
  std::string endpoint;
  std::string address;
  std::uint64_t lifetime = 0;
  bool trial = false; ///< The attempt tests an ejected endpoint.
  bool cold = false;  ///< The endpoint is cold and its requests are bounded.
  /// Requests ahead of the attempt in the endpoint's queue, per slot.
  double queued_turns = 0;
  LogFields inputs; ///< Inputs of the choice, for the log.
};

/// @brief An endpoint in service without requests, and why.
struct IdleEndpoint
{
  std::string endpoint;
  std::string reason; ///< Why it was passed over; see IdleReason.
};

/// @brief Options of ServiceState.
struct ServiceStateOptions
{
  std::uint32_t pool = 8;  ///< Maximum requests of this daemon at an endpoint.
  std::uint32_t ahead = 0; ///< Requests that may queue at an endpoint.
  std::string data_centre; ///< Of this daemon.
  Duration connection_life = Milliseconds(
    0); ///< Idle time for which a kept connection counts as usable.
  std::uint64_t seed = 1; ///< Of random waits; different on each host.
  /// See PolicySettings::transfer_cost_per_megabyte.
  double transfer_cost_per_megabyte = 3;
  ColdStartOptions cold_starts;
};

/// @brief A daemon's view of one service: its endpoints, their health and load.
///
/// The dispatcher uses it to place attempts and to record their results.
class ServiceState
{
public:
  ServiceState(std::unique_ptr<Balancer> aBalancer,
               std::unique_ptr<Ejector> aEjector,
               ServiceStateOptions aOptions);

  /// @brief Applies the service's endpoints of a configuration.
  /// @param aRank Rank of this host among aHosts entry hosts.
  void Load(const FleetConfig& aConfig,
            const std::string& aService,
            std::size_t aRank,
            std::size_t aHosts,
            TimePoint aNow);

  /// @brief Sets for which endpoints this daemon receives all load reports;
  /// applied by the next Load.
  void SetHearing(std::function<bool(const std::string&)> aHearsWorkOf)
  {
    m_hearsWorkOf = std::move(aHearsWorkOf);
  }

  /// @brief Sets the function that tells this daemon's rank among a number of
  /// owners of a cold endpoint; see FleetControl::ColdOwnerRank. Without one,
  /// this daemon is the first owner of each.
  using OwnerRank =
    std::function<std::optional<std::size_t>(const std::string& aEndpoint,
                                             std::size_t aOwners,
                                             TimePoint aNow)>;
  void SetColdOwnership(OwnerRank aOwnerRank)
  {
    m_coldOwnerRank = std::move(aOwnerRank);
  }

  /// @brief Records the time at which this daemon's view matched the store.
  void SetViewTime(TimePoint aTime) { m_coldStarts.Confirm(aTime); }

  /// @brief Decides whether a request may probe idle endpoints.
  /// @param aUnserved Share of the service's recent requests that the fleet did
  /// not serve.
  void SetExploration(PlaceRequest& aRequest, double aUnserved, TimePoint aNow);

  /// @brief Chooses an eligible endpoint with free capacity, or one to test.
  /// @return The placement, or nothing if no endpoint has capacity.
  std::optional<Placement> Place(const PlaceRequest& aRequest,
                                 TimePoint aNow,
                                 Random& aRandom);

  /// @brief Number of attempts that could be placed now.
  std::size_t FreeSlots(TimePoint aNow) const;

  /// @brief Records the start of an attempt.
  void Begin(const std::string& aEndpoint, TimePoint aNow);
  /// @brief Records the end of an attempt.
  /// @param aKept Whether its connection was kept for reuse.
  void End(const std::string& aEndpoint, bool aKept, TimePoint aNow);

  /// @brief Number of requests of this daemon at an endpoint.
  std::uint32_t InFlight(const std::string& aEndpoint) const;

  /// @brief Expected queueing time of a request that is enqueued now; the
  /// largest duration if no endpoint is known to take requests again.
  /// @param aWaiting Requests of this daemon that are queued already.
  Duration ExpectedWait(std::size_t aWaiting, TimePoint aNow) const;

  /// @brief What is known of the attempts that the service's endpoints shed, to
  /// this daemon and the others.
  const ShedShare& Sheds() const { return m_sheds; }

  /// @brief Mean latency of the endpoints with a known one; 0 if there is none.
  Duration MeanLatency() const;

  /// @brief Records that another endpoint has taken the endpoint's address. It
  /// gets no requests until its configuration entry changes.
  void NoteMoved(const std::string& aEndpoint);

  /// @brief Records that an endpoint has said that it leaves, to this daemon or
  /// another one. It gets no requests for the rest of its lifetime.
  /// @param aLifetime Of the endpoint that said so; 0 if unknown.
  /// @return False if that was known.
  bool NoteLeaving(const std::string& aEndpoint,
                   std::uint64_t aLifetime,
                   TimePoint aNow);

  /// @brief Records that an endpoint wants no requests of this daemon for a
  /// time.
  void NoteRetryAfter(const std::string& aEndpoint,
                      Duration aTime,
                      TimePoint aNow);

  /// @brief Records what an endpoint says of the requests a second that it
  /// takes, to this daemon.
  /// @param aLimit Nothing if it names no limit.
  /// @return Whether the other daemons have to be told.
  bool NoteLimit(const std::string& aEndpoint,
                 std::optional<double> aLimit,
                 TimePoint aNow);

  /// @brief Records what an endpoint has said of its limit to another daemon.
  /// @return True if it had named none before, or names none any more.
  bool NoteReportedLimit(const LimitReport& aReport, TimePoint aNow);

  /// @brief Limit that is kept for an endpoint; nothing if there is none.
  std::optional<double> LimitOf(const std::string& aEndpoint) const
  {
    return m_limits.LimitOf(aEndpoint);
  }

  /// @brief Sets the share of each limit that may be used; see
  /// FleetControl::LimitShare.
  void SetLimitShare(double aShare) { m_limits.SetShare(aShare); }

  /// @brief Records how much longer an endpoint says it is cold, to this
  /// daemon.
  /// @return Whether the other daemons have to be told.
  bool NoteCold(const std::string& aEndpoint, Duration aLeft, TimePoint aNow);

  /// @brief Records what an endpoint has said to another daemon of the time for
  /// which it is cold.
  /// @return True if that was not known.
  bool NoteReportedCold(const ColdReport& aReport, TimePoint aNow);

  /// @brief Records that the endpoints of a data centre get requests again and
  /// may be cold. Each counts as cold until its entry has been written since.
  void MarkReturned(const std::string& aDataCentre, TimePoint aNow);

  /// @brief Number of cold endpoints whose requests are bounded.
  std::size_t Cold(TimePoint aNow) const { return m_coldStarts.Size(aNow); }

  /// @brief Returns which endpoints have turned cold, or are cold no longer,
  /// since the last call.
  std::vector<ColdChange> TakeColdChanges(TimePoint aNow)
  {
    return m_coldStarts.TakeChanges(aNow);
  }

  /// @brief Lifetime of an endpoint in the current view; 0 if unknown.
  std::uint64_t LifetimeOf(const std::string& aEndpoint) const;

  /// @brief Records the load that an endpoint reported.
  void Report(const std::string& aEndpoint, double aLoad, TimePoint aNow);

  /// @brief Records the result of an attempt.
  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint aNow);

  /// @brief Applies results that other daemons report.
  void ObserveFleet(const FleetEvidence& aEvidence, TimePoint aNow);

  /// @brief Decides anew which endpoints are ejected.
  /// @return What has changed since the last call.
  std::vector<EjectionChange> Judge(TimePoint aNow);

  /// @brief Returns and clears the evidence gathered since the last call.
  /// @return Evidence, or nothing if no attempt failed.
  std::optional<FleetEvidence> TakeEvidence(TimePoint aNow);

  /// @brief Time without a response after which an attempt counts as stalled.
  /// @param aQueuedTurns Of the attempt's placement. A request that waits in
  /// the queue of a healthy endpoint has not stalled.
  /// @param aTarget Latency target of the request; 0 if it has none.
  Duration StallAfter(double aQueuedTurns,
                      Duration aTarget,
                      TimePoint aNow) const;

  /// @brief Time without a response after which an attempt may be hedged.
  Duration HedgeAfter() const;

  bool IsEjected(const std::string& aEndpoint) const;

  /// @brief Whether every endpoint is in an evacuated data centre.
  bool IsEvacuated() const;

  /// @brief Number of endpoints in the configuration.
  std::size_t Size() const { return m_endpoints.size(); }

  /// @brief Number of ejected endpoints.
  std::size_t Ejected() const;

  /// @brief Endpoints in service to which this daemon knows of no request for a
  /// while, with the reason why placement passes them over.
  std::vector<IdleEndpoint> IdleEndpoints(TimePoint aNow) const;

private:
  struct EndpointState
  {
    Endpoint endpoint;
    std::uint32_t in_flight = 0;
    std::uint32_t others_in_flight = 0;
    double reported_load = 0;
    TimePoint reported_load_at{};
    Duration latency{ 0 };
    TimePoint latency_at{};
    TimePoint in_service_since{};
    TimePoint cold_until{};
    std::uint32_t idle_connections = 0; ///< Free connections kept for reuse.
    TimePoint last_kept_at{};           ///< When the last one was kept.
    TimePoint last_used_at{};           ///< When any daemon last used it.
    TimePoint
      last_failed_at{}; ///< When it last failed a request of any daemon.
    bool in_subset = true;
    bool heard = true; ///< All load reports on it are received.
    bool address_taken = false;
    bool evacuated = false; ///< Its data centre is.
    bool trial_running = false;
    EndpointEvidence evidence;
  };

  std::optional<std::size_t> FindNewEndpoint(
    const std::vector<Candidate>& aCandidates) const;
  std::optional<std::size_t> PickIdleEndpoint(
    const std::vector<Candidate>& aCandidates,
    const PlaceRequest& aRequest,
    TimePoint aNow,
    Random& aRandom) const;
  bool IsInOtherDataCentre(const EndpointState& aState) const;
  std::string IdleReason(const EndpointState& aState, TimePoint aNow) const;
  std::uint32_t FreeCapacity(const EndpointState& aState) const;
  bool IsInService(const EndpointState& aState, TimePoint aNow) const;
  bool AcceptsRequests(const EndpointState& aState, TimePoint aNow) const;
  bool MaySendTo(const EndpointState& aState, TimePoint aNow) const;
  bool IsEligible(const EndpointState& aState, TimePoint aNow) const;
  std::optional<std::size_t> ColdOwnerRank(const std::string& aEndpoint,
                                           TimePoint aNow) const;
  void LoadColdTime(const EndpointState& aState,
                    const Service& aService,
                    bool aStarted,
                    TimePoint aNow);
  double SlotsWithinLimit(const EndpointState& aState, TimePoint aNow) const;
  Duration RestOfService(TimePoint aNow) const;
  Candidate MakeCandidate(const EndpointState& aState,
                          const PlaceRequest& aRequest,
                          TimePoint aNow) const;
  static void RecordUse(EndpointState& aState,
                        const EndpointEvidence& aEvidence,
                        TimePoint aNow);
  static void RecordLatency(EndpointState& aState,
                            Duration aElapsed,
                            TimePoint aNow);

  std::unique_ptr<Balancer> m_balancer;
  std::unique_ptr<Ejector> m_ejector;
  ServiceStateOptions m_options;
  std::string m_service;
  std::uint32_t m_minHealthyPercent = 0;
  std::function<bool(const std::string&)> m_hearsWorkOf;
  TimePoint m_lastRepeatable{}; ///< When a repeatable request was last placed.
  std::uint64_t m_answers = 0;  ///< Answers known of, of all daemons.
  Duration m_meanLatency{ 0 };  ///< Over the endpoints, at the last placement.
  std::map<std::string, EndpointState> m_endpoints;
  bool m_hasBadEvidence = false;
  EndpointNotices m_notices;
  EndpointLimits m_limits;
  ShedShare m_sheds;
  ColdStartLimits m_coldStarts;
  OwnerRank m_coldOwnerRank;
  bool m_loaded = false; ///< Endpoints that join later have started.
  std::set<std::string> m_evacuated; ///< Data centres, at the last Load.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_SERVICE_STATE_H
