#ifndef SAPPHIRELANE_ADMISSION_ACCOUNT_PARTS_H
#define SAPPHIRELANE_ADMISSION_ACCOUNT_PARTS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Largest number of partitions of one account's rate limit.
constexpr std::uint32_t kMostParts = 8;

/// @brief One of the equal partitions of an account's rate limit.
///
/// Each partition has a token bucket on another daemon, so that the loss of one
/// daemon blocks only a share of the account's requests. The rates and bursts
/// of the partitions add up to those of the account.
struct AccountPart
{
  std::uint32_t index = 0;
  std::uint32_t count = 1;
};

/// @brief Number of partitions of an account: one, unless its bucket is large.
std::uint32_t
PartsOf(const Account& aAccount);

/// @brief Id of a partition's bucket; the account's id if there is only one.
std::string
PartId(const std::string& aAccount, const AccountPart& aPart);

/// @brief Returns a partition as an account with its share of rate and burst.
Account
PartOf(const Account& aAccount, const AccountPart& aPart);

/// @brief Selects the partition to request one token from, attempt by attempt.
///
/// Starts at a random partition and moves to another one if its bucket is empty
/// or its daemon doesn't reply. Only when every bucket is empty is a token
/// reserved ahead, from the partition that has one first. An account far above
/// its rate limit is rejected after two partitions without a token.
class PartWalk
{
public:
  /// @param aCount Number of partitions.
  /// @param aIsAvoided Returns true for partitions that didn't reply lately;
  /// they are tried last.
  PartWalk(std::uint32_t aCount,
           const std::function<bool(std::uint32_t)>& aIsAvoided,
           Random& aRandom);

  /// @brief Partition to send the token request to.
  AccountPart Part() const;

  /// @brief Tells whether the request may reserve a future token.
  bool MayWait() const { return m_mayReserve; }

  /// @brief Moves on after a partition had no token.
  /// @param aRetryAfter Time after which it could grant the same request.
  /// @return Nothing if another request is to be sent; otherwise the account is
  /// above its rate limit, and this is the time after which to retry.
  std::optional<Milliseconds> OnRefused(Milliseconds aRetryAfter);

  /// @brief Moves on after a partition didn't reply.
  /// @return False if there is no other partition to try.
  bool OnSilent();

private:
  bool MoveOn();

  std::vector<std::uint32_t> m_order; ///< Partitions in the order of attempts.
  std::size_t m_position = 0;
  bool m_mayReserve = false;
  std::size_t m_exhaustedCount = 0; ///< Partitions without a token in the next
                                    ///< kMaxTokenWait.
  std::optional<std::size_t> m_earliest;
  Milliseconds m_earliestRetryAfter{ 0 };
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_ACCOUNT_PARTS_H
