#ifndef SAPPHIRELANE_PROXY_HEAD_SCAN_H
#define SAPPHIRELANE_PROXY_HEAD_SCAN_H

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphirelane {

/// @brief Result of scanning an HTTP message head before it is parsed.
struct HeadScanResult
{
  std::size_t size = 0; ///< Bytes of the head; 0 if it is incomplete.
  std::string error;    ///< Empty if the header lines are valid.
};

/// @brief Finds the end of a head, and header lines that lenient and strict
/// parsers read differently, which would allow request smuggling.
///
/// Folded lines, header names that are not a token (such as one with a space
/// before the colon) and lines that end without a carriage return are errors.
HeadScanResult
ScanHead(std::string_view aBytes);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_HEAD_SCAN_H
