#include "sapphirelane/admission/account_parts.h"

#include <algorithm>
#include <numeric>

#include "sapphirelane/admission/budget_holder.h"

namespace sapphirelane {

namespace {

/// Tokens that a part's bucket must hold to be worth a holder of its own.
constexpr double kLeastCapacity = 4;

/// Parts without a token for kMostTokenWait that show an account to be past
/// its rate.
constexpr std::size_t kFarEnough = 2;

/// Stands in no account's id.
constexpr char kPartMark = '/';

} // namespace

std::uint32_t
PartsOf(const Account& aAccount)
{
  const double parts = BucketCapacity(aAccount) / kLeastCapacity;
  return static_cast<std::uint32_t>(
    std::clamp(parts, 1.0, static_cast<double>(kMostParts)));
}

std::string
PartId(const std::string& aAccount, const AccountPart& aPart)
{
  if (aPart.count == 1) {
    return aAccount;
  }
  return aAccount + kPartMark + std::to_string(aPart.index) + "/" +
         std::to_string(aPart.count);
}

Account
PartOf(const Account& aAccount, const AccountPart& aPart)
{
  Account part = aAccount;
  part.id = PartId(aAccount.id, aPart);
  part.rate /= aPart.count;
  part.burst /= aPart.count;
  return part;
}

PartWalk::PartWalk(std::uint32_t aCount,
                   const std::function<bool(std::uint32_t)>& aAvoids,
                   Random& aRandom)
  : m_order(aCount)
  , m_waits(aCount == 1)
{
  std::iota(m_order.begin(), m_order.end(), 0);
  if (aCount > 1) {
    std::shuffle(m_order.begin(), m_order.end(), aRandom);
    std::stable_partition(m_order.begin(),
                          m_order.end(),
                          [&](std::uint32_t aPart) { return !aAvoids(aPart); });
  }
}

AccountPart
PartWalk::Part() const
{
  return { m_order[m_place], static_cast<std::uint32_t>(m_order.size()) };
}

std::optional<Milliseconds>
PartWalk::OnRefused(Milliseconds aRetryAfter)
{
  if (m_waits) {
    return aRetryAfter;
  }
  if (!m_best || aRetryAfter < m_bestAfter) {
    m_best = m_place;
    m_bestAfter = aRetryAfter;
  }
  m_far += aRetryAfter > kMostTokenWait ? 1 : 0;
  if (GoOn()) {
    return std::nullopt;
  }
  return std::max(Milliseconds(1), m_bestAfter - kMostTokenWait);
}

bool
PartWalk::OnSilent()
{
  return !m_waits && GoOn();
}

bool
PartWalk::GoOn()
{
  if (m_far < kFarEnough && m_place + 1 < m_order.size()) {
    ++m_place;
    return true;
  }
  if (!m_best || m_bestAfter > kMostTokenWait) {
    return false;
  }
  m_place = *m_best;
  m_waits = true;
  return true;
}

} // namespace sapphirelane
