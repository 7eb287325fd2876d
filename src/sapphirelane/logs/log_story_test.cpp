#include "sapphirelane/logs/log_story.h"

#include <rapidcheck/catch.h>

#include "sapphirelane/base/log.h"

namespace sapphirelane {
namespace {

class LogStoryFixture
{
protected:
  void Add(const std::string& aLine, const std::string& aHost = "h1")
  {
    const auto entry = ParseLogLine(aLine, aHost);
    REQUIRE(entry);
    m_entries.push_back(*entry);
  }

  static std::string At(int aSecond)
  {
    return "2026-12-04T13:28:0" + std::to_string(aSecond) + ".000000Z ";
  }

  std::vector<LogEntry> m_entries;
};

TEST_CASE_METHOD(LogStoryFixture,
                 "ParseLogLine, line of a collector, gives host, part and "
                 "fields")
{
  const auto entry = ParseLogLine(
    "0.322 tac-2 " + At(1) +
      R"([route] The attempt failed. request=a1 error="no answer \"x\"" n=2)",
    "?");
  REQUIRE(entry);
  CHECK(entry->host == "tac-2");
  CHECK(entry->part == "route");
  CHECK(entry->sentence == "The attempt failed.");
  CHECK(entry->Field("error") == "no answer \"x\"");
  CHECK(entry->Field("n") == "2");
  CHECK_FALSE(ParseLogLine("no line of a daemon", "?"));
  CHECK_FALSE(ParseLogLine("", "?"));
}

TEST_CASE_METHOD(LogStoryFixture,
                 "ParseLogLine, any fields that were written, reads them back")
{
  rc::prop("what LogFields writes is read", [](const std::string& aValue) {
    const std::string cut = aValue.substr(0, 200);
    const std::string line = "2026-12-04T13:28:01.000000Z [a] Text." +
                             LogFields().Add("x", cut).Add("y", 7).Text();
    const auto entry = ParseLogLine(line, "h");
    RC_ASSERT(entry.has_value());
    RC_ASSERT(entry->Field("x") == cut);
    RC_ASSERT(entry->Field("y") == "7");
    RC_ASSERT(entry->sentence == "Text.");
  });
}

TEST_CASE_METHOD(LogStoryFixture,
                 "StoryOfRequest, lines of several hosts, gives its own and "
                 "what its host believed")
{
  Add(At(1) + "[view] The view has changed. config=3");
  Add(At(1) + "[view] The view has changed. config=9", "h2");
  Add(At(2) + "[health] An endpoint's standing has changed. endpoint=e1 "
              "standing=out");
  Add(At(2) + "[health] An endpoint's standing has changed. endpoint=e2 "
              "standing=out");
  Add(At(4) + "[admit] The request is refused. request=r1 reason=broken-off");
  Add(At(3) + "[route] The request goes to an endpoint. request=r1 "
              "endpoint=e1");
  Add(At(3) + "[route] The request goes to an endpoint. request=r2 "
              "endpoint=e2");
  const auto story = StoryOfRequest(m_entries, "r1");
  REQUIRE(story.size() == 4);
  CHECK(story[0].Field("config") == "3");
  CHECK(story[1].Field("endpoint") == "e1");
  CHECK(story[2].part == "route");
  CHECK(story[3].Field("reason") == "broken-off");
  CHECK(StoryOfRequest(m_entries, "r9").empty());
}

TEST_CASE_METHOD(LogStoryFixture,
                 "StoryOfEndpoint, StoryOfAccount, leave out what went well")
{
  Add(At(1) + "[peers] Daemons that live have changed. live=2 "
              "quota_share=0.500");
  Add(At(2) + "[answer] The request is answered. request=r1 account=a "
              "endpoint=e1");
  Add(At(3) + "[route] The endpoint failed the request. request=r2 account=a "
              "endpoint=e1 status=500");
  Add(At(4) + "[admit] The request is refused. request=r3 account=a "
              "reason=rate");
  CHECK(StoryOfEndpoint(m_entries, "e1").size() == 1);
  const auto account = StoryOfAccount(m_entries, "a");
  REQUIRE(account.size() == 2);
  CHECK(account[1].Field("reason") == "rate");
}

} // namespace
} // namespace sapphirelane
