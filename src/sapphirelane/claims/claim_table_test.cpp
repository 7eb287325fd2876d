#include "sapphirelane/claims/claim_table.h"

#include <rapidcheck/catch.h>

namespace sapphirelane {
namespace {

class ClaimTableFixture
{
protected:
  static Claim MakeClaim(const std::string& aId, std::uint64_t aAttempt)
  {
    Claim claim;
    claim.id = aId;
    claim.ask = aAttempt;
    claim.claimant = aAttempt;
    return claim;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  ClaimTable m_table{ std::chrono::minutes(10) };
};

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, repeated attempt, is granted both times")
{
  CHECK(m_table.Ask(MakeClaim("a", 1), m_now).verdict == ClaimVerdict::Granted);
  CHECK(m_table.Ask(MakeClaim("a", 1), m_now).verdict == ClaimVerdict::Granted);
  CHECK(m_table.Ask(MakeClaim("a", 2), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, delayed release of an earlier claim, releases "
                 "nothing")
{
  m_table.Ask(MakeClaim("a", 1), m_now);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(MakeClaim("a", 2), m_now).verdict == ClaimVerdict::Granted);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(MakeClaim("a", 3), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(
  ClaimTableFixture,
  "ClaimTable, delayed attempt of a released claim, is not granted")
{
  m_table.Ask(MakeClaim("a", 1), m_now);
  m_table.Release("a", 1);
  CHECK(m_table.Ask(MakeClaim("a", 1), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(
  ClaimTableFixture,
  "ClaimTable, merge of a newer grant, replaces the older record")
{
  // Guards against an older record, of a released claim, that hides the newer
  // grant from another daemon.
  m_table.Ask(MakeClaim("a", 1), m_now);
  Claim later = MakeClaim("a", 2);
  later.generation = 1;
  later.made = m_now;
  m_table.Merge(later);
  m_table.Release("a", 1);
  CHECK(m_table.Find("a")->ask == 2);
  CHECK(m_table.Ask(MakeClaim("a", 3), m_now).verdict == ClaimVerdict::Repeat);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, the response of a done claim, is replayed")
{
  m_table.Ask(MakeClaim("a", 1), m_now);
  m_table.Finish("a", 1, ClaimState::Done, { true, 200, "text/plain", "ok" });
  const ClaimReply reply = m_table.Ask(MakeClaim("a", 2), m_now);
  CHECK(reply.state == ClaimState::Done);
  CHECK(reply.answer.body == "ok");
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, a lost claimant, has its claim marked unknown")
{
  m_table.Ask(MakeClaim("a", 1), m_now);
  m_table.LoseClaimant(1);
  CHECK(m_table.Ask(MakeClaim("a", 2), m_now).state == ClaimState::Unknown);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, claims, expire after the window only")
{
  m_table.Ask(MakeClaim("a", 1), m_now);
  const TimePoint before = m_now + std::chrono::minutes(9);
  m_table.Expire(before);
  CHECK(m_table.Ask(MakeClaim("a", 2), before).verdict == ClaimVerdict::Repeat);
  const TimePoint after = m_now + std::chrono::minutes(11);
  m_table.Expire(after);
  CHECK(m_table.Size() == 0);
}

TEST_CASE_METHOD(ClaimTableFixture,
                 "ClaimTable, any order of attempts, outcomes and merges, "
                 "grants one claim at a time")
{
  rc::prop("no second grant before a release", [&] {
    ClaimTable table(std::chrono::minutes(10));
    TimePoint now = m_now;
    std::uint64_t grantedAttempt = 0;
    bool isFinished = false;
    std::vector<Claim> copies;
    for (std::uint64_t ask = 1; ask < 60; ++ask) {
      now += Milliseconds(*rc::gen::inRange(0, 100));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (grantedAttempt != 0 && !isFinished) {
            table.Release("a", grantedAttempt);
            grantedAttempt = 0;
          }
          break;
        case 1:
          if (grantedAttempt != 0) {
            table.Finish("a", grantedAttempt, ClaimState::Done, {});
            isFinished = true;
          }
          break;
        case 2:
          // Merge an outdated copy from another daemon.
          if (!copies.empty()) {
            table.Merge(*rc::gen::elementOf(copies));
          }
          break;
        default:
          break;
      }
      if (table.Ask(MakeClaim("a", ask), now).verdict ==
          ClaimVerdict::Granted) {
        RC_ASSERT(grantedAttempt == 0);
        RC_ASSERT(!isFinished);
        grantedAttempt = ask;
      }
      copies.push_back(*table.Find("a"));
    }
  });
}

} // namespace
} // namespace sapphirelane
