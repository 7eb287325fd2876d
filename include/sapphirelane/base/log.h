#ifndef SAPPHIRELANE_BASE_LOG_H
#define SAPPHIRELANE_BASE_LOG_H

#include <functional>
#include <string>

namespace sapphirelane {

/// @brief Starts logging; call once, before any thread.
/// @param aPath Log file, or empty for standard error.
void
OpenLog(const std::string& aPath);

/// @brief Receives the log lines in place of the log, with their prefix.
using LogSink = std::function<void(const std::string&)>;

/// @brief Sends log lines elsewhere; an empty sink restores the log.
void
SetLogSink(LogSink aSink);

/// @brief Writes one short sentence after the fixed prefix of a part.
/// @param aPart The part's name, such as "route"; printed as "[route]".
/// @param aSentence What was decided, and for what reason.
void
LogLine(const char* aPart, const std::string& aSentence);

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_LOG_H
