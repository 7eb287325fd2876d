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

/// @brief What may go wrong in one schedule.
struct ScheduleOptions
{
  std::uint64_t seed = 1;
  std::size_t daemons = 4;
  Duration length = std::chrono::seconds(14);
  double loss = 0.05;       ///< Share of datagrams lost.
  double doubling = 0.05;   ///< Share of datagrams delivered twice.
  double slow = 0.02;       ///< Share of datagrams that take up to 2 s.
  double lost_answer = 0.1; ///< Share of writes whose answer is lost.
  double late_write = 0.1;  ///< Share of those that take effect later.
  bool faults = true;       ///< Crashes, pauses, cuts, outages, stops.
};

/// @brief Real nodes that exchange messages through a made-up world.
///
/// Time, network and platform are made up; every daemon has a clock of its
/// own. The world serves requests the way the dispatcher does and records
/// what was served, so that the promises can be checked from outside.
class ScheduleWorld
{
public:
  explicit ScheduleWorld(const ScheduleOptions& aOptions);
  ~ScheduleWorld();

  /// @brief Runs the whole schedule.
  void Run();

  /// @brief What broke a promise, one sentence each.
  const std::vector<std::string>& Faults() const { return m_faults; }

  std::size_t Served() const;
  std::size_t RunOnceRuns() const;
  std::size_t Takeovers() const { return m_crashes; }
  std::size_t Accepted() const { return m_accepted.size(); }

  // For tests that bring one fault about.

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

  /// @brief Has a daemon ask for one token; it is served when granted.
  void RequestToken(std::size_t aDaemon, const std::string& aAccount);

  /// @brief Has a daemon claim a key; it runs when granted.
  void RequestClaim(std::size_t aDaemon, const std::string& aKey);

  /// @brief Number of requests that got a token.
  std::size_t ServedOf(const std::string& aAccount) const;

  /// @brief Runs of a key.
  std::size_t RunsOf(const std::string& aKey) const;

  /// @brief Proposes a change that adds a host row.
  void Propose(std::size_t aDaemon, const std::string& aRow);

  /// @brief Proposes another number of parts for the account "divided".
  void Redivide(std::size_t aDaemon);

  /// @brief Notes a fault for each account served past its rate and burst.
  void CheckRates();

private:
  class Daemon;
  struct Platform;

  void Begin();
  void Step();
  void At(TimePoint aTime, std::function<void()> aAction);
  void TickDaemon(std::size_t aDaemon);
  void TakeEvents(std::size_t aDaemon);
  void OnToken(std::size_t aDaemon, const TokenResult& aResult);
  void OnClaim(std::size_t aDaemon, const ClaimResult& aResult);
  void RunClaim(std::size_t aDaemon, AskId aAsk, const std::string& aKey);
  void Deliver(std::size_t aDaemon, std::function<void(Daemon&)> aAction);
  void SendDatagram(std::size_t aFrom,
                    const std::string& aAddress,
                    const PeerMessage& aMessage);
  void CallStore(std::size_t aFrom, const StoreCall& aCall);
  StoreResult ApplyCall(const StoreCall& aCall);
  void CallPeer(std::size_t aFrom, const BulkCall& aCall);
  std::size_t FindDaemon(const std::string& aAddress) const;
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;
  void RandomRequest();
  void RandomFault();
  std::size_t RandomDaemon();
  double Draw();
  Duration DrawTime(Duration aMost);
  void CheckFreshness(std::size_t aDaemon);
  void CheckChanges();
  void Trace(const std::string& aText) const;

  ScheduleOptions m_options;
  Random m_random;
  TimePoint m_now;
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::unique_ptr<Platform> m_platform;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_cuts;
  std::map<std::string, std::vector<TimePoint>> m_served;
  std::map<std::string, std::size_t> m_runs;
  std::map<std::uint64_t, std::string> m_contents; ///< By version.
  std::set<std::string> m_accepted; ///< Rows of accepted changes.
  std::set<std::string> m_refused;  ///< Rows of changes said not written.
  std::size_t m_crashes = 0;
  std::vector<std::string> m_faults;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_SCHEDULE_WORLD_H
