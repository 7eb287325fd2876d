#include "sapphirelane/proxy/http.h"

#include <algorithm>
#include <set>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/secret.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kMostIdempotencyKey = 128;
constexpr std::uint32_t kMostDeadlineMs = 600000;

const std::set<std::string> kHopByHop = {
  "connection",       "keep-alive",          "proxy-authenticate",
  "proxy-connection", "proxy-authorization", "te",
  "trailer",          "transfer-encoding",   "upgrade"
};

/// Headers that the daemon sets itself or consumes.
const std::set<std::string> kConsumed = { "authorization",
                                          "x-api-key",
                                          "host",
                                          "content-length",
                                          "expect",
                                          "x-sapphirelane-account",
                                          "x-sapphirelane-request",
                                          "x-sapphirelane-deadline-ms",
                                          "x-sapphirelane-outcome" };

std::set<std::string>
NamedByConnection(const Headers& aHeaders)
{
  std::set<std::string> names;
  for (const Header& header : aHeaders) {
    if (!absl::EqualsIgnoreCase(header.first, "connection")) {
      continue;
    }
    for (absl::string_view name : absl::StrSplit(header.second, ',')) {
      names.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
    }
  }
  return names;
}

Headers
WithoutHopByHop(const Headers& aHeaders)
{
  const std::set<std::string> named = NamedByConnection(aHeaders);
  Headers kept;
  for (const Header& header : aHeaders) {
    const std::string name = absl::AsciiStrToLower(header.first);
    if (kHopByHop.count(name) == 0 && named.count(name) == 0) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::vector<std::string>
ValuesOf(const Headers& aHeaders, const std::string& aName)
{
  std::vector<std::string> values;
  for (const Header& header : aHeaders) {
    if (absl::EqualsIgnoreCase(header.first, aName)) {
      values.push_back(header.second);
    }
  }
  return values;
}

/// Checks one head and fills in what is left of it.
class HeadChecker
{
public:
  explicit HeadChecker(const RequestHead& aRequest)
    : m_request(aRequest)
  {
  }

  CheckedHead Check()
  {
    m_checked.path = m_request.target.substr(0, m_request.target.find('?'));
    CheckFraming();
    TakeKey();
    TakeDeadline();
    TakeIdempotencyKey();
    for (const Header& header : WithoutHopByHop(m_request.headers)) {
      if (kConsumed.count(absl::AsciiStrToLower(header.first)) == 0) {
        m_checked.forward.push_back(header);
      }
    }
    RefuseStrayKeys();
    return m_checked;
  }

private:
  void Refuse(const std::string& aFault)
  {
    if (m_checked.fault.empty()) {
      m_checked.fault = aFault;
    }
  }

  void CheckFraming()
  {
    const auto lengths = ValuesOf(m_request.headers, "content-length");
    const auto encodings = ValuesOf(m_request.headers, "transfer-encoding");
    if (!lengths.empty() && !encodings.empty()) {
      Refuse("both Content-Length and Transfer-Encoding are given");
    }
    if (lengths.size() > 1) {
      Refuse("Content-Length is given more than once");
    }
    if (encodings.size() > 1 ||
        (encodings.size() == 1 &&
         !absl::EqualsIgnoreCase(encodings[0], "chunked"))) {
      Refuse("Transfer-Encoding is not chunked");
    }
    if (!lengths.empty()) {
      std::uint64_t length = 0;
      const bool digits =
        lengths[0].find_first_not_of("0123456789") == std::string::npos;
      if (!digits || !absl::SimpleAtoi(lengths[0], &length)) {
        Refuse("Content-Length is not a number");
      }
      m_checked.length = length;
    }
    m_checked.has_body = !encodings.empty() || m_checked.length.value_or(0) > 0;
    if (m_request.target.empty() || m_request.target[0] != '/') {
      Refuse("the target is not a path");
    }
    const std::set<std::string> methods = { "GET",    "HEAD",  "POST",   "PUT",
                                            "DELETE", "PATCH", "OPTIONS" };
    if (methods.count(m_request.method) == 0) {
      Refuse("method " + m_request.method + " is not supported");
    }
  }

  void TakeKey()
  {
    std::vector<std::string> keys = ValuesOf(m_request.headers, "x-api-key");
    for (const std::string& value :
         ValuesOf(m_request.headers, "authorization")) {
      constexpr absl::string_view kScheme = "bearer ";
      if (!absl::StartsWithIgnoreCase(value, kScheme)) {
        Refuse("Authorization is not a bearer key");
        continue;
      }
      keys.push_back(value.substr(kScheme.size()));
    }
    if (keys.size() > 1) {
      Refuse("more than one key is given");
    }
    if (!keys.empty()) {
      m_checked.key_digest = DigestOf(keys.front());
      m_key = keys.front();
    }
  }

  void TakeDeadline()
  {
    const auto values = ValuesOf(m_request.headers, kDeadlineHeader);
    if (values.empty()) {
      return;
    }
    std::uint32_t number = 0;
    const bool valid = values.size() == 1 &&
                       absl::SimpleAtoi(values[0], &number) && number > 0 &&
                       number <= kMostDeadlineMs;
    if (!valid) {
      Refuse(std::string(kDeadlineHeader) +
             " is not a whole number from 1 to 600000");
      return;
    }
    m_checked.deadline = Milliseconds(number);
  }

  void TakeIdempotencyKey()
  {
    const auto values = ValuesOf(m_request.headers, kIdempotencyHeader);
    if (values.empty()) {
      return;
    }
    const std::string& key = values.front();
    const bool printable =
      std::all_of(key.begin(), key.end(), [](unsigned char aCharacter) {
        return absl::ascii_isgraph(aCharacter);
      });
    if (values.size() > 1 || key.empty() || key.size() > kMostIdempotencyKey ||
        !printable) {
      Refuse(std::string(kIdempotencyHeader) +
             " is not one word of 1 to 128 printable characters");
      return;
    }
    m_checked.idempotency = key;
  }

  /// A key may not reach an upstream by any other way than its header.
  void RefuseStrayKeys()
  {
    const auto stray = [this](const std::string& aText) {
      return HoldsKey(aText) ||
             (!m_key.empty() && aText.find(m_key) != std::string::npos);
    };
    if (stray(m_request.target)) {
      Refuse("the target holds a key");
    }
    for (const Header& header : m_checked.forward) {
      if (stray(header.first) || stray(header.second)) {
        Refuse("a key stands outside its header");
      }
    }
  }

  const RequestHead& m_request;
  CheckedHead m_checked;
  std::string m_key;
};

} // namespace

const std::string*
FindHeader(const Headers& aHeaders, const std::string& aName)
{
  for (const Header& header : aHeaders) {
    if (absl::EqualsIgnoreCase(header.first, aName)) {
      return &header.second;
    }
  }
  return nullptr;
}

CheckedHead
CheckHead(const RequestHead& aRequest)
{
  return HeadChecker(aRequest).Check();
}

Headers
AnswerHeaders(const Headers& aHeaders)
{
  Headers kept;
  for (const Header& header : WithoutHopByHop(aHeaders)) {
    const std::string name = absl::AsciiStrToLower(header.first);
    if (name != "content-length" && name != "x-sapphirelane-outcome") {
      kept.push_back(header);
    }
  }
  return kept;
}

std::optional<double>
ParseLoad(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '/');
  std::uint32_t used = 0;
  std::uint32_t slots = 0;
  const bool valid = parts.size() == 2 && absl::SimpleAtoi(parts[0], &used) &&
                     absl::SimpleAtoi(parts[1], &slots) && slots > 0;
  if (!valid) {
    return std::nullopt;
  }
  return static_cast<double>(used) / slots;
}

} // namespace sapphirelane
