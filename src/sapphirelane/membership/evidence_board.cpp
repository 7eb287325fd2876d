#include "sapphirelane/membership/evidence_board.h"

namespace sapphirelane {

namespace {

/// Evidence older than this tells nothing of an endpoint's present health.
constexpr Milliseconds kEvidenceLife{ 2000 };

constexpr std::size_t kMostEndpointsTold = 50;

} // namespace

EvidenceNews
EvidenceBoard::Exchange(NodeId aReporter,
                        const EvidenceNews& aReport,
                        TimePoint aNow)
{
  Service& service = m_services[aReport.service];
  while (!service.entries.empty() &&
         aNow - service.entries.front().time > kEvidenceLife) {
    service.entries.pop_front();
  }
  const TimePoint told = service.told[aReporter];
  std::map<std::string, WireEvidence> sums;
  for (const Entry& entry : service.entries) {
    if (entry.reporter == aReporter || entry.time <= told) {
      continue;
    }
    WireEvidence& sum = sums[entry.evidence.endpoint];
    sum.endpoint = entry.evidence.endpoint;
    sum.answered += entry.evidence.answered;
    sum.bad += entry.evidence.bad;
  }
  service.told[aReporter] = aNow;
  for (const WireEvidence& evidence : aReport.endpoints) {
    service.entries.push_back({ aNow, aReporter, evidence });
  }
  EvidenceNews summary;
  summary.service = aReport.service;
  summary.summary = true;
  for (const auto& entry : sums) {
    if (summary.endpoints.size() < kMostEndpointsTold) {
      summary.endpoints.push_back(entry.second);
    }
  }
  return summary;
}

} // namespace sapphirelane
