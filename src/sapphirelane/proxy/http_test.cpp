#include "sapphirelane/proxy/http.h"

#include <rapidcheck/catch.h>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/secret.h"

namespace sapphirelane {
namespace {

class RequestHeadFixture
{
protected:
  RequestHeadFixture() { StartSecrets(); }

  static CheckedHead Check(const Headers& aHeaders,
                           const std::string& aTarget = "/a?b=c",
                           const std::string& aMethod = "GET")
  {
    RequestHead head;
    head.method = aMethod;
    head.target = aTarget;
    head.headers = aHeaders;
    return CheckHead(head, {});
  }
};

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, key in its header, removes it")
{
  const std::string key = MakeKey();
  const CheckedHead head =
    Check({ { "Authorization", "Bearer " + key }, { "Accept", "text/plain" } });
  CHECK(head.fault.empty());
  CHECK(head.key_digest == DigestOf(key));
  CHECK(head.forward == Headers{ { "Accept", "text/plain" } });
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, key outside its header, is an error")
{
  const std::string key = MakeKey();
  const Header keyHeader{ "X-Api-Key", key };
  CHECK_FALSE(Check({ keyHeader, { "X-Note", "see " + key } }).fault.empty());
  CHECK_FALSE(Check({ keyHeader }, "/a?key=" + key).fault.empty());
  CHECK_FALSE(Check({}, "/a/" + key).fault.empty());
  std::string encoded = "%73lk_" + key.substr(4);
  CHECK_FALSE(Check({}, "/a?key=" + encoded).fault.empty());
  CHECK_FALSE(Check({ { "Cookie", key } }).fault.empty());
  CHECK_FALSE(
    Check({ keyHeader, { "Authorization", "Bearer " + key } }).fault.empty());
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, key in any header, is not forwarded")
{
  rc::prop("no forwarded header holds the key", [] {
    const std::string key = MakeKey();
    const auto name = *rc::gen::element<std::string>("Authorization",
                                                     "X-Api-Key",
                                                     "x-api-key",
                                                     "Proxy-Authorization",
                                                     "Cookie",
                                                     "Referer",
                                                     "X-Other");
    const auto before = *rc::gen::element<std::string>("", "Bearer ", "a=");
    const CheckedHead head =
      Check({ { name, before + key }, { "X-Api-Key", key } });
    for (const Header& header : head.forward) {
      RC_ASSERT(!head.fault.empty() ||
                header.second.find(key) == std::string::npos);
    }
  });
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, conflicting framing, is an error")
{
  CHECK_FALSE(
    Check({ { "Content-Length", "5" }, { "Transfer-Encoding", "chunked" } })
      .fault.empty());
  CHECK_FALSE(Check({ { "Content-Length", "5" }, { "content-length", "5" } })
                .fault.empty());
  CHECK_FALSE(Check({ { "Content-Length", "+5" } }).fault.empty());
  CHECK_FALSE(Check({ { "Content-Length", "5, 6" } }).fault.empty());
  CHECK_FALSE(
    Check({ { "Transfer-Encoding", "gzip, chunked" } }).fault.empty());
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, hop-by-hop headers, removes them")
{
  const CheckedHead head = Check({ { "Connection", "close, X-Hop" },
                                   { "X-Hop", "1" },
                                   { "TE", "trailers" },
                                   { "Upgrade", "h2c" },
                                   { "X-End", "1" } });
  CHECK(head.forward == Headers{ { "X-End", "1" } });
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, forged account header, removes it")
{
  CHECK(Check({ { HttpDialect{}.account, "other" } }).forward.empty());
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, malformed deadline, is an error")
{
  CHECK(Check({ { HttpDialect{}.deadline, "250" } }).deadline ==
        Milliseconds(250));
  for (const char* text : { "0", "-1", "x", "600001", "" }) {
    CHECK_FALSE(Check({ { HttpDialect{}.deadline, text } }).fault.empty());
  }
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ValidateRequestHead, malformed idempotency key, is an error")
{
  CHECK(Check({ { HttpDialect{}.idempotency, "abc" } }).idempotency == "abc");
  CHECK_FALSE(Check({ { HttpDialect{}.idempotency, "a b" } }).fault.empty());
  CHECK_FALSE(Check({ { HttpDialect{}.idempotency, std::string(129, 'a') } })
                .fault.empty());
}

TEST_CASE_METHOD(RequestHeadFixture,
                 "ParseLoad, malformed reports, returns nothing")
{
  CHECK(ParseLoad("1/2", LoadFormat::UsedOfSlots)->Share() == 0.5);
  for (const char* text : { "1", "1/0", "a/b", "1/2/3", "" }) {
    CHECK_FALSE(ParseLoad(text, LoadFormat::UsedOfSlots));
  }
}

} // namespace
} // namespace sapphirelane
