#include "sapphirelane/config/settings.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "sapphirelane/base/error.h"

namespace sapphirelane {
namespace {

class SettingsFixture
{
protected:
  SettingsFixture()
    : m_file("/tmp/sapphirelane-settings-test-" + std::to_string(getpid()))
  {
  }

  ~SettingsFixture() { std::remove(m_file.c_str()); }

  EntrySettings Load(const std::string& aMore)
  {
    std::ofstream(m_file) << "host: h1\n"
                             "data_centre: dc1\n"
                             "platform: { address: 127.0.0.1:9200 }\n"
                             "fleet_secret: 0123456789abcdef\n"
                             "operator_digest: " +
                               std::string(64, '0') + "\n" + aMore;
    return LoadEntrySettings(m_file);
  }

  std::string ErrorOf(const std::string& aMore)
  {
    try {
      Load(aMore);
    } catch (const ConfigError& error) {
      const std::string text = error.what();
      return text.substr(m_file.size());
    }
    return "";
  }

  std::string m_file;
};

TEST_CASE_METHOD(SettingsFixture, "Settings, sound, are read with defaults")
{
  const EntrySettings settings = Load("limits: { in_flight: 7 }\n");
  CHECK(settings.limits.in_flight == 7);
  CHECK(settings.limits.queue_per_account == 64);
  CHECK(settings.policies.balancer == "two-choices");
  CHECK(settings.policies.shed == "refuse");
  CHECK(settings.policies.transfer_cost_per_megabyte == 3);
}

TEST_CASE_METHOD(SettingsFixture,
                 "Settings, policies of shed requests and of transfers, are "
                 "read and checked")
{
  const EntrySettings settings =
    Load("policies: { shed: wait, transfer_cost_per_megabyte: 0.5 }\n");
  CHECK(settings.policies.shed == "wait");
  CHECK(settings.policies.transfer_cost_per_megabyte == 0.5);
  CHECK(ErrorOf("policies: { shed: often }\n").find("refuse or wait") !=
        std::string::npos);
}

TEST_CASE_METHOD(SettingsFixture,
                 "Settings, a field not known, names line, column and field")
{
  CHECK(ErrorOf("limits: { in_flght: 7 }\n") ==
        ":6:11: field \"limits.in_flght\" is not known");
}

TEST_CASE_METHOD(SettingsFixture,
                 "Settings, a value out of range, says what was expected")
{
  CHECK(ErrorOf("listen: { callers: 70000 }\n") ==
        ":6:20: field \"listen.callers\": expected a whole number from 1 to "
        "65535, found \"70000\"");
}

TEST_CASE_METHOD(SettingsFixture, "Settings, an address by name, is refused")
{
  CHECK(ErrorOf("listen: { address: localhost }\n") ==
        ":6:20: field \"listen.address\": expected a numeric IPv4 address, "
        "found \"localhost\"");
}

/// Guards against a daemon that ends since a template was not given a field.
TEST_CASE_METHOD(SettingsFixture,
                 "Settings, fields without a value, keep their defaults and "
                 "are named")
{
  for (const char* value : { "", " null", " ~" }) {
    const std::string text = value;
    const EntrySettings settings =
      Load("new_fleet:" + text + "\nseeds:" + text + "\nlimits:" + text +
           "\nextras: { share:" + text + " }\ndrain_ms:" + text + "\n");
    CHECK_FALSE(settings.new_fleet);
    CHECK(settings.seeds.empty());
    CHECK(settings.limits.in_flight == LimitSettings().in_flight);
    CHECK(settings.drain == EntrySettings().drain);
    CHECK(settings.fields_without_value ==
          std::vector<std::string>{
            "seeds", "new_fleet", "drain_ms", "extras.share", "limits" });
  }
}

TEST_CASE_METHOD(SettingsFixture,
                 "Settings, required field without a value, says what was "
                 "found")
{
  try {
    ReadEntrySettings("file", "host: null\n");
    FAIL("host is required");
  } catch (const ConfigError& error) {
    CHECK(
      error.what() ==
      std::string("file:1:7: field \"host\": expected a text, found no value"));
  }
}

TEST_CASE_METHOD(SettingsFixture, "Settings, not YAML, names the place")
{
  CHECK(ErrorOf("limits: [ 1\n").find(":7:1: ") == 0);
}

TEST_CASE_METHOD(SettingsFixture,
                 "Settings, bound of cold endpoints, is read and checked")
{
  CHECK(Load("").cold_starts.overage == 1.5);
  CHECK(Load("").cold_starts.slack == 8);
  const EntrySettings settings =
    Load("cold_starts: { overage: 1.25, slack: 6 }\n");
  CHECK(settings.cold_starts.overage == 1.25);
  CHECK(settings.cold_starts.slack == 6);
  CHECK_THAT(ErrorOf("cold_starts: { slack: -1 }\n"),
             Catch::Contains("cold_starts.slack"));
}

} // namespace
} // namespace sapphirelane
