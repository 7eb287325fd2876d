#include "sapphirelane/relay/config_history.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {
namespace {

class ConfigHistoryFixture
{
protected:
  static std::string Text(int aVersion, const std::string& aRow = "kept")
  {
    nlohmann::json text = { { "version", aVersion } };
    for (int i = 0; i < 100; ++i) {
      text["rows"]["route/" + std::to_string(i)] = { { "service", "s" } };
    }
    text["rows"]["route/7"] = { { "service", aRow } };
    return text.dump();
  }

  ConfigHistory m_sender;
  ConfigHistory m_receiver;
};

TEST_CASE_METHOD(ConfigHistoryFixture,
                 "ConfigHistory, one of many rows has changed, sends less than "
                 "a tenth, from which the same text results")
{
  m_sender.Add(1, Text(1));
  m_receiver.Add(1, Text(1));
  m_sender.Add(2, Text(2, "changed"));
  const auto difference = m_sender.DifferenceFrom(1);
  REQUIRE(difference);
  CHECK(difference->size() * 10 < m_sender.Text().size());
  CHECK(m_receiver.Apply(1, *difference, StableHash(m_sender.Text())) ==
        m_sender.Text());
}

TEST_CASE_METHOD(ConfigHistoryFixture,
                 "ConfigHistory, difference of two versions, leads over both")
{
  for (int version = 1; version <= 3; ++version) {
    m_sender.Add(static_cast<std::uint64_t>(version),
                 Text(version, std::to_string(version)));
  }
  m_receiver.Add(1, Text(1, "1"));
  const auto difference = m_sender.DifferenceFrom(1);
  REQUIRE(difference);
  CHECK(m_receiver.Apply(1, *difference, StableHash(m_sender.Text())) ==
        Text(3, "3"));
}

TEST_CASE_METHOD(ConfigHistoryFixture,
                 "ConfigHistory, version that is not kept any more, has no "
                 "difference")
{
  for (std::uint64_t version = 1; version <= 20; ++version) {
    m_sender.Add(version, Text(static_cast<int>(version)));
  }
  CHECK_FALSE(m_sender.DifferenceFrom(1));
  CHECK_FALSE(m_sender.DifferenceFrom(20));
  CHECK(m_sender.DifferenceFrom(19));
}

TEST_CASE_METHOD(ConfigHistoryFixture,
                 "ConfigHistory, difference that does not fit or is malformed, "
                 "is refused")
{
  m_sender.Add(1, Text(1));
  m_sender.Add(2, Text(2, "changed"));
  const std::string difference = m_sender.DifferenceFrom(1).value();
  const std::uint64_t hash = StableHash(m_sender.Text());
  CHECK_FALSE(m_receiver.Apply(1, difference, hash)); // It holds nothing.
  m_receiver.Add(1, Text(1, "another"));
  CHECK_FALSE(m_receiver.Apply(2, difference, hash));
  CHECK_FALSE(m_receiver.Apply(1, difference, hash + 1));
  for (const char* text : { "", "{", "[]", "[{\"op\":\"remove\"}]", "7" }) {
    INFO(text);
    CHECK_FALSE(m_receiver.Apply(1, text, hash));
  }
}

TEST_CASE_METHOD(ConfigHistoryFixture,
                 "ConfigHistory, older version comes late, is ignored")
{
  m_sender.Add(2, Text(2));
  m_sender.Add(1, Text(1));
  CHECK(m_sender.Version() == 2);
  CHECK(m_sender.Text() == Text(2));
}

} // namespace
} // namespace sapphirelane
