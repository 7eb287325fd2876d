#ifndef SAPPHIRELANE_PROXY_SERVICE_STATE_H
#define SAPPHIRELANE_PROXY_SERVICE_STATE_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/log.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/routing/balancer.h"
#include "sapphirelane/routing/ejector.h"

namespace sapphirelane {

/// @brief What is to be placed.
struct PlaceRequest
{
  bool may_try = false;    ///< May serve as a trial of an ejected endpoint.
  bool repeatable = false; ///< A failure can be mended by another attempt.
  std::uint64_t body_bytes = 0;
  Duration target{ 0 };           ///< Latency aimed at; 0 for none.
  Duration left{ 0 };             ///< Time that the caller waits; 0 for long.
  bool explores = false;          ///< Suits endpoints that are little used.
  bool spread = false;            ///< Many requests of the service fail.
  std::vector<std::string> avoid; ///< Endpoints that it was sent to before.
};

/// @brief How one attempt is placed.
struct Placement
{
  std::string endpoint;
  std::string address;
  bool trial = false; ///< The endpoint is ejected and gets a trial.
  LogFields inputs;   ///< What the choice rests on, for the log.
};

/// @brief Options of a service's state.
struct ServiceStateOptions
{
  std::uint32_t pool = 8;  ///< Requests of this daemon at one endpoint.
  std::uint32_t ahead = 0; ///< Requests that may wait at an endpoint.
  std::string data_centre; ///< This daemon's.
  Duration connection_life = Milliseconds(0); ///< Of a kept connection.
};

/// @brief What a daemon knows of one service: endpoints, health and load.
class ServiceState
{
public:
  ServiceState(std::unique_ptr<Balancer> aBalancer,
               std::unique_ptr<Ejector> aEjector,
               ServiceStateOptions aOptions);

  /// @brief Takes over the service's endpoints of a configuration.
  /// @param aRank Place of this host among aHosts entry hosts.
  void Load(const FleetConfig& aConfig,
            const std::string& aService,
            std::size_t aRank,
            std::size_t aHosts,
            TimePoint aNow);

  /// @brief Says whether all work at endpoints elsewhere is known here.
  void SetHearsAllWork(bool aHears) { m_hearsAll = aHears; }

  /// @brief Chooses an endpoint that has room.
  std::optional<Placement> Place(const PlaceRequest& aRequest,
                                 TimePoint aNow,
                                 Random& aRandom);

  /// @brief Number of attempts that Place could find room for now.
  std::size_t FreeSlots() const;

  /// @brief Notes an attempt's start and end.
  void Begin(const std::string& aEndpoint, TimePoint aNow);
  /// @param aKept The connection was kept for later use.
  void End(const std::string& aEndpoint, bool aKept, TimePoint aNow);

  /// @brief Requests of this daemon at an endpoint.
  std::uint32_t InFlight(const std::string& aEndpoint) const;

  /// @brief Time after which a request that is enqueued now finds a slot.
  /// @param aWaiting Requests of this daemon that wait already.
  Duration ExpectedWait(std::size_t aWaiting) const;

  /// @brief Mean time to an answer, over the endpoints; 0 if unknown.
  Duration MeanLatency() const;

  /// @brief Notes that another endpoint answers at the endpoint's address. It
  /// gets no work until its entry changes.
  void NoteMoved(const std::string& aEndpoint);

  /// @brief Notes a load report.
  void Report(const std::string& aEndpoint, double aLoad, TimePoint aNow);

  /// @brief Notes the result of work.
  void Observe(const std::string& aEndpoint,
               const Observation& aObservation,
               TimePoint aNow);

  /// @brief Takes in what other daemons saw.
  void ObserveFleet(const FleetEvidence& aEvidence, TimePoint aNow);

  /// @brief Judges the endpoints anew.
  std::vector<EjectionChange> Judge(TimePoint aNow);

  /// @brief Takes the evidence gathered since the last call.
  /// @return Evidence, or nothing if no work went badly.
  std::optional<FleetEvidence> TakeEvidence(TimePoint aNow);

  Duration StallAfter(TimePoint aNow) const;

  /// @brief Time after which a second attempt of safe work may start.
  Duration HedgeAfter() const;

  bool IsEjected(const std::string& aEndpoint) const;

  /// @brief Number of endpoints out of choice by ejection.
  std::size_t Ejected() const;

private:
  struct EndpointState
  {
    Endpoint endpoint;
    std::uint32_t in_flight = 0;
    std::uint32_t others_in_flight = 0;
    double load = 0;
    TimePoint load_time{};
    Duration latency{ 0 };
    TimePoint latency_time{};
    TimePoint since{};
    TimePoint cold_until{};
    std::uint32_t kept = 0; ///< Kept connections that are free.
    TimePoint kept_at{};    ///< When the last one was kept.
    TimePoint used{};       ///< When any daemon last had work there.
    TimePoint bad_at{};     ///< When it last failed work of any daemon.
    bool in_subset = true;
    bool moved = false;
    bool trial_running = false;
    EndpointEvidence evidence;
  };

  std::optional<std::size_t> Newcomer(
    const std::vector<Candidate>& aCandidates) const;
  std::optional<std::size_t> Neglected(
    const std::vector<Candidate>& aCandidates,
    const PlaceRequest& aRequest,
    TimePoint aNow,
    Random& aRandom) const;
  bool IsElsewhere(const EndpointState& aState) const;
  std::uint32_t Room(const EndpointState& aState) const;
  bool MayChoose(const EndpointState& aState) const;
  Candidate CandidateOf(const EndpointState& aState,
                        const PlaceRequest& aRequest,
                        TimePoint aNow) const;
  static void NoteUse(EndpointState& aState,
                      const EndpointEvidence& aEvidence,
                      TimePoint aNow);
  static void NoteLatency(EndpointState& aState,
                          Duration aElapsed,
                          TimePoint aNow);

  std::unique_ptr<Balancer> m_balancer;
  std::unique_ptr<Ejector> m_ejector;
  ServiceStateOptions m_options;
  std::string m_service;
  std::uint32_t m_floor = 0;
  bool m_hearsAll = true;
  Duration m_meanLatency{ 0 }; ///< Of the service, at the last placement.
  std::map<std::string, EndpointState> m_endpoints;
  bool m_badEvidence = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_SERVICE_STATE_H
