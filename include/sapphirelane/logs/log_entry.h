#ifndef SAPPHIRELANE_LOGS_LOG_ENTRY_H
#define SAPPHIRELANE_LOGS_LOG_ENTRY_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirelane {

/// @brief One line of a daemon's log.
struct LogEntry
{
  std::string time; ///< As written, which sorts by time.
  std::string host;
  std::string part;     ///< Such as "route".
  std::string sentence; ///< What was decided.
  std::map<std::string, std::string> fields;

  /// @return A field's value; empty if there is none.
  const std::string& Field(const std::string& aName) const;

  /// @return The line with its host.
  std::string Text() const;
};

/// @brief Reads one line as LogLine writes it.
/// @param aLine May begin with other words, as a collector of logs adds them;
/// the last one before the time is then taken for the host.
/// @param aHost The host otherwise.
/// @return Nothing if it is no such line.
std::optional<LogEntry>
ParseLogLine(std::string_view aLine, const std::string& aHost);

} // namespace sapphirelane

#endif // SAPPHIRELANE_LOGS_LOG_ENTRY_H
