#ifndef SAPPHIRELANE_RELAY_COUNTER_EXCHANGE_H
#define SAPPHIRELANE_RELAY_COUNTER_EXCHANGE_H

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/relay/received_counters.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/work_board.h"

namespace sapphirelane {

/// @brief Receives what other daemons have counted.
class CounterSink
{
public:
  virtual ~CounterSink() = default;

  virtual void OnSpent(std::uint32_t aAccount,
                       std::uint32_t aCount,
                       TimePoint aNow) = 0;
  virtual void OnService(const ServiceDelta& aDelta, TimePoint aNow) = 0;

  /// @brief Reports values of counters that were not used.
  virtual void OnRefused(const WorkNews& aMessage,
                         std::uint32_t aValues,
                         TimePoint aNow) = 0;

  /// @brief Burst of an account; 0 if it is unknown or has no limit.
  virtual double BurstOf(std::uint32_t aAccount) const = 0;
};

/// @brief Exchanges counters of accounts and services in a large fleet.
///
/// Load pattern: hundreds of daemons that each admit a few requests a second of
/// accounts whose limits hold for all of them together. Each daemon reports to
/// the first two daemons of its data centre. The first one adds the reports up
/// and sends the sums, by way of one daemon of each data centre, to all; the
/// second takes over when it is lost, with the reports that the sums did not
/// hold yet; a daemon that is new to the reports gets what was summed of each
/// counter with them (CounterBase). A receiver takes its own part off the sum
/// of its data centre. The messages of a daemon do not grow with the fleet, but
/// for those of the daemon that adds up, which grow with its data centre.
class CounterExchange
{
public:
  /// @param aPeers Must outlive this object, as must the others.
  CounterExchange(MemberInfo aSelf,
                  const PeerBook& aPeers,
                  const UpdateSender& aSender,
                  CounterSink& aSink);

  /// @brief Sends the reports and sums that are due.
  /// @param aOwn This daemon's counters.
  /// @param aSequence Sequence number of this daemon's last message; counts on.
  void Tick(WorkBoard& aOwn, std::uint32_t& aSequence, TimePoint aNow);

  /// @brief Takes this daemon's counters for known to all, as reports have gone
  /// to all so far. What it has received of the reports of others is forgotten.
  void TakeFrom(const WorkBoard& aOwn, TimePoint aNow);

  /// @brief Applies the values from which a daemon's counters are to be taken.
  void OnBase(const CounterBase& aBase, TimePoint aNow);

  /// @brief Applies the report of a daemon of this data centre.
  void OnReport(const WorkNews& aReport, TimePoint aNow);

  /// @brief Applies the sums of a data centre and forwards them if asked to.
  void OnSums(const WorkNews& aSums, TimePoint aNow);

  /// @brief When this daemon last had sums of its own data centre; the clock's
  /// epoch if never.
  TimePoint SumsHeardAt() const;

private:
  /// Sums of a data centre as received.
  struct CentreState
  {
    NodeId origin = 0; ///< The daemon that adds up, in one turn of doing so.
    TimePoint heard_at{};
    /// By origin. An origin that is heard again goes on from its latest values.
    std::map<NodeId, ReceivedCounters> counters;
  };

  /// Sums of this data centre.
  struct Sums
  {
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, std::uint32_t> spent;
    std::map<std::uint32_t, ServiceWork> services;
    std::map<std::uint32_t, double> unsent; ///< Of spent, by account.
    bool urgent = false;
    std::set<std::uint32_t> changed_services; ///< Not sent yet.
  };

  /// What the sums of this data centre hold of this daemon's own counters.
  struct OwnPart
  {
    std::int64_t reported = 0;  ///< As last reported.
    std::int64_t taken_off = 0; ///< Of that, taken off already.
    std::int64_t open = 0; ///< Of others; below 0 if too much was taken off.

    std::int64_t summed_before = 0; ///< Summed when the origin last changed.

    /// Of the reported counter, what the sums have held so far.
    std::int64_t Summed() const { return taken_off + open; }
  };

  /// A counter of one key.
  enum class Field
  {
    Spent,
    Requests,
    Extras,
    Ended,
    Unserved,
  };

  using CounterKey = std::pair<Field, std::uint32_t>;

  static constexpr std::array<Field, 4> kServiceFields{ Field::Requests,
                                                        Field::Extras,
                                                        Field::Ended,
                                                        Field::Unserved };
  template<typename Service>
  static auto& FieldOf(Service& aService, Field aField);

  /// Value from which a target is to take a counter.
  struct Base
  {
    std::uint32_t value = 0;
    std::uint32_t sent = 0; ///< Times.
  };

  /// A daemon that gets this daemon's reports.
  struct Target
  {
    NodeId id = 0;
    std::string address;
    /// It has replaced one that added up, so that the sums before it count.
    bool from_before = false;
    std::map<CounterKey, Base> bases;
  };

  void SendReport(WorkBoard& aOwn, std::uint32_t& aSequence, TimePoint aNow);
  void UpdateTargets(const std::vector<MemberInfo>& aTargets);
  void SendBase(Target& aTarget, const WorkNews& aReport);
  Base& BaseOf(Target& aTarget, const CounterKey& aKey) const;
  ReceivedCounters& ReportsOf(NodeId aOrigin, TimePoint aNow);
  void AddToSums(const CounterDeltas& aDeltas);
  void DropStaleReports(TimePoint aNow);
  void TakeOver();
  void NoteSummed(Field aField, std::uint32_t aKey, std::int64_t aDelta);
  void SendSums(TimePoint aNow);
  bool AcceptsOrigin(CentreState& aState,
                     NodeId aOrigin,
                     bool aOwnCentre,
                     TimePoint aNow);
  void RecordReported(Field aField, std::uint32_t aKey, std::uint32_t aValue);
  std::uint32_t TakeOffOwn(Field aField,
                           std::uint32_t aKey,
                           std::int64_t aDelta);

  MemberInfo m_self;
  std::uint32_t m_centre;
  const PeerBook& m_peers;
  const UpdateSender& m_sender;
  CounterSink& m_sink;
  TimePoint m_nextRankCheck{};
  bool m_isFirst = false;   ///< In the order of the data centre.
  bool m_isTarget = false;  ///< The others send it their reports.
  TimePoint m_reportedAt{}; ///< The latest report of another daemon.
  TimePoint m_lastReport{};
  TimePoint m_lastSums{};
  std::map<NodeId, ReceivedCounters> m_reports; ///< By daemon.
  std::map<std::uint32_t, CentreState> m_centres;
  std::map<CounterKey, OwnPart> m_own;
  /// Reports received here that the sums do not hold yet.
  std::map<CounterKey, std::int64_t> m_unsummed;
  /// Another daemon adds up since this daemon's last report.
  bool m_originChanged = false;
  std::vector<Target> m_targets; ///< That got this daemon's last report.
  Sums m_sums;
  bool m_addsUp = false;    ///< This daemon sends the sums.
  std::uint32_t m_turn = 0; ///< Times that it took this over.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_COUNTER_EXCHANGE_H
