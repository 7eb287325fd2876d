#include "sapphirelane/config/sheet.h"

#include <catch2/catch.hpp>

#include "sapphirelane/config/change_set.h"

namespace sapphirelane {
namespace {

class SheetFixture
{
protected:
  static std::string Sheet(const std::string& aRows)
  {
    return "kind,id,state,service,address,slots,connections,floor,rate,burst,"
           "path,mode,access,timeout_ms,callers\n" +
           aRows;
  }

  static std::vector<std::string> FaultsOfSheet(const std::string& aText)
  {
    try {
      ReadSheet("s.csv", aText);
    } catch (const SheetError& error) {
      return error.Faults();
    }
    return {};
  }

  const std::string m_sound =
    "service,scripts,,,,,,50,,,,,,,\n"
    "endpoint,e1,in-service,scripts,127.0.0.1:9001,2,330,,,,,,,,\n"
    "endpoint,e2,leaving,scripts,127.0.0.1:9002,2,330,,,,,,,,\n"
    "route,r,,scripts,,,,,,,/scripts,safe,keyed,3000,a\n"
    "account,a,,,,,,,10,20,,,,,\n"
    "host,h1,in-service,,,,,,,,,,,,\n";
};

TEST_CASE_METHOD(SheetFixture, "ReadSheet, sound rows, gives a configuration")
{
  const FleetConfig config = ReadSheet("s.csv", Sheet(m_sound));
  REQUIRE(config.endpoints.at("e2").state == LifeState::Leaving);
  REQUIRE(config.routes.at("r").callers == std::vector<std::string>{ "a" });
  REQUIRE(config.accounts.at("a").burst == 20);
  REQUIRE(RowsOf(config).size() == 6);
}

TEST_CASE_METHOD(SheetFixture,
                 "ReadSheet, faulty cells, names each row and column")
{
  const auto faults =
    FaultsOfSheet(Sheet("service,s,,,,,,150,,,,,,,\n"
                        "endpoint,e,gone,s,127.0.0.1:1,x,5,,,,,,,,\n"
                        "account,a,,,,,,,-1,20,,,,,\n"));
  REQUIRE(faults.size() >= 4);
  CHECK(faults[0] == "s.csv: row 2, column \"floor\": expected a whole number "
                     "from 0 to 100, found \"150\"");
  CHECK(faults[1] == "s.csv: row 3, column \"state\": expected one of "
                     "in-service, leaving, found \"gone\"");
  CHECK(faults[2] == "s.csv: row 3, column \"slots\": expected a whole number "
                     "from 1 to 100000, found \"x\"");
  CHECK(faults[3] == "s.csv: row 4, column \"rate\": expected a number above "
                     "0, found \"-1\"");
}

TEST_CASE_METHOD(SheetFixture, "ReadSheet, a missing column, names the sheet")
{
  const auto faults = FaultsOfSheet("kind,id\nservice,s\n");
  CHECK(faults[0] == "column \"state\" does not exist in sheet \"s.csv\"");
}

TEST_CASE_METHOD(SheetFixture,
                 "ReadSheet, a value in a foreign column, refuses")
{
  const auto faults = FaultsOfSheet(Sheet("service,s,,,,7,,50,,,,,,,\n"));
  CHECK(faults[0] == "s.csv: row 2, column \"slots\": expected nothing in a "
                     "row of this kind, found \"7\"");
}

TEST_CASE_METHOD(SheetFixture, "ReadSheet, an id twice, refuses the second")
{
  const auto faults = FaultsOfSheet(
    Sheet("service,s,,,,,,50,,,,,,,\nservice,s,,,,,,40,,,,,,,\n"));
  CHECK(faults[0] == "s.csv: row 3, column \"id\": expected an id not used "
                     "above, found \"s\"");
}

TEST_CASE_METHOD(SheetFixture, "ReadSheet, an open quote, refuses the sheet")
{
  CHECK_FALSE(FaultsOfSheet(Sheet("service,\"s,,,,,,50,,,,,,,\n")).empty());
}

TEST_CASE_METHOD(SheetFixture,
                 "ReadSheet, references and bursts that cannot hold, refuses")
{
  const auto faults = FaultsOfSheet(
    Sheet("endpoint,e,in-service,nowhere,127.0.0.1:1,1,5,,,,,,,,\n"
          "account,a,,,,,,,100,10,,,,,\n"));
  REQUIRE(faults.size() == 2);
  CHECK(faults[0] ==
        "s.csv: endpoint \"e\": service \"nowhere\" does not exist");
  CHECK(faults[1].find("burst is 10") != std::string::npos);
}

TEST_CASE_METHOD(SheetFixture, "Replace, accounts that stay, keeps their keys")
{
  FleetConfig old = ReadSheet("s.csv", Sheet(m_sound));
  old.accounts["b"] = { "b", 1, 5 };
  old.keys["ka"] = { "ka", "a", std::string(64, '0') };
  old.keys["kb"] = { "kb", "b", std::string(64, '1') };
  const FleetConfig next = Replace(old, ReadSheet("s.csv", Sheet(m_sound)));
  CHECK(next.keys.count("ka") == 1);
  CHECK(next.keys.count("kb") == 0);
}

/// Guards against a sheet, planned before, that ends an evacuation.
TEST_CASE_METHOD(SheetFixture,
                 "Replace, evacuated data centre, stays evacuated")
{
  FleetConfig old = ReadSheet("s.csv", Sheet(m_sound));
  old.evacuated = { "north" };
  const FleetConfig next = Replace(old, ReadSheet("s.csv", Sheet(m_sound)));
  CHECK(next.evacuated == old.evacuated);
}

TEST_CASE_METHOD(SheetFixture,
                 "ReadSheet, byte order mark before the first column, reads "
                 "the sheet")
{
  CHECK(RowsOf(ReadSheet("s.csv", "\xEF\xBB\xBF" + Sheet(m_sound))).size() ==
        6);
}

TEST_CASE_METHOD(SheetFixture, "ReadSheet, one fault, tells of it once")
{
  CHECK(FaultsOfSheet(Sheet("account,a,,,,,,,-1,20,,,,,\n")).size() == 1);
  CHECK(FaultsOfSheet(Sheet("service,s,,,,,,150,,,,,,,\n")).size() == 1);
}

TEST_CASE_METHOD(SheetFixture,
                 "ReadSheet, path with bytes that are no text, is a fault")
{
  std::string sheet = m_sound;
  sheet.replace(sheet.find("/scripts"), 8, "/scri\xFF\xFF");
  CHECK(FaultsOfSheet(Sheet(sheet)).size() == 1);
}

} // namespace
} // namespace sapphirelane
