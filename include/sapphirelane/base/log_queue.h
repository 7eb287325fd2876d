#ifndef SAPPHIRELANE_BASE_LOG_QUEUE_H
#define SAPPHIRELANE_BASE_LOG_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Bounds of a log's volume.
struct LogQueueOptions
{
  std::size_t bytes = 1U << 20U; ///< Text that may wait for the writer.
  /// Lines a second of one part. Ten lines for each of 71 requests a second, a
  /// daemon's share of the peak in docs/CAPACITY.md.
  double rate = 710;
  double burst = 2000; ///< Lines of one part at once.
};

/// @brief Log lines between those who log and the one who writes.
///
/// Answers a reader that stops reading and parts that log in a flood: what is
/// above the bounds is left out, and its number is told. Each part has a bound
/// of its own, so that a flood of one hides no line of another. Not
/// synchronized.
class LogQueue
{
public:
  explicit LogQueue(LogQueueOptions aOptions);

  /// @brief Adds a line, or counts it as left out.
  /// @return False if it was left out.
  bool Push(const std::string& aPart, std::string aLine, TimePoint aNow);

  /// @brief Takes the lines that wait, the oldest first.
  std::vector<std::string> Take();

  /// @brief Takes the number of lines of each part that were left out since
  /// the last call.
  std::map<std::string, std::uint64_t> TakeLeftOut();

private:
  struct Part
  {
    double tokens = 0;
    TimePoint time{};
    std::uint64_t left_out = 0;
  };

  LogQueueOptions m_options;
  std::map<std::string, Part> m_parts;
  std::vector<std::string> m_lines;
  std::size_t m_bytes = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_LOG_QUEUE_H
