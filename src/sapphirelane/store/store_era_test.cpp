#include "sapphirelane/store/store_era.h"

#include <catch2/catch.hpp>

#include "sapphirelane/base/error.h"

namespace sapphirelane {
namespace {

TEST_CASE("StoreEra, store names none, is era 0")
{
  StoreEra era;
  CHECK(era.Check(std::nullopt) == 0);
  CHECK(era.Check(std::nullopt) == 0);
}

/// Guards against answers from before a rollback whose versions are taken for
/// those of the new era.
TEST_CASE("StoreEra, answers of two eras arrive mixed, accepts those of the "
          "newest era only")
{
  StoreEra era;
  CHECK(era.Check("3") == 3);
  CHECK(era.Check("3") == 3);
  CHECK(era.Check("4") == 4);
  CHECK_THROWS_AS(era.Check("3"), PlatformUnavailable);
  CHECK(era.Check("4") == 4);
  CHECK(era.Newest() == 4);
}

/// Guards against an era that a faulty answer raises beyond all that follow.
TEST_CASE("StoreEra, malformed or absent, accepts no answer and keeps the era")
{
  StoreEra era;
  CHECK(era.Check("3") == 3);
  for (const char* text : { "",
                            "-4",
                            "+4",
                            "4.0",
                            "0x4",
                            " 4",
                            "4,5",
                            "four",
                            "1234567890",
                            "99999999999999999999999" }) {
    INFO("era \"" << text << "\"");
    CHECK_THROWS_AS(era.Check(std::string(text)), PlatformUnavailable);
  }
  CHECK_THROWS_AS(era.Check(std::nullopt), PlatformUnavailable);
  CHECK(era.Newest() == 3);
  CHECK(era.Check("3") == 3);
}

} // namespace
} // namespace sapphirelane
