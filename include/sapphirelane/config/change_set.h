#ifndef SAPPHIRELANE_CONFIG_CHANGE_SET_H
#define SAPPHIRELANE_CONFIG_CHANGE_SET_H

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief One row as it was and as it shall be; null where it does not exist.
struct RowChange
{
  std::string key; ///< "kind/id".
  nlohmann::json before;
  nlohmann::json after;
};

/// @brief What one operator changes in one new version.
struct ChangeSet
{
  std::string id;     ///< Unique; resolves answers that were lost.
  std::string author; ///< Operator, for the history.
  std::vector<RowChange> rows;
};

/// @brief A change set meets a row that another change has altered meanwhile.
class ChangeConflict : public Error
{
public:
  explicit ChangeConflict(const std::string& aKey)
    : Error("row \"" + aKey + "\" was changed meanwhile")
    , m_key(aKey)
  {
  }

  const std::string& Key() const { return m_key; }

private:
  std::string m_key;
};

/// @brief Lists the rows that differ between two configurations.
std::vector<RowChange>
Difference(const FleetConfig& aBefore, const FleetConfig& aAfter);

/// @brief Applies a change set; rows that it does not name stay as they are.
/// @return The configuration with the next version number.
/// @throws ChangeConflict if a row is not as the change set expects it.
/// @throws ConfigError if the result is not sound.
FleetConfig
Apply(const FleetConfig& aConfig, const ChangeSet& aChange);

/// @brief Describes one row's change in one line for an operator.
std::string
Describe(const RowChange& aChange);

void
to_json(nlohmann::json& aJson, const ChangeSet& aChange);
void
from_json(const nlohmann::json& aJson, ChangeSet& aChange);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CONFIG_CHANGE_SET_H
