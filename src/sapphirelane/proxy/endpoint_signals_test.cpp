#include "sapphirelane/proxy/endpoint_signals.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

TEST_CASE("ParseRetryAfter, seconds with or without a fraction, are read")
{
  CHECK(ParseRetryAfter("2") == Duration(std::chrono::seconds(2)));
  CHECK(ParseRetryAfter("0.25") == Duration(Milliseconds(250)));
  CHECK(ParseRetryAfter("0") == Duration(0));
}

TEST_CASE("ParseRetryAfter, absurdly long time, is cut")
{
  CHECK(ParseRetryAfter("1e300") == Duration(std::chrono::minutes(10)));
  CHECK(ParseRetryAfter("86400") == Duration(std::chrono::minutes(10)));
}

TEST_CASE("ParseRetryAfter, text that is no time, is malformed")
{
  for (const char* text : { "",
                            "soon",
                            "-1",
                            "nan",
                            "inf",
                            "1;2",
                            "1 2",
                            "Sat, 05 Dec 2026 03:00:00 GMT" }) {
    INFO(text);
    CHECK_FALSE(ParseRetryAfter(text));
  }
}

TEST_CASE("ReadSignals, all headers present, reads each")
{
  const HttpDialect dialect;
  const ResponseHead head{ 503,
                           { { "x-sapphirelane-load", "1/2" },
                             { "x-sapphirelane-leaving", "1" },
                             { "retry-after", "3" } },
                           std::nullopt };
  const EndpointSignals signals = ReadSignals(head, dialect);
  REQUIRE(signals.load);
  CHECK(signals.load->Share() == 0.5);
  CHECK(signals.leaving);
  CHECK(signals.retry_after == Duration(std::chrono::seconds(3)));
  CHECK(signals.malformed.empty());
}

TEST_CASE("ReadSignals, Retry-After of another status, is no request to stay "
          "away")
{
  const ResponseHead head{ 429, { { "Retry-After", "3" } }, std::nullopt };
  const EndpointSignals signals = ReadSignals(head, HttpDialect{});
  CHECK_FALSE(signals.retry_after);
  CHECK(signals.malformed.empty());
}

TEST_CASE("ReadSignals, malformed headers, are ignored and listed")
{
  const HttpDialect dialect;
  const ResponseHead head{ 503,
                           { { dialect.load, "many" },
                             { dialect.leaving, "yes" },
                             { "Retry-After", "soon" } },
                           std::nullopt };
  const EndpointSignals signals = ReadSignals(head, dialect);
  CHECK_FALSE(signals.load);
  CHECK_FALSE(signals.leaving);
  CHECK_FALSE(signals.retry_after);
  CHECK(signals.malformed == std::vector<std::string>{
                               dialect.load, dialect.leaving, "Retry-After" });
}

} // namespace
} // namespace sapphirelane
