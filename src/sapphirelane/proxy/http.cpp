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

/// Headers that the daemon sets itself or consumes, in lower case.
std::set<std::string>
ConsumedHeaders(const HttpDialect& aDialect)
{
  std::set<std::string> names = { "host", "content-length", "expect" };
  for (const std::string& name : { aDialect.account,
                                   aDialect.deadline,
                                   aDialect.outcome,
                                   aDialect.expected_endpoint,
                                   aDialect.key }) {
    names.insert(absl::AsciiStrToLower(name));
  }
  if (!aDialect.caller_names_requests) {
    names.insert(absl::AsciiStrToLower(aDialect.request_id));
  }
  if (aDialect.key.empty()) {
    names.insert("authorization");
    names.insert("x-api-key");
  }
  return names;
}

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
  HeadChecker(const RequestHead& aRequest, const HttpDialect& aDialect)
    : m_request(aRequest)
    , m_dialect(aDialect)
  {
  }

  CheckedHead Check()
  {
    m_checked.path = m_request.target.substr(0, m_request.target.find('?'));
    CheckFraming();
    TakeHost();
    TakeRequestId();
    TakeKey();
    TakeDeadline();
    TakeIdempotencyKey();
    const std::set<std::string> consumed = ConsumedHeaders(m_dialect);
    for (const Header& header : WithoutHopByHop(m_request.headers)) {
      if (consumed.count(absl::AsciiStrToLower(header.first)) == 0) {
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

  void TakeHost()
  {
    const auto hosts = ValuesOf(m_request.headers, "host");
    if (hosts.size() > 1) {
      Refuse("Host is given more than once");
    }
    if (!hosts.empty()) {
      const std::string& host = hosts.front();
      m_checked.host = absl::AsciiStrToLower(host.substr(0, host.find(':')));
    }
  }

  void TakeRequestId()
  {
    if (!m_dialect.caller_names_requests) {
      return;
    }
    const auto ids = ValuesOf(m_request.headers, m_dialect.request_id);
    if (ids.size() > 1) {
      Refuse(m_dialect.request_id + " is given more than once");
    }
    if (!ids.empty()) {
      m_checked.request_id = ids.front();
    }
  }

  std::vector<std::string> PresentedKeys()
  {
    if (!m_dialect.key.empty()) {
      return ValuesOf(m_request.headers, m_dialect.key);
    }
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
    return keys;
  }

  void TakeKey()
  {
    const std::vector<std::string> keys = PresentedKeys();
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
    const auto values = ValuesOf(m_request.headers, m_dialect.deadline);
    if (values.empty()) {
      return;
    }
    std::uint32_t number = 0;
    const bool valid = values.size() == 1 &&
                       absl::SimpleAtoi(values[0], &number) && number > 0 &&
                       number <= kMostDeadlineMs;
    if (!valid) {
      Refuse(m_dialect.deadline + " is not a whole number from 1 to 600000");
      return;
    }
    m_checked.deadline = Milliseconds(number);
  }

  void TakeIdempotencyKey()
  {
    if (m_dialect.idempotency.empty()) {
      return;
    }
    const auto values = ValuesOf(m_request.headers, m_dialect.idempotency);
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
      Refuse(m_dialect.idempotency +
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
  const HttpDialect& m_dialect;
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
CheckHead(const RequestHead& aRequest, const HttpDialect& aDialect)
{
  return HeadChecker(aRequest, aDialect).Check();
}

Headers
AnswerHeaders(const Headers& aHeaders, const HttpDialect& aDialect)
{
  Headers kept;
  for (const Header& header : WithoutHopByHop(aHeaders)) {
    const bool dropped =
      absl::EqualsIgnoreCase(header.first, "content-length") ||
      absl::EqualsIgnoreCase(header.first, aDialect.outcome) ||
      absl::EqualsIgnoreCase(header.first, aDialect.load);
    if (!dropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

bool
SaysNotRun(const ResponseHead& aHead, const HttpDialect& aDialect)
{
  const bool other = aDialect.other_endpoint_status != 0 &&
                     aHead.status == aDialect.other_endpoint_status;
  if (other) {
    return true;
  }
  const bool status =
    aDialect.not_run_status == 0 || aHead.status == aDialect.not_run_status;
  const std::string* value = FindHeader(aHead.headers, aDialect.not_run);
  return status && value != nullptr &&
         (aDialect.not_run_value.empty() || *value == aDialect.not_run_value);
}

} // namespace sapphirelane
