#include "sapphirelane/claims/claim_table.h"

namespace sapphirelane {

ClaimTable::ClaimTable(Duration aWindow)
  : m_window(aWindow)
{
}

ClaimReply
ClaimTable::Ask(const Claim& aClaim, TimePoint aNow)
{
  auto found = m_claims.find(aClaim.id);
  const bool isFree = found == m_claims.end() ||
                      aNow - found->second.made > m_window ||
                      (found->second.state == ClaimState::Released &&
                       found->second.ask != aClaim.ask);
  if (isFree) {
    Claim claim = aClaim;
    claim.state = ClaimState::Running;
    claim.made = aNow;
    claim.generation =
      found == m_claims.end() ? 0 : found->second.generation + 1;
    m_claims[claim.id] = claim;
    return { ClaimVerdict::Granted, claim.state, {}, claim.generation };
  }
  const Claim& existing = found->second;
  if (existing.ask == aClaim.ask && existing.state == ClaimState::Running) {
    return { ClaimVerdict::Granted, existing.state, {}, existing.generation };
  }
  if (existing.fingerprint != aClaim.fingerprint) {
    return { ClaimVerdict::Mismatch };
  }
  return { ClaimVerdict::Repeat, existing.state, existing.answer };
}

void
ClaimTable::Finish(const std::string& aId,
                   std::uint64_t aAttempt,
                   ClaimState aState,
                   const KeptAnswer& aAnswer)
{
  auto found = m_claims.find(aId);
  if (found == m_claims.end() || found->second.ask != aAttempt) {
    return;
  }
  if (found->second.state < aState) {
    found->second.state = aState;
    found->second.answer = aAnswer;
  }
}

void
ClaimTable::Release(const std::string& aId, std::uint64_t aAttempt)
{
  auto found = m_claims.find(aId);
  if (found == m_claims.end() || found->second.ask != aAttempt) {
    return;
  }
  if (found->second.state == ClaimState::Running) {
    found->second.state = ClaimState::Released;
  }
}

void
ClaimTable::Merge(const Claim& aClaim)
{
  auto [found, isNew] = m_claims.try_emplace(aClaim.id, aClaim);
  if (isNew) {
    return;
  }
  Claim& existing = found->second;
  if (existing.ask == aClaim.ask) {
    // Only the claimant releases its own claim, so a release overrides Running.
    const bool isReleased = aClaim.state == ClaimState::Released &&
                            existing.state == ClaimState::Running;
    if (isReleased || (existing.state < aClaim.state &&
                       existing.state != ClaimState::Released)) {
      existing.state = aClaim.state;
      existing.answer = aClaim.answer;
    }
    return;
  }
  // A later grant implies that the earlier claim was released or had expired.
  const bool isNewerGrant = aClaim.generation > existing.generation;
  const bool isMoreAdvanced =
    aClaim.generation == existing.generation && existing.state < aClaim.state;
  if (isNewerGrant || isMoreAdvanced) {
    existing = aClaim;
  }
}

std::vector<Claim>
ClaimTable::Select(const std::function<bool(const Claim&)>& aPredicate) const
{
  std::vector<Claim> selected;
  for (const auto& entry : m_claims) {
    if (aPredicate(entry.second)) {
      selected.push_back(entry.second);
    }
  }
  return selected;
}

const Claim*
ClaimTable::Find(const std::string& aId) const
{
  auto found = m_claims.find(aId);
  return found == m_claims.end() ? nullptr : &found->second;
}

void
ClaimTable::LoseClaimant(std::uint64_t aClaimant)
{
  for (auto& entry : m_claims) {
    Claim& claim = entry.second;
    if (claim.claimant == aClaimant && claim.state == ClaimState::Running) {
      claim.state = ClaimState::Unknown;
    }
  }
}

void
ClaimTable::Expire(TimePoint aNow)
{
  for (auto it = m_claims.begin(); it != m_claims.end();) {
    const bool isExpired = aNow - it->second.made > m_window;
    it = isExpired ? m_claims.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
