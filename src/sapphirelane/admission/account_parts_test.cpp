#include "sapphirelane/admission/account_parts.h"

#include <set>

#include <rapidcheck/catch.h>

#include "sapphirelane/admission/budget_holder.h"

namespace sapphirelane {
namespace {

class AccountPartsFixture
{
protected:
  static bool AvoidNone(std::uint32_t /*aPart*/) { return false; }

  Random m_random{ 7 };
};

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartsOf, a small bucket, is one part with the account's id")
{
  const Account small{ "small", 4, 4 };
  CHECK(PartsOf(small) == 1);
  CHECK(PartOf(small, { 0, 1 }).id == "small");
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartOf, any account, adds up to the account and can grant")
{
  rc::prop("rate and burst are divided, each bucket holds a token", [] {
    const double rate = *rc::gen::inRange(1, 100000) / 10.0;
    const double burst = 1 + rate * 0.25 + *rc::gen::inRange(0, 1000) / 10.0;
    const Account account{ "a", rate, burst };
    const std::uint32_t parts = PartsOf(account);
    double rates = 0;
    double bursts = 0;
    std::set<std::string> ids;
    for (std::uint32_t i = 0; i < parts; ++i) {
      const Account part = PartOf(account, { i, parts });
      RC_ASSERT(BucketCapacity(part) >= 1 - 1e-9);
      rates += part.rate;
      bursts += part.burst;
      ids.insert(part.id);
    }
    RC_ASSERT(parts >= 1 && parts <= kMostParts);
    RC_ASSERT(rates <= rate * (1 + 1e-9));
    RC_ASSERT(bursts <= burst * (1 + 1e-9));
    RC_ASSERT(ids.size() == parts);
  });
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartWalk, every part empty, waits at the one that is first")
{
  PartWalk walk(4, AvoidNone, m_random);
  std::set<std::uint32_t> asked;
  std::uint32_t best = 0;
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(walk.MayWait());
    const std::uint32_t part = walk.Part().index;
    asked.insert(part);
    best = i == 2 ? part : best;
    CHECK_FALSE(walk.OnRefused(Milliseconds(i == 2 ? 100 : 300)));
  }
  CHECK(asked.size() == 4);
  CHECK(walk.MayWait());
  CHECK(walk.Part().index == best);
  CHECK(walk.OnRefused(Milliseconds(50)) == Milliseconds(50));
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartWalk, an account far past its rate, asks two parts only")
{
  PartWalk walk(4, AvoidNone, m_random);
  CHECK_FALSE(walk.OnRefused(Milliseconds(5000)));
  CHECK(walk.OnRefused(Milliseconds(3000)) == Milliseconds(2000));
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartWalk, a silent part, asks every other before it gives up")
{
  PartWalk walk(4, AvoidNone, m_random);
  std::set<std::uint32_t> asked{ walk.Part().index };
  while (walk.OnSilent()) {
    asked.insert(walk.Part().index);
  }
  CHECK(asked.size() == 4);
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartWalk, parts to be avoided, asks them last")
{
  for (int i = 0; i < 50; ++i) {
    PartWalk walk(
      4, [](std::uint32_t aPart) { return aPart != 2; }, m_random);
    CHECK(walk.Part().index == 2);
  }
}

TEST_CASE_METHOD(AccountPartsFixture,
                 "PartWalk, one part, may wait and has no other")
{
  PartWalk walk(1, AvoidNone, m_random);
  CHECK(walk.MayWait());
  CHECK_FALSE(walk.OnSilent());
  CHECK(walk.OnRefused(Milliseconds(10)) == Milliseconds(10));
}

} // namespace
} // namespace sapphirelane
