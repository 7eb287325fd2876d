/// Answers of endpoints and of the store: what is accepted is an HTTP/1
/// response whose lines, status and framing hold to the rule, however its bytes
/// are cut into reads.
#include <algorithm>
#include <limits>
#include <optional>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include "sapphirelane/proxy/message_parser.h"
#include "sapphirelane/wire/http_head.h"

namespace sapphirelane {
namespace {

constexpr std::size_t kMaxHeadBytes = 65536;

void
Require(bool aCondition)
{
  if (!aCondition) {
    __builtin_trap();
  }
}

struct Answer
{
  MessageHead head;
  std::string body;
  bool complete = false;

  bool operator==(const Answer& aOther) const
  {
    return head.status == aOther.head.status &&
           head.headers == aOther.head.headers && body == aOther.body &&
           complete == aOther.complete;
  }
};

/// Parses an answer as the upstream client does, in reads of a size.
/// @return Nothing if it is refused.
std::optional<Answer>
Parse(std::string_view aBytes, std::size_t aReadSize)
{
  const HeadScanResult scan = ScanHead(aBytes, HttpMessage::Response);
  if (scan.size == 0 || !scan.error.empty()) {
    return std::nullopt;
  }
  ResponseParser parser(kMaxHeadBytes);
  parser.header_limit(static_cast<std::uint32_t>(scan.size + 1));
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  Answer answer;
  std::string waiting;
  // The head is parsed once all of it is there.
  std::size_t next = scan.size;
  std::size_t at = 0;
  while (!parser.is_done() && at < aBytes.size()) {
    waiting += aBytes.substr(at, next);
    at += std::min(next, aBytes.size() - at);
    next = aReadSize;
    std::size_t used = 1;
    while (used > 0 && !waiting.empty() && !parser.is_done()) {
      boost::system::error_code error;
      used = parser.put(boost::asio::buffer(waiting), error);
      waiting.erase(0, used);
      answer.body += parser.TakeBody();
      if (error && error != boost::beast::http::error::need_more) {
        return std::nullopt;
      }
    }
  }
  answer.head = parser.Head();
  answer.complete = parser.is_done();
  return answer;
}

void
CheckHeaders(const MessageHead& aHead)
{
  bool hasLength = false;
  bool isChunked = false;
  for (const Header& header : aHead.headers) {
    const std::string& name = header.first;
    Require(!name.empty() &&
            std::all_of(name.begin(), name.end(), [](char aCharacter) {
              constexpr std::string_view kSeparators = "\"(),/:;<=>?@[\\]{}";
              return absl::ascii_isgraph(
                       static_cast<unsigned char>(aCharacter)) &&
                     kSeparators.find(aCharacter) == std::string_view::npos;
            }));
    const std::string& value = header.second;
    Require(std::none_of(value.begin(), value.end(), [](unsigned char aByte) {
      return aByte != '\t' && absl::ascii_iscntrl(aByte);
    }));
    hasLength = hasLength || absl::EqualsIgnoreCase(name, "content-length");
    const std::string coding = absl::AsciiStrToLower(value);
    const bool encodes = absl::EqualsIgnoreCase(name, "transfer-encoding");
    isChunked = isChunked || (encodes && absl::StrContains(coding, "chunked"));
    Require(!encodes || !absl::StrContains(coding, "gzip"));
  }
  Require(!(hasLength && isChunked));
}

/// Whether a reader that gets the head in lines, as from libcurl, accepts it.
bool
AcceptsLines(std::string_view aHead)
{
  ResponseHeadCheck check;
  while (!aHead.empty()) {
    const std::size_t size = std::min(aHead.find('\n'), aHead.size() - 1) + 1;
    check.AddLine(aHead.substr(0, size));
    aHead.remove_prefix(size);
  }
  return check.Error().empty();
}

} // namespace
} // namespace sapphirelane

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  const std::string_view bytes(reinterpret_cast<const char*>(aBytes), aSize);
  const HeadScanResult scan = ScanHead(bytes, HttpMessage::Response);
  if (scan.size > 0) {
    Require(AcceptsLines(bytes.substr(0, scan.size)) == scan.error.empty());
  }
  const std::optional<Answer> whole = Parse(bytes, bytes.size());
  const std::optional<Answer> pieces = Parse(bytes, 1);
  Require(whole == pieces);
  if (whole) {
    const int status = whole->head.status;
    Require(status >= 100 && status <= 599 && status != 101);
    CheckHeaders(whole->head);
  }
  return 0;
}
