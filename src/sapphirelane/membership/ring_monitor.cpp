#include "sapphirelane/membership/ring_monitor.h"

#include <algorithm>

#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kMaxProposers = 3;

/// Members that must report another one as silent before it counts as dead.
constexpr std::size_t kMinReporters = 2;

} // namespace

RingMonitor::RingMonitor(NodeId aSelf)
  : m_self(aSelf)
{
}

void
RingMonitor::Load(const Head& aHead, TimePoint aNow)
{
  m_members = MemberIds(aHead);
  m_heartbeatTargets.clear();
  std::map<NodeId, TimePoint> lastContact;
  const auto self = std::find(m_members.begin(), m_members.end(), m_self);
  if (self == m_members.end()) {
    m_lastContact.clear();
    return;
  }
  const std::size_t size = m_members.size();
  const auto position = static_cast<std::size_t>(self - m_members.begin());
  const std::size_t neighbours = std::min(kRingNeighbours, size - 1);
  for (std::size_t step = 1; step <= neighbours; ++step) {
    m_heartbeatTargets.push_back(m_members[(position + step) % size]);
    const NodeId monitored = m_members[(position + size - step) % size];
    auto known = m_lastContact.find(monitored);
    lastContact[monitored] =
      known == m_lastContact.end() ? aNow : known->second;
  }
  m_lastContact = lastContact;
  for (auto it = m_reports.begin(); it != m_reports.end();) {
    const bool member =
      std::binary_search(m_members.begin(), m_members.end(), it->first);
    it = member ? std::next(it) : m_reports.erase(it);
  }
}

void
RingMonitor::Hear(NodeId aMember, TimePoint aNow)
{
  auto found = m_lastContact.find(aMember);
  if (found != m_lastContact.end()) {
    found->second = aNow;
  }
}

std::vector<NodeId>
RingMonitor::Silent(TimePoint aNow) const
{
  std::vector<NodeId> silent;
  for (const auto& entry : m_lastContact) {
    if (aNow - entry.second > kSuspectAfter) {
      silent.push_back(entry.first);
    }
  }
  return silent;
}

void
RingMonitor::Report(NodeId aReporter, NodeId aSuspect, TimePoint aNow)
{
  const bool member =
    std::binary_search(m_members.begin(), m_members.end(), aSuspect);
  if (member && aReporter != aSuspect) {
    m_reports[aSuspect][aReporter] = aNow;
  }
}

std::vector<NodeId>
RingMonitor::Dead(TimePoint aNow) const
{
  std::vector<NodeId> dead;
  // A fleet of two has only one possible reporter.
  const std::size_t minReporters =
    std::min(kMinReporters, std::max<std::size_t>(1, m_members.size() - 1));
  for (const auto& entry : m_reports) {
    const auto recent = std::count_if(
      entry.second.begin(), entry.second.end(), [&](const auto& aReport) {
        return aNow - aReport.second <= kReportLife;
      });
    if (static_cast<std::size_t>(recent) >= minReporters) {
      dead.push_back(entry.first);
    }
  }
  return dead;
}

std::vector<NodeId>
RingMonitor::Proposers(TimePoint aNow) const
{
  const std::vector<NodeId> silent = Silent(aNow);
  std::vector<NodeId> proposers;
  for (NodeId member : m_members) {
    const bool suspected =
      std::find(silent.begin(), silent.end(), member) != silent.end();
    if (!suspected && proposers.size() < kMaxProposers) {
      proposers.push_back(member);
    }
  }
  return proposers;
}

} // namespace sapphirelane
