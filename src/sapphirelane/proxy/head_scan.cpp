#include "sapphirelane/proxy/head_scan.h"

#include <algorithm>
#include <cctype>

namespace sapphirelane {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

std::string
FaultOfLine(std::string_view aLine)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    return "a header line is folded";
  }
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  const bool token = colon != std::string_view::npos && !name.empty() &&
                     std::all_of(name.begin(), name.end(), IsTokenCharacter);
  return token ? "" : "a header name is not a token";
}

} // namespace

HeadScan
ScanHead(std::string_view aBytes)
{
  HeadScan scan;
  const std::size_t end = aBytes.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return scan;
  }
  scan.size = end + kHeadEnd.size();
  std::string_view left = aBytes.substr(0, end);
  left.remove_prefix(std::min(left.size(), left.find(kLineEnd)));
  while (!left.empty() && scan.fault.empty()) {
    left.remove_prefix(kLineEnd.size());
    const std::size_t size = std::min(left.size(), left.find(kLineEnd));
    const std::string_view line = left.substr(0, size);
    scan.fault = line.find('\n') != std::string_view::npos
                   ? "a header line ends without a carriage return"
                   : FaultOfLine(line);
    left.remove_prefix(size);
  }
  return scan;
}

} // namespace sapphirelane
