#include "sapphirelane/admission/account_parts.h"

#include <set>

#include <rapidcheck/catch.h>

#include "sapphirelane/admission/budget_holder.h"

namespace sapphirelane {
namespace {

class AccountPartitionsFixture
{
protected:
  static bool AvoidNone(std::uint32_t /*aPart*/) { return false; }

  Random m_random{ 7 };
};

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionCount, small bucket, is one with the account's id")
{
  const Account small{ "small", 4, 4 };
  CHECK(PartsOf(small) == 1);
  CHECK(PartOf(small, { 0, 1 }).id == "small");
}

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionAccount, any account, adds up and can grant tokens")
{
  rc::prop("partitions add up to rate and burst and hold a token each", [] {
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

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionSelector, all empty, reserves at the earliest one")
{
  PartWalk selector(4, AvoidNone, m_random);
  std::set<std::uint32_t> tried;
  std::uint32_t earliest = 0;
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(selector.MayWait());
    const std::uint32_t part = selector.Part().index;
    tried.insert(part);
    earliest = i == 2 ? part : earliest;
    CHECK_FALSE(selector.OnRefused(Milliseconds(i == 2 ? 100 : 300)));
  }
  CHECK(tried.size() == 4);
  CHECK(selector.MayWait());
  CHECK(selector.Part().index == earliest);
  CHECK(selector.OnRefused(Milliseconds(50)) == Milliseconds(50));
}

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionSelector, account far above its rate, tries two")
{
  PartWalk selector(4, AvoidNone, m_random);
  CHECK_FALSE(selector.OnRefused(Milliseconds(5000)));
  CHECK(selector.OnRefused(Milliseconds(3000)) == Milliseconds(2000));
}

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionSelector, no replies, tries every partition")
{
  PartWalk selector(4, AvoidNone, m_random);
  std::set<std::uint32_t> tried{ selector.Part().index };
  while (selector.OnSilent()) {
    tried.insert(selector.Part().index);
  }
  CHECK(tried.size() == 4);
}

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionSelector, partitions to avoid, tries them last")
{
  for (int i = 0; i < 50; ++i) {
    PartWalk selector(
      4, [](std::uint32_t aPart) { return aPart != 2; }, m_random);
    CHECK(selector.Part().index == 2);
  }
}

TEST_CASE_METHOD(AccountPartitionsFixture,
                 "PartitionSelector, single partition, may reserve")
{
  PartWalk selector(1, AvoidNone, m_random);
  CHECK(selector.MayWait());
  CHECK_FALSE(selector.OnSilent());
  CHECK(selector.OnRefused(Milliseconds(10)) == Milliseconds(10));
}

} // namespace
} // namespace sapphirelane
