#include "sapphirelane/routing/retry_policy.h"

#include <algorithm>

namespace sapphirelane {

namespace {

constexpr std::uint32_t kDefaultMaxAttempts = 3;

class RetryBudgetPolicy : public RetryPolicy
{
public:
  explicit RetryBudgetPolicy(RetryBudgetOptions aOptions)
    : m_options(aOptions)
    , m_balance(aOptions.most_saved / 2)
  {
  }

  void OnRequest(TimePoint /*aNow*/) override
  {
    m_balance = std::min(m_options.most_saved, m_balance + m_options.share);
  }

  std::uint32_t MaxAttempts() const override { return m_options.most_attempts; }

  bool TakeExtra(std::uint32_t aAttempts,
                 TimePoint aDeadline,
                 TimePoint aNow) override
  {
    const bool tooLate = aNow + m_options.least_left > aDeadline;
    if (tooLate || aAttempts >= m_options.most_attempts || m_balance < 1) {
      return false;
    }
    m_balance -= 1;
    return true;
  }

private:
  RetryBudgetOptions m_options;
  double m_balance;
};

class FixedAttemptsPolicy : public RetryPolicy
{
public:
  explicit FixedAttemptsPolicy(std::uint32_t aMaxAttempts)
    : m_maxAttempts(aMaxAttempts)
  {
  }

  void OnRequest(TimePoint /*aNow*/) override {}

  std::uint32_t MaxAttempts() const override { return m_maxAttempts; }

  bool TakeExtra(std::uint32_t aAttempts,
                 TimePoint aDeadline,
                 TimePoint aNow) override
  {
    return aNow < aDeadline && aAttempts < m_maxAttempts;
  }

private:
  std::uint32_t m_maxAttempts;
};

const RetryRegistry::Registration kBudget("budget",
                                          [] { return MakeRetryBudget({}); });
const RetryRegistry::Registration kFixedAttempts("fixed-attempts", [] {
  return MakeFixedAttempts(kDefaultMaxAttempts);
});

} // namespace

std::unique_ptr<RetryPolicy>
MakeRetryBudget(RetryBudgetOptions aOptions)
{
  return std::make_unique<RetryBudgetPolicy>(aOptions);
}

std::unique_ptr<RetryPolicy>
MakeFixedAttempts(std::uint32_t aMaxAttempts)
{
  return std::make_unique<FixedAttemptsPolicy>(aMaxAttempts);
}

} // namespace sapphirelane
