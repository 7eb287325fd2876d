#ifndef SAPPHIRELANE_WIRE_HTTP_HEAD_H
#define SAPPHIRELANE_WIRE_HTTP_HEAD_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirelane {

/// @brief Which message a head belongs to.
enum class HttpMessage
{
  Request,
  Response,
};

/// @brief Result of scanning an HTTP message head before it is parsed.
struct HeadScanResult
{
  std::size_t size = 0; ///< Bytes of the head; 0 if it is incomplete.
  std::string error;    ///< Empty if the head is valid.
};

/// @brief Finds the end of a head, and lines that lenient and strict parsers
/// read differently, which would allow request smuggling or give a body that
/// is not the sender's.
///
/// Of a request the header lines are checked, see FindFieldLineError; of a
/// response all of the head, see ResponseHeadCheck.
HeadScanResult
ScanHead(std::string_view aBytes, HttpMessage aMessage);

/// @brief Checks a header or trailer line (RFC 9110, sections 5.1 and 5.5).
///
/// Folded lines, names that are not a token (such as one with a space before
/// the colon) and values with control characters other than tabs are errors.
/// @param aLine Without its line ending.
/// @return What is wrong with it; empty if it is valid.
std::string
FindFieldLineError(std::string_view aLine);

/// @brief Decides whether the lines of a response head are those of a valid
/// HTTP/1 response. All that reads responses uses it, as parsers of libraries
/// accept more.
///
/// Errors are: a line without a carriage return; a version other than HTTP/1;
/// a status outside 100 to 599 (RFC 9110, section 15), or 101, as nothing asks
/// for another protocol; a field line with an error; lengths that contradict
/// each other or a chunked body; a transfer coding other than chunked (RFC
/// 9112, section 6), as the body would be passed on encoded.
class ResponseHeadCheck
{
public:
  /// @brief Checks the next line, which ends with a line feed. After an interim
  /// response the next head follows, after a final one come trailers.
  void AddLine(std::string_view aLine);

  /// @brief The first error; empty if there is none.
  const std::string& Error() const { return m_error; }

  /// @brief Whether the next line is a field of a head or ends it.
  bool ExpectsField() const { return m_part == Part::Fields; }

  /// @brief Whether the head of the final response is complete.
  bool IsComplete() const { return m_part == Part::Trailers; }

private:
  enum class Part
  {
    StatusLine,
    Fields,
    Trailers,
  };

  void CheckStatusLine(std::string_view aLine);
  void CheckField(std::string_view aLine);
  void CheckLengths(std::string_view aValue);
  void CheckCodings(std::string_view aValue);
  void EndHead();
  void Reject(std::string aError);

  Part m_part = Part::StatusLine;
  bool m_interim = false;
  std::optional<std::uint64_t> m_length;
  bool m_chunked = false;
  std::string m_error;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_HTTP_HEAD_H
