#ifndef SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H
#define SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H

#include <deque>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Aggregates the endpoint results that daemons report, by service.
///
/// Held by the daemon that observes a service for the fleet. A daemon that saw
/// failures reports them and receives the sums of what the other daemons have
/// reported since its previous report.
class EvidenceBoard
{
public:
  /// @brief Records a report and returns the summary of the other daemons'
  /// recent evidence.
  EvidenceNews Exchange(NodeId aReporter,
                        const EvidenceNews& aReport,
                        TimePoint aNow);

private:
  struct Entry
  {
    TimePoint time{};
    NodeId reporter = 0;
    WireEvidence evidence;
  };

  struct Service
  {
    std::deque<Entry> entries;
    std::map<NodeId, TimePoint> last_exchange; ///< By reporter.
  };

  std::map<std::string, Service> m_services;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H
