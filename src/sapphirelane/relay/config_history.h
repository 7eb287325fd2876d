#ifndef SAPPHIRELANE_RELAY_CONFIG_HISTORY_H
#define SAPPHIRELANE_RELAY_CONFIG_HISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace sapphirelane {

/// @brief Texts of the latest configurations, and the differences between them.
///
/// Load pattern: a change of a few rows that each daemon of a data centre
/// fetches at the same time, on links that carry a whole configuration to them
/// in seconds only.
class ConfigHistory
{
public:
  /// @brief Records the text of a version that is newer than those before.
  void Add(std::uint64_t aVersion, std::string aText);

  /// @brief Newest version; 0 if there is none.
  std::uint64_t Version() const;

  /// @brief Text of the newest version; empty if there is none.
  const std::string& Text() const;

  /// @brief What changed from a version to the newest one.
  /// @return The difference; nothing if the version is not kept any more, or if
  /// the whole text is shorter.
  std::optional<std::string> DifferenceFrom(std::uint64_t aBase);

  /// @brief Applies another daemon's difference to the newest text.
  /// @param aHash StableHash of the text that results.
  /// @return That text; nothing if the difference is from another version than
  /// the newest one or does not lead to a text with this hash.
  std::optional<std::string> Apply(std::uint64_t aBase,
                                   const std::string& aDifference,
                                   std::uint64_t aHash) const;

private:
  struct Entry
  {
    std::uint64_t version = 0;
    std::string text;
    std::string difference; ///< To the newest text; empty if not known yet.
  };

  std::deque<Entry> m_entries; ///< In ascending order of versions.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_CONFIG_HISTORY_H
