#ifndef SAPPHIRELANE_RELAY_WORK_RELAY_H
#define SAPPHIRELANE_RELAY_WORK_RELAY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/relay/extra_budget.h"
#include "sapphirelane/relay/quota_ledger.h"
#include "sapphirelane/relay/spreader.h"
#include "sapphirelane/relay/work_board.h"
#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {

/// @brief Tells the fleet of this daemon's work and counts that of the others.
///
/// In a large fleet news of work stay in the data centre of the daemon and in
/// that of the endpoint; the others hear the sums of each data centre.
class WorkRelay
{
public:
  /// @param aSender Outlives the relay, as do the others.
  WorkRelay(MemberInfo aSelf,
            const PeerBook& aPeers,
            const UpdateSender& aSender,
            QuotaLedger& aQuota,
            ExtraBudget& aExtras);

  /// @brief Takes over which endpoints and accounts there are.
  void Load(const FleetConfig& aConfig) { m_board.Load(aConfig); }

  /// @brief Says whether the fleet is large.
  void SetLarge(bool aLarge) { m_large = aLarge; }

  // This daemon's own work.
  void NoteOwn(const WorkReport& aReport, TimePoint aNow);
  void NoteOutcome(const std::string& aService, bool aServed, TimePoint aNow);
  void NoteSpent(const std::string& aAccount, std::int32_t aCount);

  /// @brief Sends what is due.
  void Tick(TimePoint aNow);

  /// @brief Takes in another daemon's word.
  /// @return What it tells of endpoints.
  std::vector<FleetEvidence> OnNews(const WorkNews& aNews, TimePoint aNow);

  /// @brief Forgets what daemons have in hand that no longer live.
  std::vector<FleetEvidence> DropDead(TimePoint aNow);

  /// @brief Share of a service's requests that the fleet did not serve, lately.
  double Shortfall(const std::string& aService, TimePoint aNow);

private:
  /// What one run of a daemon has told of its counters.
  struct Heard
  {
    using Counters = std::map<std::uint32_t, std::uint32_t>;

    std::uint32_t sequence = 0; ///< Newest message; 0 before the first.
    /// Heard since its start, so that all it has counted is new.
    bool whole = false;
    Counters spent;
    Counters requests;
    Counters extras;
    Counters ended;
    Counters unserved;

    /// @brief Notes that a message has come.
    void Note(std::uint32_t aSequence);

    /// @return How far a counter has advanced; 0 for the first value of a
    /// daemon that had counted before it was heard.
    std::uint32_t Advance(Counters& aCounters,
                          std::uint32_t aKey,
                          std::uint32_t aValue) const;
  };

  /// What the daemons of this data centre have counted together.
  struct CentreSums
  {
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, std::uint32_t> spent;
    std::map<std::uint32_t, ServiceWork> services;
    std::set<std::uint32_t> new_accounts; ///< Not told yet.
    std::set<std::uint32_t> new_services; ///< Not told yet.
  };

  void SendNews(std::size_t aRelays, TimePoint aNow);
  void SendToOwners(const WorkNews& aNews, std::size_t aRelays, TimePoint aNow);
  void NoteForCentre(const WorkNews& aNews);
  void TellCentre(TimePoint aNow);

  MemberInfo m_self;
  const PeerBook& m_peers;
  const UpdateSender& m_sender;
  QuotaLedger& m_quota;
  ExtraBudget& m_extras;
  WorkBoard m_board;
  std::map<std::string, ShortfallMeter> m_shortfall; ///< By service.
  std::map<NodeId, Heard> m_heard;
  std::uint32_t m_sequence = 0;
  TimePoint m_lastNews{};
  bool m_large = false; ///< The fleet is large.
  std::map<NodeId, Heard> m_centreHeard;
  CentreSums m_centre;
  bool m_tells = false;             ///< It is this daemon that tells of them.
  std::uint32_t m_tellingTimes = 0; ///< How often it began to.
  TimePoint m_lastCentre{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_WORK_RELAY_H
