#include "sapphirelane/store/http_client.h"

#include <string_view>

#include <absl/strings/ascii.h>
#include <curl/curl.h>

#include "sapphirelane/base/error.h"
#include "sapphirelane/wire/http_head.h"

namespace sapphirelane {

namespace {

class CurlClient : public HttpClient
{
public:
  CurlClient(std::string aAddress, Milliseconds aTimeout)
    : m_address(std::move(aAddress))
    , m_timeout(aTimeout)
    , m_easy(curl_easy_init())
  {
  }

  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  ~CurlClient() override { curl_easy_cleanup(m_easy); }

  HttpReply Call(const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 const std::vector<std::string>& aHeaders) override
  {
    ReplyReader reader;
    curl_easy_reset(m_easy);
    const std::string url = "http://" + m_address + aPath;
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(
      m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_timeout.count()));
    if (aMethod != "GET") {
      curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, aBody.c_str());
      curl_easy_setopt(m_easy,
                       CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(aBody.size()));
      // libcurl retries a request by itself if a reused connection fails, which
      // could run a write twice.
      curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, aMethod.c_str());
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &CurlClient::OnBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &reader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &CurlClient::OnHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, &reader);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : aHeaders) {
      headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, headers);
    const CURLcode code = curl_easy_perform(m_easy);
    curl_slist_free_all(headers);
    if (!reader.check.Error().empty()) {
      throw PlatformUnavailable(url + ": " + reader.check.Error());
    }
    if (code != CURLE_OK) {
      throw PlatformUnavailable(url + ": " + curl_easy_strerror(code));
    }
    if (!reader.check.IsComplete()) {
      throw PlatformUnavailable(url + ": the head is cut off");
    }
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    reader.reply.status = static_cast<int>(status);
    return std::move(reader.reply);
  }

private:
  /// A reply as it comes in.
  struct ReplyReader
  {
    HttpReply reply;
    ResponseHeadCheck check;
  };

  static std::size_t OnBody(char* aBytes,
                            std::size_t aItemSize,
                            std::size_t aItems,
                            void* aReader)
  {
    const std::size_t size = aItemSize * aItems;
    static_cast<ReplyReader*>(aReader)->reply.body.append(aBytes, size);
    return size;
  }

  /// Takes one line of a head, or a trailer.
  /// @return The size of the line; 0, which ends the call, if it is malformed.
  static std::size_t OnHeader(char* aBytes,
                              std::size_t aItemSize,
                              std::size_t aItems,
                              void* aReader)
  {
    const std::size_t size = aItemSize * aItems;
    const std::string line(aBytes, size);
    auto& reader = *static_cast<ReplyReader*>(aReader);
    const bool isField = reader.check.ExpectsField();
    reader.check.AddLine(line);
    if (!reader.check.Error().empty()) {
      return 0;
    }
    const std::size_t colon = line.find(':');
    if (isField && colon != std::string::npos) {
      reader.reply.headers[absl::AsciiStrToLower(line.substr(0, colon))] =
        std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    } else if (!isField && !reader.check.IsComplete()) {
      reader.reply.headers.clear(); // Those of an interim response.
    }
    return size;
  }

  std::string m_address;
  Milliseconds m_timeout;
  CURL* m_easy;
};

} // namespace

std::unique_ptr<HttpClient>
MakeHttpClient(const std::string& aAddress, Milliseconds aTimeout)
{
  return std::make_unique<CurlClient>(aAddress, aTimeout);
}

} // namespace sapphirelane
