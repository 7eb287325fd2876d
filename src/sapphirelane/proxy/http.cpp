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

constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr std::uint32_t kMaxDeadlineMs = 600000;

const std::set<std::string> kHopByHop = {
  "connection",       "keep-alive",          "proxy-authenticate",
  "proxy-connection", "proxy-authorization", "te",
  "trailer",          "transfer-encoding",   "upgrade"
};

/// Names of headers that the daemon sets or consumes, in lower case.
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
ConnectionHeaderNames(const Headers& aHeaders)
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
RemoveHopByHopHeaders(const Headers& aHeaders)
{
  const std::set<std::string> connectionNames = ConnectionHeaderNames(aHeaders);
  Headers kept;
  for (const Header& header : aHeaders) {
    const std::string name = absl::AsciiStrToLower(header.first);
    if (kHopByHop.count(name) == 0 && connectionNames.count(name) == 0) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::vector<std::string>
HeaderValues(const Headers& aHeaders, const std::string& aName)
{
  std::vector<std::string> values;
  for (const Header& header : aHeaders) {
    if (absl::EqualsIgnoreCase(header.first, aName)) {
      values.push_back(header.second);
    }
  }
  return values;
}

/// Validates one request head and collects the result.
class RequestHeadValidator
{
public:
  RequestHeadValidator(const RequestHead& aRequest, const HttpDialect& aDialect)
    : m_request(aRequest)
    , m_dialect(aDialect)
  {
  }

  CheckedHead Validate()
  {
    m_result.path = m_request.target.substr(0, m_request.target.find('?'));
    CheckFraming();
    ParseHost();
    ParseRequestId();
    ParseKey();
    ParseDeadline();
    ParseIdempotencyKey();
    const std::set<std::string> consumedNames = ConsumedHeaders(m_dialect);
    for (const Header& header : RemoveHopByHopHeaders(m_request.headers)) {
      if (consumedNames.count(absl::AsciiStrToLower(header.first)) == 0) {
        m_result.forward.push_back(header);
      }
    }
    RejectMisplacedKeys();
    return m_result;
  }

private:
  void Reject(const std::string& aError)
  {
    if (m_result.fault.empty()) {
      m_result.fault = aError;
    }
  }

  void CheckFraming()
  {
    const auto lengths = HeaderValues(m_request.headers, "content-length");
    const auto encodings = HeaderValues(m_request.headers, "transfer-encoding");
    if (!lengths.empty() && !encodings.empty()) {
      Reject("both Content-Length and Transfer-Encoding are given");
    }
    if (lengths.size() > 1) {
      Reject("Content-Length is given more than once");
    }
    if (encodings.size() > 1 ||
        (encodings.size() == 1 &&
         !absl::EqualsIgnoreCase(encodings[0], "chunked"))) {
      Reject("Transfer-Encoding is not chunked");
    }
    if (!lengths.empty()) {
      std::uint64_t length = 0;
      const bool allDigits =
        lengths[0].find_first_not_of("0123456789") == std::string::npos;
      if (!allDigits || !absl::SimpleAtoi(lengths[0], &length)) {
        Reject("Content-Length is not a number");
      }
      m_result.length = length;
    }
    m_result.has_body = !encodings.empty() || m_result.length.value_or(0) > 0;
    if (m_request.target.empty() || m_request.target[0] != '/') {
      Reject("the target is not a path");
    }
    const std::set<std::string> methods = { "GET",    "HEAD",  "POST",   "PUT",
                                            "DELETE", "PATCH", "OPTIONS" };
    if (methods.count(m_request.method) == 0) {
      Reject("method " + m_request.method + " is not supported");
    }
  }

  void ParseHost()
  {
    const auto hosts = HeaderValues(m_request.headers, "host");
    if (hosts.size() > 1) {
      Reject("Host is given more than once");
    }
    if (!hosts.empty()) {
      const std::string& host = hosts.front();
      m_result.host = absl::AsciiStrToLower(host.substr(0, host.find(':')));
    }
  }

  void ParseRequestId()
  {
    if (!m_dialect.caller_names_requests) {
      return;
    }
    const auto ids = HeaderValues(m_request.headers, m_dialect.request_id);
    if (ids.size() > 1) {
      Reject(m_dialect.request_id + " is given more than once");
    }
    if (!ids.empty()) {
      m_result.request_id = ids.front();
    }
  }

  std::vector<std::string> PresentedKeys()
  {
    if (!m_dialect.key.empty()) {
      return HeaderValues(m_request.headers, m_dialect.key);
    }
    std::vector<std::string> keys =
      HeaderValues(m_request.headers, "x-api-key");
    for (const std::string& value :
         HeaderValues(m_request.headers, "authorization")) {
      constexpr absl::string_view kScheme = "bearer ";
      if (!absl::StartsWithIgnoreCase(value, kScheme)) {
        Reject("Authorization is not a bearer key");
        continue;
      }
      keys.push_back(value.substr(kScheme.size()));
    }
    return keys;
  }

  void ParseKey()
  {
    const std::vector<std::string> keys = PresentedKeys();
    if (keys.size() > 1) {
      Reject("more than one key is given");
    }
    if (!keys.empty()) {
      m_result.key_digest = DigestOf(keys.front());
      m_key = keys.front();
    }
  }

  void ParseDeadline()
  {
    const auto values = HeaderValues(m_request.headers, m_dialect.deadline);
    if (values.empty()) {
      return;
    }
    std::uint32_t number = 0;
    const bool valid = values.size() == 1 &&
                       absl::SimpleAtoi(values[0], &number) && number > 0 &&
                       number <= kMaxDeadlineMs;
    if (!valid) {
      Reject(m_dialect.deadline + " is not a whole number from 1 to 600000");
      return;
    }
    m_result.deadline = Milliseconds(number);
  }

  void ParseIdempotencyKey()
  {
    if (m_dialect.idempotency.empty()) {
      return;
    }
    const auto values = HeaderValues(m_request.headers, m_dialect.idempotency);
    if (values.empty()) {
      return;
    }
    const std::string& key = values.front();
    const bool printable =
      std::all_of(key.begin(), key.end(), [](unsigned char aCharacter) {
        return absl::ascii_isgraph(aCharacter);
      });
    if (values.size() > 1 || key.empty() ||
        key.size() > kMaxIdempotencyKeyBytes || !printable) {
      Reject(m_dialect.idempotency +
             " is not one word of 1 to 128 printable characters");
      return;
    }
    m_result.idempotency = key;
  }

  /// Rejects a key outside its header, where it would reach an upstream.
  void RejectMisplacedKeys()
  {
    const auto containsKey = [this](const std::string& aText) {
      return HoldsKey(aText) ||
             (!m_key.empty() && aText.find(m_key) != std::string::npos);
    };
    if (containsKey(m_request.target)) {
      Reject("the target holds a key");
    }
    for (const Header& header : m_result.forward) {
      if (containsKey(header.first) || containsKey(header.second)) {
        Reject("a key stands outside its header");
      }
    }
  }

  const RequestHead& m_request;
  const HttpDialect& m_dialect;
  CheckedHead m_result;
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
  return RequestHeadValidator(aRequest, aDialect).Validate();
}

Headers
AnswerHeaders(const Headers& aHeaders, const HttpDialect& aDialect)
{
  Headers kept;
  for (const Header& header : RemoveHopByHopHeaders(aHeaders)) {
    const bool isOwnId =
      !aDialect.caller_names_requests &&
      absl::EqualsIgnoreCase(header.first, aDialect.request_id);
    const bool dropped =
      isOwnId || absl::EqualsIgnoreCase(header.first, "content-length") ||
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
  const bool otherEndpoint = aDialect.other_endpoint_status != 0 &&
                             aHead.status == aDialect.other_endpoint_status;
  if (otherEndpoint) {
    return true;
  }
  const bool statusMatches =
    aDialect.not_run_status == 0 || aHead.status == aDialect.not_run_status;
  const std::string* value = FindHeader(aHead.headers, aDialect.not_run);
  return statusMatches && value != nullptr &&
         (aDialect.not_run_value.empty() || *value == aDialect.not_run_value);
}

} // namespace sapphirelane
