#ifndef SAPPHIRELANE_BASE_LOG_H
#define SAPPHIRELANE_BASE_LOG_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Starts logging; call once, before any thread.
///
/// Lines are written by a thread of their own, so that no caller waits for the
/// reader of the log. Lines that come too fast are left out and counted.
/// @param aPath Log file, or empty for standard output.
void
OpenLog(const std::string& aPath);

/// @brief Writes what waits, and stops logging.
/// @param aPatience Longest wait for a log that nobody reads.
void
CloseLog(Duration aPatience);

/// @brief Receives the log lines in place of the log, with their prefix.
using LogSink = std::function<void(const std::string&)>;

/// @brief Sends log lines elsewhere; an empty sink restores the log.
void
SetLogSink(LogSink aSink);

/// @brief Fields of a log line, written as name=value.
///
/// A value that is empty or holds anything but printable characters without
/// blanks and quotes stands in quotes, with such characters escaped; it is cut
/// off after 200 characters.
class LogFields
{
public:
  LogFields& Add(const char* aName, std::string_view aValue);
  LogFields& Add(const char* aName, const char* aValue);
  LogFields& Add(const char* aName, std::uint64_t aValue);
  LogFields& Add(const char* aName, std::uint32_t aValue);
  LogFields& Add(const char* aName, int aValue);

  /// @brief Adds a share or probability with three decimals.
  LogFields& Add(const char* aName, double aValue);

  /// @brief Adds a time in whole milliseconds.
  /// @param aName Ends in "_ms".
  LogFields& Add(const char* aName, Duration aValue);

  /// @brief Adds the fields of another set.
  LogFields& Add(const LogFields& aOther);

  /// @return The fields, each after a blank.
  const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

/// @brief Writes one short sentence after the fixed prefix of a part.
/// @param aPart The part's name, such as "route"; printed as "[route]".
/// @param aSentence What was decided.
/// @param aFields What it was decided on, and the outcome.
void
LogLine(const char* aPart,
        const std::string& aSentence,
        const LogFields& aFields = {});

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_LOG_H
