#include "sapphirelane/base/secret.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class SecretFixture
{
protected:
  SecretFixture() { StartSecrets(); }
};

TEST_CASE_METHOD(SecretFixture, "MakeSecret, called twice, gives two secrets")
{
  REQUIRE(MakeSecret() != MakeSecret());
  REQUIRE(MakeSecret().size() == 43);
}

TEST_CASE_METHOD(SecretFixture, "DigestOf, one changed byte, differs")
{
  REQUIRE(DigestOf("key-a") == DigestOf("key-a"));
  REQUIRE_FALSE(EqualSecrets(DigestOf("key-a"), DigestOf("key-b")));
  REQUIRE_FALSE(EqualSecrets("short", "shorter"));
}

} // namespace
} // namespace sapphirelane
