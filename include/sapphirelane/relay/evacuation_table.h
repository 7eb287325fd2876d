#ifndef SAPPHIRELANE_RELAY_EVACUATION_TABLE_H
#define SAPPHIRELANE_RELAY_EVACUATION_TABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief Bounds of an EvacuationTable.
struct EvacuationTableOptions
{
  /// Data centres, ended evacuations included. A fleet has fewer than ten; more
  /// rows come from a fault of whoever writes them.
  std::size_t max_entries = 512;
  /// Length of a data centre's name.
  std::size_t max_name_bytes = 255;
  /// How long an evacuation stays in force that is missing after a rollback of
  /// the store. The operator writes it again, unless it has been ended.
  Duration hold_missing = Milliseconds(6000);
};

/// @brief Evacuations of data centres that a daemon knows of.
///
/// Load pattern: reads and messages of many daemons arrive late, repeated and
/// in any order while evacuations begin and end. The highest row version of
/// each data centre wins. Ended evacuations are kept, so that an older message
/// does not bring them back.
class EvacuationTable
{
public:
  explicit EvacuationTable(EvacuationTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Applies changes; of each data centre the highest version wins.
  /// @return True if the evacuations in force have changed.
  bool Take(const std::vector<EvacuationChange>& aChanges, TimePoint aNow);

  /// @brief Applies a full snapshot: evacuations that are not in it, and whose
  /// version is not above the snapshot's, have ended. Those of an earlier era
  /// of the store are held for a while, as the copy that it was rolled back to
  /// may be older than they are.
  /// @return True if the evacuations in force have changed.
  bool TakeWhole(const std::vector<EvacuationChange>& aChanges,
                 EvacuationVersion aVersion,
                 TimePoint aNow);

  /// @brief Ends the evacuations that were held after a rollback and have not
  /// been written again.
  /// @return True if the evacuations in force have changed.
  bool Tick(TimePoint aNow);

  /// @brief Evacuations in force, and since when this daemon has known each.
  std::map<std::string, TimePoint> InForce() const;

  /// @brief All that is known, ended evacuations included.
  std::vector<EvacuationChange> All() const;

  /// @brief As many as fit into a number of bytes, but at least one. The next
  /// call continues where this one ended.
  std::vector<EvacuationChange> TakeTurn(std::size_t aBytes);

  /// @brief Returns and clears the number of changes that were ignored because
  /// of a name that is empty or too long, or because there are too many.
  std::size_t TakeIgnored();

private:
  struct Entry
  {
    EvacuationVersion version;
    bool evacuated = false;
    /// Version of the snapshot in which it is missing; it is held until then.
    EvacuationVersion missing_in;
    TimePoint held_until{};
    TimePoint known_since{}; ///< Of the evacuation in force.
  };

  bool Apply(const EvacuationChange& aChange, TimePoint aNow);
  bool MakeRoom();

  EvacuationTableOptions m_options;
  std::map<std::string, Entry> m_entries; ///< By data centre.
  std::string m_next;                     ///< Where the next turn begins.
  std::size_t m_ignored = 0;
  bool m_holds = false; ///< Some evacuations are held.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_EVACUATION_TABLE_H
