#ifndef SAPPHIRELANE_LOGS_LOG_STORY_H
#define SAPPHIRELANE_LOGS_LOG_STORY_H

#include <string>
#include <vector>

#include "sapphirelane/logs/log_entry.h"

namespace sapphirelane {

/// @brief Tells what became of a request: its own lines and, before each of
/// them, what its host believed then about the endpoint, the view, the store
/// and the other daemons.
/// @param aEntries Lines of any hosts, in any order.
/// @return Lines in order of time; empty if nobody has logged the request.
std::vector<LogEntry>
StoryOfRequest(std::vector<LogEntry> aEntries, const std::string& aRequest);

/// @brief Tells how an endpoint stood over time: changes of its standing on any
/// host, and requests that it failed or did not run.
std::vector<LogEntry>
StoryOfEndpoint(std::vector<LogEntry> aEntries, const std::string& aEndpoint);

/// @brief Tells what an account was refused, and what bounded its rate.
std::vector<LogEntry>
StoryOfAccount(std::vector<LogEntry> aEntries, const std::string& aAccount);

} // namespace sapphirelane

#endif // SAPPHIRELANE_LOGS_LOG_STORY_H
