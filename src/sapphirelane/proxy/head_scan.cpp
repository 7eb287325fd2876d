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
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         kTokenPunctuation.find(aCharacter) != std::string_view::npos;
}

std::string
FindLineError(std::string_view aLine)
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

HeadScanResult
ScanHead(std::string_view aBytes)
{
  HeadScanResult scan;
  const std::size_t end = aBytes.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return scan;
  }
  scan.size = end + kHeadEnd.size();
  std::string_view remaining = aBytes.substr(0, end);
  remaining.remove_prefix(std::min(remaining.size(), remaining.find(kLineEnd)));
  while (!remaining.empty() && scan.error.empty()) {
    remaining.remove_prefix(kLineEnd.size());
    const std::size_t size =
      std::min(remaining.size(), remaining.find(kLineEnd));
    const std::string_view line = remaining.substr(0, size);
    scan.error = line.find('\n') != std::string_view::npos
                   ? "a header line ends without a carriage return"
                   : FindLineError(line);
    remaining.remove_prefix(size);
  }
  return scan;
}

} // namespace sapphirelane
