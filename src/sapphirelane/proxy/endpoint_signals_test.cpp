#include "sapphirelane/proxy/endpoint_signals.h"

#include <catch2/catch.hpp>

#include "sapphirelane/config/fleet.h"

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

TEST_CASE("ParseLimit, decimal number, is read")
{
  CHECK(ParseLimit("2") == 2);
  CHECK(ParseLimit("1.6") == 1.6);
  CHECK(ParseLimit("0") == 0);
}

TEST_CASE("ParseLimit, text that is no limit, is malformed")
{
  for (const char* text : { "", "few", "-1", "nan", "inf", "1/s", "1 2" }) {
    INFO(text);
    CHECK_FALSE(ParseLimit(text));
  }
}

TEST_CASE("ReadSignals, limits that cannot be told or do not matter, are not "
          "read")
{
  const HttpDialect dialect;
  const auto read = [&](const Headers& aHeaders) {
    return ReadSignals({ 200, aHeaders, std::nullopt }, dialect);
  };
  const EndpointSignals none = read({});
  CHECK_FALSE(none.limit);
  CHECK_FALSE(none.limit_malformed);
  const EndpointSignals two =
    read({ { dialect.limit, "1" }, { dialect.limit, "2" } });
  CHECK_FALSE(two.limit);
  CHECK(two.limit_malformed);
  const EndpointSignals twice =
    read({ { dialect.limit, "1.5" }, { "x-sapphirelane-limit", "1.5" } });
  CHECK(twice.limit == 1.5);
  const EndpointSignals huge = read({ { dialect.limit, "1e300" } });
  CHECK_FALSE(huge.limit);
  CHECK_FALSE(huge.limit_malformed);
}

TEST_CASE("ReadSignals, all headers present, reads each")
{
  const HttpDialect dialect;
  const ResponseHead head{ 503,
                           { { "x-sapphirelane-load", "1/2" },
                             { "x-sapphirelane-limit", "1.6" },
                             { "x-sapphirelane-leaving", "1" },
                             { "retry-after", "3" } },
                           std::nullopt };
  const EndpointSignals signals = ReadSignals(head, dialect);
  REQUIRE(signals.load);
  CHECK(signals.load->Share() == 0.5);
  CHECK(signals.leaving);
  CHECK(signals.limit == 1.6);
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
                             { dialect.limit, "-1" },
                             { "Retry-After", "soon" } },
                           std::nullopt };
  const EndpointSignals signals = ReadSignals(head, dialect);
  CHECK_FALSE(signals.load);
  CHECK_FALSE(signals.leaving);
  CHECK_FALSE(signals.retry_after);
  CHECK_FALSE(signals.limit);
  CHECK(signals.limit_malformed);
  CHECK(signals.malformed ==
        std::vector<std::string>{
          dialect.load, dialect.leaving, dialect.limit, "Retry-After" });
}

TEST_CASE("ReadSignals, cold times, are read if plausible and listed if not")
{
  const HttpDialect dialect;
  const auto read = [&](std::vector<Header> aHeaders) {
    return ReadSignals({ 200, std::move(aHeaders), std::nullopt }, dialect);
  };
  CHECK(read({ { dialect.cold, "1500" } }).cold == Milliseconds(1500));
  CHECK(read({ { dialect.cold, "0" } }).cold == Duration(0));
  CHECK(read({ { dialect.cold, "600000" } }).cold == kMaxColdTime);
  CHECK_FALSE(read({}).cold);
  for (const char* text : { "-1", "600001", "1e300", "nan", "soon", "" }) {
    INFO(text);
    const EndpointSignals signals = read({ { dialect.cold, text } });
    CHECK_FALSE(signals.cold);
    CHECK(signals.malformed == std::vector<std::string>{ dialect.cold });
  }
  CHECK_FALSE(read({ { dialect.cold, "10" }, { dialect.cold, "20" } }).cold);
}

} // namespace
} // namespace sapphirelane
