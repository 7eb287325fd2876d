#ifndef SAPPHIRELANE_MEMBERSHIP_WITHDRAWALS_H
#define SAPPHIRELANE_MEMBERSHIP_WITHDRAWALS_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/config/change_set.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Keys withdrawn ahead of the configuration.
///
/// A withdrawal only takes rights away, so it spreads from daemon to daemon
/// without the platform. It is dropped when a later configuration no longer
/// has the key.
class Withdrawals
{
public:
  /// @brief Adds a withdrawal.
  /// @return True if it was not known.
  bool Add(const Withdrawal& aWithdrawal);

  /// @brief Drops what a configuration has taken over.
  void OnConfig(const FleetConfig& aConfig);

  std::set<std::string> Digests() const;
  std::vector<Withdrawal> All() const;
  bool Empty() const { return m_byDigest.empty(); }

  /// @brief Rows to remove so that the configuration says the same.
  std::vector<RowChange> Changes(const FleetConfig& aConfig) const;

private:
  std::map<std::string, Withdrawal> m_byDigest;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_WITHDRAWALS_H
