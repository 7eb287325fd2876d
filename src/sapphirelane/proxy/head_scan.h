#ifndef SAPPHIRELANE_PROXY_HEAD_SCAN_H
#define SAPPHIRELANE_PROXY_HEAD_SCAN_H

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphirelane {

/// @brief What the bytes of a message's head show before it is parsed.
struct HeadScan
{
  std::size_t size = 0; ///< Bytes of the head; 0 if it is not whole yet.
  std::string fault;    ///< Empty if the head's lines are sound.
};

/// @brief Looks for the end of a head, and for lines that lenient and strict
/// readers understand differently.
///
/// A line that continues the one before it, a header name that is not a token
/// (such as one with a space before the colon) and a line that ends without a
/// carriage return are faults.
HeadScan
ScanHead(std::string_view aBytes);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_HEAD_SCAN_H
