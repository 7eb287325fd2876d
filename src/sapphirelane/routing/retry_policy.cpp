#include "sapphirelane/routing/retry_policy.h"

#include <algorithm>

namespace sapphirelane {

namespace {

constexpr std::uint32_t kBaselineAttempts = 3;

class RetryBudget : public RetryPolicy
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : m_options(aOptions)
    , m_saved(aOptions.most_saved / 2)
  {
  }

  void OnRequest(TimePoint /*aNow*/) override
  {
    m_saved = std::min(m_options.most_saved, m_saved + m_options.share);
  }

  bool TakeExtra(std::uint32_t aAttempts,
                 TimePoint aDeadline,
                 TimePoint aNow) override
  {
    const bool late = aNow + m_options.least_left > aDeadline;
    if (late || aAttempts >= m_options.most_attempts || m_saved < 1) {
      return false;
    }
    m_saved -= 1;
    return true;
  }

private:
  RetryBudgetOptions m_options;
  double m_saved;
};

class FixedAttempts : public RetryPolicy
{
public:
  explicit FixedAttempts(std::uint32_t aMostAttempts)
    : m_mostAttempts(aMostAttempts)
  {
  }

  void OnRequest(TimePoint /*aNow*/) override {}

  bool TakeExtra(std::uint32_t aAttempts,
                 TimePoint aDeadline,
                 TimePoint aNow) override
  {
    return aNow < aDeadline && aAttempts < m_mostAttempts;
  }

private:
  std::uint32_t m_mostAttempts;
};

const RetryRegistry::Registration kBudget("budget",
                                          [] { return MakeRetryBudget({}); });
const RetryRegistry::Registration kFixed("fixed-attempts", [] {
  return MakeFixedAttempts(kBaselineAttempts);
});

} // namespace

std::unique_ptr<RetryPolicy>
MakeRetryBudget(RetryBudgetOptions aOptions)
{
  return std::make_unique<RetryBudget>(aOptions);
}

std::unique_ptr<RetryPolicy>
MakeFixedAttempts(std::uint32_t aMostAttempts)
{
  return std::make_unique<FixedAttempts>(aMostAttempts);
}

} // namespace sapphirelane
