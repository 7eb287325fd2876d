#ifndef SAPPHIRELANE_CONFIG_SHEET_H
#define SAPPHIRELANE_CONFIG_SHEET_H

#include <string>
#include <vector>

#include "sapphirelane/base/error.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief The planners' sheet holds errors, each with row and column.
class SheetError : public ConfigError
{
public:
  explicit SheetError(std::vector<std::string> aFaults);

  const std::vector<std::string>& Faults() const { return m_faults; }

private:
  std::vector<std::string> m_faults;
};

/// @brief Reads the planners' CSV sheet into a configuration without keys.
///
/// The first row names the columns: kind, id, state, service, address, slots,
/// connections, floor, rate, burst, path, mode, access, timeout_ms, callers.
/// The kind is service, endpoint, route, account or host; "#" starts a row of
/// comment.
///
/// @param aName The sheet's name, for errors.
/// @throws SheetError with every fault found.
FleetConfig
ReadSheet(const std::string& aName, const std::string& aText);

/// @brief Puts a sheet's rows in place of those of an older configuration.
///
/// Keys are not part of a sheet: those of accounts that remain are kept.
FleetConfig
Replace(const FleetConfig& aOld, FleetConfig aSheet);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CONFIG_SHEET_H
