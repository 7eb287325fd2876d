#include "sapphirelane/admission/account_parts.h"

#include <algorithm>
#include <numeric>

#include "sapphirelane/admission/budget_holder.h"

namespace sapphirelane {

namespace {

/// Smallest bucket of a partition, in tokens; smaller ones are not worth a
/// bucket on another daemon.
constexpr double kMinCapacity = 4;

/// Partitions without a token in the next kMaxTokenWait after which the account
/// counts as above its rate limit.
constexpr std::size_t kExhaustedPartitionLimit = 2;

/// Separator that no account id contains.
constexpr char kPartitionSeparator = '/';

} // namespace

std::uint32_t
PartsOf(const Account& aAccount)
{
  const double parts = BucketCapacity(aAccount) / kMinCapacity;
  return static_cast<std::uint32_t>(
    std::clamp(parts, 1.0, static_cast<double>(kMostParts)));
}

std::string
PartId(const std::string& aAccount, const AccountPart& aPart)
{
  if (aPart.count == 1) {
    return aAccount;
  }
  return aAccount + kPartitionSeparator + std::to_string(aPart.index) + "/" +
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
                   const std::function<bool(std::uint32_t)>& aIsAvoided,
                   Random& aRandom)
  : m_order(aCount)
  , m_mayReserve(aCount == 1)
{
  std::iota(m_order.begin(), m_order.end(), 0);
  if (aCount > 1) {
    std::shuffle(m_order.begin(), m_order.end(), aRandom);
    std::stable_partition(
      m_order.begin(), m_order.end(), [&](std::uint32_t aPart) {
        return !aIsAvoided(aPart);
      });
  }
}

AccountPart
PartWalk::Part() const
{
  return { m_order[m_position], static_cast<std::uint32_t>(m_order.size()) };
}

std::optional<Milliseconds>
PartWalk::OnRefused(Milliseconds aRetryAfter)
{
  if (m_mayReserve) {
    return aRetryAfter;
  }
  if (!m_earliest || aRetryAfter < m_earliestRetryAfter) {
    m_earliest = m_position;
    m_earliestRetryAfter = aRetryAfter;
  }
  m_exhaustedCount += aRetryAfter > kMostTokenWait ? 1 : 0;
  if (MoveOn()) {
    return std::nullopt;
  }
  return std::max(Milliseconds(1), m_earliestRetryAfter - kMostTokenWait);
}

bool
PartWalk::OnSilent()
{
  return !m_mayReserve && MoveOn();
}

bool
PartWalk::MoveOn()
{
  if (m_exhaustedCount < kExhaustedPartitionLimit &&
      m_position + 1 < m_order.size()) {
    ++m_position;
    return true;
  }
  if (!m_earliest || m_earliestRetryAfter > kMostTokenWait) {
    return false;
  }
  m_position = *m_earliest;
  m_mayReserve = true;
  return true;
}

} // namespace sapphirelane
