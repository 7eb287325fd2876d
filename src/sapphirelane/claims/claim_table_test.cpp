#include "sapphirelane/claims/claim_table.h"

#include <rapidcheck/catch.h>

namespace sapphirelane {
namespace {

class ClaimTableFixture
{
protected:
  static Claim Named(const std::string& aId, std::uint64_t aAsk)
  {
    Claim claim;
    claim.id = aId;
    claim.ask = aAsk;
    claim.claimant = aAsk;
    return claim;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  ClaimTable m_table{ std::chrono::minutes(10) };
};

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, the same ask twice, is granted both times")
{
  CHECK(m_table.Ask(Named("a", 1), m_now).verdict == ClaimVerdict::Granted);
  CHECK(m_table.Ask(Named("a", 1), m_now).verdict == ClaimVerdict::Granted);
  CHECK(m_table.Ask(Named("a", 2), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, a late release of an earlier claim, frees "
                 "nothing")
{
  m_table.Ask(Named("a", 1), m_now);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(Named("a", 2), m_now).verdict == ClaimVerdict::Granted);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(Named("a", 3), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, a late ask of a released claim, is not granted")
{
  m_table.Ask(Named("a", 1), m_now);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(Named("a", 1), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, merged with a record of an earlier grant, keeps "
                 "the later one")
{
  // Found by a schedule: the record of the released claim hid the later one.
  m_table.Ask(Named("a", 1), m_now);
  Claim later = Named("a", 2);
  later.generation = 1;
  later.made = m_now;
  m_table.Merge(later);
  m_table.Release("a", 1);
  CHECK(m_table.Find("a")->ask == 2);
  CHECK(m_table.Ask(Named("a", 3), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, the answer of a done claim, is replayed")
{
  m_table.Ask(Named("a", 1), m_now);
  m_table.Finish("a", 1, ClaimState::Done, { true, 200, "text/plain", "ok" });
  const ClaimReply reply = m_table.Ask(Named("a", 2), m_now);
  CHECK(reply.state == ClaimState::Done);
  CHECK(reply.answer.body == "ok");
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, a lost claimant, leaves its claim unknown")
{
  m_table.Ask(Named("a", 1), m_now);
  m_table.LoseClaimant(1);
  CHECK(m_table.Ask(Named("a", 2), m_now).state == ClaimState::Unknown);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, after the window, forgets; before, it does not")
{
  m_table.Ask(Named("a", 1), m_now);
  const TimePoint before = m_now + std::chrono::minutes(9);
  m_table.Expire(before);
  CHECK(m_table.Ask(Named("a", 2), before).verdict == ClaimVerdict::Repeat);
  const TimePoint after = m_now + std::chrono::minutes(11);
  m_table.Expire(after);
  CHECK(m_table.Size() == 0);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, any order of asks, ends and merges, grants one "
                 "claim at a time")
{
  rc::prop("no second grant before a release", [&] {
    ClaimTable table(std::chrono::minutes(10));
    TimePoint now = m_now;
    std::uint64_t held = 0;
    bool ended = false;
    std::vector<Claim> copies;
    for (std::uint64_t ask = 1; ask < 60; ++ask) {
      now += Milliseconds(*rc::gen::inRange(0, 100));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (held != 0 && !ended) {
            table.Release("a", held);
            held = 0;
          }
          break;
        case 1:
          if (held != 0) {
            table.Finish("a", held, ClaimState::Done, {});
            ended = true;
          }
          break;
        case 2:
          // An old copy comes back from another daemon.
          if (!copies.empty()) {
            table.Merge(*rc::gen::elementOf(copies));
          }
          break;
        default:
          break;
      }
      if (table.Ask(Named("a", ask), now).verdict == ClaimVerdict::Granted) {
        RC_ASSERT(held == 0);
        RC_ASSERT(!ended);
        held = ask;
      }
      copies.push_back(*table.Find("a"));
    }
  });
}

} // namespace
} // namespace sapphirelane
