#include "sapphirelane/membership/withdrawals.h"

namespace sapphirelane {

namespace {

const Key*
FindDigest(const FleetConfig& aConfig, const std::string& aDigest)
{
  for (const auto& entry : aConfig.keys) {
    if (entry.second.digest == aDigest) {
      return &entry.second;
    }
  }
  return nullptr;
}

} // namespace

bool
Withdrawals::Add(const Withdrawal& aWithdrawal)
{
  return m_byDigest.emplace(aWithdrawal.digest, aWithdrawal).second;
}

void
Withdrawals::OnConfig(const FleetConfig& aConfig)
{
  for (auto it = m_byDigest.begin(); it != m_byDigest.end();) {
    const bool taken = aConfig.version > it->second.version &&
                       FindDigest(aConfig, it->first) == nullptr;
    it = taken ? m_byDigest.erase(it) : std::next(it);
  }
}

std::set<std::string>
Withdrawals::Digests() const
{
  std::set<std::string> digests;
  for (const auto& entry : m_byDigest) {
    digests.insert(entry.first);
  }
  return digests;
}

std::vector<Withdrawal>
Withdrawals::All() const
{
  std::vector<Withdrawal> all;
  for (const auto& entry : m_byDigest) {
    all.push_back(entry.second);
  }
  return all;
}

std::vector<RowChange>
Withdrawals::Changes(const FleetConfig& aConfig) const
{
  const auto rows = RowsOf(aConfig);
  std::vector<RowChange> changes;
  for (const auto& entry : m_byDigest) {
    const Key* key = FindDigest(aConfig, entry.first);
    if (key != nullptr) {
      const std::string row = "key/" + key->id;
      changes.push_back({ row, rows.at(row), nullptr });
    }
  }
  return changes;
}

} // namespace sapphirelane
