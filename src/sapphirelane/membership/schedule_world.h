#ifndef SAPPHIRELANE_MEMBERSHIP_SCHEDULE_WORLD_H
#define SAPPHIRELANE_MEMBERSHIP_SCHEDULE_WORLD_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/membership/node.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Parameters of one simulated schedule: its seed and fault rates.
struct ScheduleOptions
{
  std::uint64_t seed = 1;
  std::size_t daemons = 4;
  Duration length = std::chrono::seconds(14); ///< Simulated time.
  double loss = 0.05;       ///< Share of datagrams that are lost.
  double doubling = 0.05;   ///< Share of datagrams delivered twice.
  double slow = 0.02;       ///< Share of datagrams that take up to 2 s.
  double lost_answer = 0.1; ///< Share of head writes whose reply is lost.
  double late_write = 0.1;  ///< Share of these that take effect later.
  bool faults = true;       ///< Inject crashes, pauses, cuts, outages, stops.
};

/// @brief Deterministic simulation of a fleet: real nodes on a simulated
/// network and platform, in virtual time, with faults drawn from a seed.
///
/// Every daemon has a clock with an offset of its own. The simulation serves
/// requests the way the dispatcher does and records what was served, so that
/// the guarantees of the fleet can be checked from outside.
class ScheduleWorld
{
public:
  explicit ScheduleWorld(const ScheduleOptions& aOptions);
  ~ScheduleWorld();

  /// @brief Runs the whole schedule and checks the guarantees.
  void Run();

  /// @brief Violated guarantees, one sentence each.
  const std::vector<std::string>& Faults() const { return m_violations; }

  std::size_t Served() const;
  std::size_t RunOnceRuns() const;
  std::size_t Takeovers() const { return m_crashes; }
  std::size_t Accepted() const { return m_accepted.size(); }

  // Control of time and faults, for tests that inject one fault.

  void Advance(Duration aTime);
  void Crash(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, Duration aTime);
  void CutOneWay(std::size_t aFrom, std::size_t aTo, Duration aTime);
  void SetOutage(bool aOutage);
  std::size_t Start();
  void Stop(std::size_t aDaemon);
  bool IsAlive(std::size_t aDaemon) const;
  Node& NodeAt(std::size_t aDaemon);
  TimePoint NowAt(std::size_t aDaemon) const;
  std::size_t Count() const { return m_daemons.size(); }

  /// @brief Has a daemon request one token, and serves a request if granted.
  void RequestToken(std::size_t aDaemon, const std::string& aAccount);

  /// @brief Has a daemon claim an idempotency key, and runs the request if
  /// granted.
  void RequestClaim(std::size_t aDaemon, const std::string& aKey);

  /// @brief Number of requests of an account that were served.
  std::size_t ServedOf(const std::string& aAccount) const;

  /// @brief Number of times that the request of a key ran.
  std::size_t RunsOf(const std::string& aKey) const;

  /// @brief Proposes a change that adds a host row.
  void Propose(std::size_t aDaemon, const std::string& aRow);

  /// @brief Proposes another burst for the account "divided", which changes the
  /// number of parts of its token bucket.
  void Redivide(std::size_t aDaemon);

  /// @brief Records a violation for each account that was served beyond its
  /// rate and burst.
  void CheckRates();

private:
  class Daemon;
  struct Platform;

  void BootstrapFleet();
  void RunNextAction();
  void ScheduleAt(TimePoint aTime, std::function<void()> aAction);
  void TickDaemon(std::size_t aDaemon);
  void HandleEvents(std::size_t aDaemon);
  void OnTokenResult(std::size_t aDaemon, const TokenResult& aResult);
  void OnClaimResult(std::size_t aDaemon, const ClaimResult& aResult);
  void RunClaimedRequest(std::size_t aDaemon,
                         AskId aAsk,
                         const std::string& aKey);
  void RunOnDaemon(std::size_t aDaemon, std::function<void(Daemon&)> aAction);
  void SendDatagram(std::size_t aFrom,
                    const std::string& aAddress,
                    const PeerMessage& aMessage);
  void CallStore(std::size_t aFrom, const StoreCall& aCall);
  StoreResult ApplyCall(const StoreCall& aCall);
  void CallPeer(std::size_t aFrom, const BulkCall& aCall);
  std::size_t FindDaemon(const std::string& aAddress) const;
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;
  void IssueRandomRequest();
  void InjectRandomFault();
  std::size_t RandomRunningDaemon();
  double RandomFraction();
  Duration RandomDuration(Duration aMax);
  void CheckFreshness(std::size_t aDaemon);
  void CheckAcceptedChanges();
  void Trace(const std::string& aText) const;

  ScheduleOptions m_options;
  Random m_random;
  TimePoint m_now;
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::unique_ptr<Platform> m_platform;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_cutLinks;
  std::map<std::string, std::vector<TimePoint>> m_served;
  std::map<std::string, std::size_t> m_runs;
  std::map<std::uint64_t, std::string> m_configByVersion;
  std::set<std::string> m_accepted; ///< Host rows of accepted changes.
  std::set<std::string> m_rejected; ///< Host rows of unwritten changes.
  std::size_t m_crashes = 0;
  std::vector<std::string> m_violations;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_SCHEDULE_WORLD_H
