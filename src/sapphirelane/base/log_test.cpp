#include "sapphirelane/base/log.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class LogFixture
{
protected:
  LogFixture()
  {
    SetLogSink([this](const std::string& aLine) { m_line = aLine; });
  }

  ~LogFixture() { SetLogSink(nullptr); }

  std::string m_line;
};

TEST_CASE_METHOD(LogFixture, "LogLine, fields of any kind, are name=value")
{
  LogLine("route",
          "A request goes out.",
          LogFields()
            .Add("request", "a1")
            .Add("attempt", std::uint32_t{ 2 })
            .Add("failure", 0.25)
            .Add("left_ms", Duration(Milliseconds(1500)))
            .Add("age_ms", Duration::max()));
  CHECK(m_line == "[route] A request goes out. request=a1 attempt=2 "
                  "failure=0.250 left_ms=1500 age_ms=unknown");
}

TEST_CASE_METHOD(LogFixture,
                 "LogFields, value that could break a line, is escaped")
{
  LogFields fields;
  fields.Add("request", "a\n[admit] b=\"c\"").Add("none", "");
  CHECK(fields.Text() == R"( request="a\n[admit] b=\"c\"" none="")");
  LogFields large;
  large.Add("request", std::string(5000, 'x'));
  CHECK(large.Text().size() < 300);
}

} // namespace
} // namespace sapphirelane
