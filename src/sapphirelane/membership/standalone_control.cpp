#include <map>
#include <utility>

#include "sapphirelane/admission/budget_holder.h"
#include "sapphirelane/membership/fleet_control.h"

namespace sapphirelane {

namespace {

/// Tokens remembered for a return; the oldest are long past their use.
constexpr std::size_t kMostOpenTokens = 100000;

class StandaloneControl : public FleetControl
{
public:
  StandaloneControl(FleetConfig aConfig, Duration aWindow)
    : m_config(std::move(aConfig))
    , m_claims(aWindow)
  {
    m_keys.Load(m_config);
  }

  const FleetConfig* Config() const override { return &m_config; }
  const KeyDirectory& Keys() const override { return m_keys; }
  bool IsFresh(TimePoint /*aNow*/) const override { return true; }
  std::pair<std::size_t, std::size_t> Rank() const override { return { 0, 1 }; }

  AskId AskToken(const std::string& aAccount,
                 TimePoint /*aDeadline*/,
                 TimePoint aNow) override
  {
    const AskId ask = ++m_lastAsk;
    const Account& account = m_config.accounts.at(aAccount);
    m_budgets.Expire(aNow);
    const Grant grant = m_budgets.Ask(account, ask, 1, aNow);
    m_tokens[ask] = aAccount;
    if (m_tokens.size() > kMostOpenTokens) {
      m_tokens.erase(m_tokens.begin());
    }
    m_events.emplace_back(TokenResult{ ask,
                                       grant.tokens > 0 ? TokenVerdict::Granted
                                                        : TokenVerdict::Refused,
                                       grant.retry_after,
                                       aNow + kGrantLife });
    return ask;
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    auto found = m_tokens.find(aAsk);
    if (found != m_tokens.end()) {
      const Account& account = m_config.accounts.at(found->second);
      m_budgets.Return(account, aAsk, 1, aNow);
      m_tokens.erase(found);
    }
  }

  AskId AskClaim(Claim aClaim, TimePoint /*aDeadline*/, TimePoint aNow) override
  {
    m_claims.Expire(aNow);
    aClaim.ask = ++m_lastAsk;
    m_events.emplace_back(
      ClaimResult{ aClaim.ask, m_claims.Ask(aClaim, aNow) });
    m_claimIds[aClaim.ask] = aClaim.id;
    return aClaim.ask;
  }

  bool MaySend(AskId aClaim, TimePoint /*aNow*/) override
  {
    return m_claimIds.count(aClaim) == 1;
  }

  void FinishClaim(AskId aClaim,
                   ClaimState aState,
                   const KeptAnswer& aAnswer,
                   TimePoint /*aNow*/) override
  {
    m_claims.Finish(m_claimIds[aClaim], aClaim, aState, aAnswer);
    m_claimIds.erase(aClaim);
  }

  void ReleaseClaim(AskId aClaim, TimePoint /*aNow*/) override
  {
    m_claims.Release(m_claimIds[aClaim], aClaim);
    m_claimIds.erase(aClaim);
  }

  void ShareEvidence(const FleetEvidence& /*aEvidence*/,
                     TimePoint /*aNow*/) override
  {
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    return std::exchange(m_events, {});
  }

private:
  FleetConfig m_config;
  KeyDirectory m_keys;
  BudgetHolder m_budgets;
  ClaimTable m_claims;
  AskId m_lastAsk = 0;
  std::map<AskId, std::string> m_tokens;
  std::map<AskId, std::string> m_claimIds;
  std::vector<ControlEvent> m_events;
};

} // namespace

std::unique_ptr<FleetControl>
MakeStandaloneControl(FleetConfig aConfig, Duration aWindow)
{
  return std::make_unique<StandaloneControl>(std::move(aConfig), aWindow);
}

} // namespace sapphirelane
