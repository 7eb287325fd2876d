#include "sapphirelane/membership/evidence_board.h"

namespace sapphirelane {

namespace {

/// Age above which evidence says nothing about an endpoint's current health.
constexpr Milliseconds kEvidenceLifetime{ 2000 };

constexpr std::size_t kMaxEndpointsPerSummary = 50;

} // namespace

EvidenceNews
EvidenceBoard::Exchange(NodeId aReporter,
                        const EvidenceNews& aReport,
                        TimePoint aNow)
{
  Service& service = m_services[aReport.service];
  while (!service.entries.empty() &&
         aNow - service.entries.front().time > kEvidenceLifetime) {
    service.entries.pop_front();
  }
  const TimePoint lastExchange = service.last_exchange[aReporter];
  std::map<std::string, WireEvidence> sums;
  for (const Entry& entry : service.entries) {
    if (entry.reporter == aReporter || entry.time <= lastExchange) {
      continue;
    }
    WireEvidence& sum = sums[entry.evidence.endpoint];
    sum.endpoint = entry.evidence.endpoint;
    sum.answered += entry.evidence.answered;
    sum.bad += entry.evidence.bad;
  }
  service.last_exchange[aReporter] = aNow;
  for (const WireEvidence& evidence : aReport.endpoints) {
    service.entries.push_back({ aNow, aReporter, evidence });
  }
  EvidenceNews summary;
  summary.service = aReport.service;
  summary.summary = true;
  for (const auto& entry : sums) {
    if (summary.endpoints.size() < kMaxEndpointsPerSummary) {
      summary.endpoints.push_back(entry.second);
    }
  }
  return summary;
}

} // namespace sapphirelane
