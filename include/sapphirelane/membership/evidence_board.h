#ifndef SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H
#define SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H

#include <deque>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Sums up what daemons report of the services that one observes.
///
/// A daemon that saw bad results reports them and gets what the others
/// reported since its last report.
class EvidenceBoard
{
public:
  /// @brief Takes in a report and answers with the others' evidence.
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
    std::map<NodeId, TimePoint> told; ///< When each reporter was answered.
  };

  std::map<std::string, Service> m_services;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_EVIDENCE_BOARD_H
