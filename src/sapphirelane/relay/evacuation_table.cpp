#include "sapphirelane/relay/evacuation_table.h"

#include <utility>

namespace sapphirelane {

namespace {

/// Bytes of a change beside the data centre's name.
constexpr std::size_t kChangeBytes = 21;

} // namespace

bool
EvacuationTable::Take(const std::vector<EvacuationChange>& aChanges,
                      TimePoint aNow)
{
  bool changed = false;
  for (const EvacuationChange& change : aChanges) {
    changed = Apply(change, aNow) || changed;
  }
  return changed;
}

bool
EvacuationTable::TakeWhole(const std::vector<EvacuationChange>& aChanges,
                           EvacuationVersion aVersion,
                           TimePoint aNow)
{
  bool changed = Take(aChanges, aNow);
  std::set<std::string> present;
  for (const EvacuationChange& change : aChanges) {
    present.insert(change.data_centre);
  }
  for (auto& [name, entry] : m_entries) {
    const bool missing =
      entry.evacuated && entry.version <= aVersion && present.count(name) == 0;
    if (missing && entry.version.era < aVersion.era) {
      entry.held_until = entry.missing_in.IsNone()
                           ? aNow + m_options.hold_missing
                           : entry.held_until;
      entry.missing_in = aVersion;
      m_holds = true;
    } else if (missing) {
      entry.version = aVersion;
      entry.evacuated = false;
      changed = true;
    }
  }
  return changed;
}

bool
EvacuationTable::Tick(TimePoint aNow)
{
  if (!m_holds) {
    return false;
  }
  m_holds = false;
  bool changed = false;
  for (auto& item : m_entries) {
    Entry& entry = item.second;
    if (entry.missing_in.IsNone()) {
      continue;
    }
    if (aNow < entry.held_until) {
      m_holds = true;
      continue;
    }
    entry.version = std::exchange(entry.missing_in, EvacuationVersion());
    entry.evacuated = false;
    changed = true;
  }
  return changed;
}

bool
EvacuationTable::Apply(const EvacuationChange& aChange, TimePoint aNow)
{
  const std::string& name = aChange.data_centre;
  auto found = m_entries.find(name);
  if (found == m_entries.end()) {
    const bool valid = !name.empty() && name.size() <= m_options.max_name_bytes;
    if (!valid || !MakeRoom()) {
      ++m_ignored;
      return false;
    }
    found = m_entries.emplace(name, Entry{}).first;
  } else if (aChange.version <= found->second.version) {
    return false;
  }
  Entry& entry = found->second;
  entry.version = aChange.version;
  entry.missing_in = {};
  if (entry.evacuated == aChange.evacuated) {
    return false;
  }
  entry.evacuated = aChange.evacuated;
  entry.known_since = aNow;
  return true;
}

/// Forgets the oldest ended evacuation if the table is full.
/// @return False if all are in force; these are never forgotten.
bool
EvacuationTable::MakeRoom()
{
  if (m_entries.size() < m_options.max_entries) {
    return true;
  }
  auto oldest = m_entries.end();
  for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
    const bool older =
      oldest == m_entries.end() || it->second.version < oldest->second.version;
    if (!it->second.evacuated && older) {
      oldest = it;
    }
  }
  if (oldest == m_entries.end()) {
    return false;
  }
  m_entries.erase(oldest);
  return true;
}

std::map<std::string, TimePoint>
EvacuationTable::InForce() const
{
  std::map<std::string, TimePoint> evacuated;
  for (const auto& [name, entry] : m_entries) {
    if (entry.evacuated) {
      evacuated.emplace(name, entry.known_since);
    }
  }
  return evacuated;
}

std::vector<EvacuationChange>
EvacuationTable::All() const
{
  std::vector<EvacuationChange> all;
  all.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) {
    all.push_back({ name, entry.version, entry.evacuated });
  }
  return all;
}

std::vector<EvacuationChange>
EvacuationTable::TakeTurn(std::size_t aBytes)
{
  std::vector<EvacuationChange> turn;
  std::size_t bytes = 0;
  auto it = m_entries.lower_bound(m_next);
  while (turn.size() < m_entries.size()) {
    it = it == m_entries.end() ? m_entries.begin() : it;
    bytes += kChangeBytes + it->first.size();
    if (bytes > aBytes && !turn.empty()) {
      break;
    }
    turn.push_back({ it->first, it->second.version, it->second.evacuated });
    ++it;
  }
  m_next = it == m_entries.end() ? std::string() : it->first;
  return turn;
}

std::size_t
EvacuationTable::TakeIgnored()
{
  return std::exchange(m_ignored, 0);
}

} // namespace sapphirelane
