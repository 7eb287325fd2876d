#include "sapphirelane/wire/http_head.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

namespace sapphirelane {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlanks = " \t";

constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocolsStatus = 101;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         kTokenPunctuation.find(aCharacter) != std::string_view::npos;
}

bool
IsControlCharacter(char aCharacter)
{
  return aCharacter != '\t' &&
         absl::ascii_iscntrl(static_cast<unsigned char>(aCharacter));
}

bool
IsDigit(char aCharacter)
{
  return absl::ascii_isdigit(static_cast<unsigned char>(aCharacter));
}

std::string_view
TrimBlanks(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase({ aLeft.data(), aLeft.size() },
                                { aRight.data(), aRight.size() });
}

/// Calls a function with each element of a comma-separated list.
template<typename Function>
void
ForEachElement(std::string_view aList, Function aFunction)
{
  for (absl::string_view element :
       absl::StrSplit(absl::string_view(aList.data(), aList.size()), ',')) {
    aFunction(TrimBlanks({ element.data(), element.size() }));
  }
}

/// Checks the lines of a request head after its first one.
std::string
FindRequestError(std::string_view aHead)
{
  aHead.remove_prefix(std::min(aHead.size(), aHead.find(kLineEnd)));
  std::string error;
  while (!aHead.empty() && error.empty()) {
    aHead.remove_prefix(kLineEnd.size());
    const std::size_t size = std::min(aHead.size(), aHead.find(kLineEnd));
    error = FindFieldLineError(aHead.substr(0, size));
    aHead.remove_prefix(size);
  }
  return error;
}

std::string
FindResponseError(std::string_view aHead)
{
  ResponseHeadCheck check;
  while (!aHead.empty() && check.Error().empty()) {
    const std::size_t size = aHead.find('\n') + 1;
    check.AddLine(aHead.substr(0, size));
    aHead.remove_prefix(size);
  }
  return check.Error();
}

} // namespace

HeadScanResult
ScanHead(std::string_view aBytes, HttpMessage aMessage)
{
  HeadScanResult scan;
  const std::size_t end = aBytes.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return scan;
  }
  scan.size = end + kHeadEnd.size();
  scan.error = aMessage == HttpMessage::Request
                 ? FindRequestError(aBytes.substr(0, end))
                 : FindResponseError(aBytes.substr(0, scan.size));
  return scan;
}

std::string
FindFieldLineError(std::string_view aLine)
{
  if (aLine.find('\n') != std::string_view::npos) {
    return "a header line ends without a carriage return";
  }
  if (!aLine.empty() && kBlanks.find(aLine.front()) != std::string_view::npos) {
    return "a header line is folded";
  }
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  const bool isToken = colon != std::string_view::npos && !name.empty() &&
                       std::all_of(name.begin(), name.end(), IsTokenCharacter);
  if (!isToken) {
    return "a header name is not a token";
  }
  return std::any_of(aLine.begin() + static_cast<std::ptrdiff_t>(colon),
                     aLine.end(),
                     IsControlCharacter)
           ? "a header value has a control character"
           : "";
}

void
ResponseHeadCheck::AddLine(std::string_view aLine)
{
  if (aLine.size() < kLineEnd.size() ||
      aLine.substr(aLine.size() - kLineEnd.size()) != kLineEnd) {
    Reject("a header line ends without a carriage return");
    return;
  }
  aLine.remove_suffix(kLineEnd.size());
  if (m_part == Part::StatusLine) {
    CheckStatusLine(aLine);
  } else if (!aLine.empty()) {
    CheckField(aLine);
  } else if (m_part == Part::Fields) {
    EndHead();
  }
}

void
ResponseHeadCheck::CheckStatusLine(std::string_view aLine)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kVersionSize = kVersion.size() + 1;
  constexpr std::size_t kStatusSize = 3;
  m_part = Part::Fields;
  const bool isHttp1 = aLine.size() > kVersionSize &&
                       aLine.substr(0, kVersion.size()) == kVersion &&
                       IsDigit(aLine[kVersion.size()]) &&
                       aLine[kVersionSize] == ' ';
  if (!isHttp1) {
    Reject("the version is not HTTP/1");
    return;
  }
  aLine.remove_prefix(kVersionSize + 1);
  const std::string_view digits = aLine.substr(0, kStatusSize);
  aLine.remove_prefix(digits.size());
  int status = 0;
  const bool isNumber =
    digits.size() == kStatusSize &&
    std::all_of(digits.begin(), digits.end(), IsDigit) &&
    absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &status);
  const bool ends = aLine.empty() || aLine.front() == ' ';
  if (!isNumber || !ends || status < kMinStatus || status > kMaxStatus) {
    Reject("the status is not an HTTP status");
  } else if (status == kSwitchingProtocolsStatus) {
    Reject("the server switches protocols unasked");
  } else if (std::any_of(aLine.begin(), aLine.end(), IsControlCharacter)) {
    Reject("the status line has a control character");
  }
  m_interim = status < kMinFinalStatus;
}

void
ResponseHeadCheck::CheckField(std::string_view aLine)
{
  std::string error = FindFieldLineError(aLine);
  if (!error.empty()) {
    Reject(std::move(error));
    return;
  }
  if (m_part == Part::Trailers) {
    return;
  }
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = aLine.substr(colon + 1);
  if (EqualsIgnoreCase(name, "Content-Length")) {
    CheckLengths(value);
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    CheckCodings(value);
  }
}

void
ResponseHeadCheck::CheckLengths(std::string_view aValue)
{
  // The same length may be repeated (RFC 9110, section 8.6).
  ForEachElement(aValue, [this](std::string_view aLength) {
    std::uint64_t length = 0;
    const bool isNumber =
      std::all_of(aLength.begin(), aLength.end(), IsDigit) &&
      absl::SimpleAtoi(absl::string_view(aLength.data(), aLength.size()),
                       &length);
    if (!isNumber) {
      Reject("Content-Length is not a number");
    } else if (m_length.value_or(length) != length) {
      Reject("the lengths contradict each other");
    }
    m_length = length;
  });
}

void
ResponseHeadCheck::CheckCodings(std::string_view aValue)
{
  ForEachElement(aValue, [this](std::string_view aCoding) {
    if (aCoding.empty()) {
      return; // Recipients ignore empty elements (RFC 9110, section 5.6.1).
    }
    // "identity" is obsolete and changes nothing (RFC 2616, section 3.6).
    const bool isChunked = EqualsIgnoreCase(aCoding, "chunked");
    if (m_chunked || !(isChunked || EqualsIgnoreCase(aCoding, "identity"))) {
      Reject("the transfer coding is not chunked");
    }
    m_chunked = isChunked;
  });
}

void
ResponseHeadCheck::EndHead()
{
  if (m_chunked && m_length) {
    Reject("both Content-Length and Transfer-Encoding are given");
  }
  m_part = m_interim ? Part::StatusLine : Part::Trailers;
  m_length.reset();
  m_chunked = false;
}

void
ResponseHeadCheck::Reject(std::string aError)
{
  if (m_error.empty()) {
    m_error = std::move(aError);
  }
}

} // namespace sapphirelane
