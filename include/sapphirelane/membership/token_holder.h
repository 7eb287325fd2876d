#ifndef SAPPHIRELANE_MEMBERSHIP_TOKEN_HOLDER_H
#define SAPPHIRELANE_MEMBERSHIP_TOKEN_HOLDER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/admission/account_parts.h"
#include "sapphirelane/admission/budget_holder.h"
#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/shard_keeper.h"

namespace sapphirelane {

/// @brief Shard of one part of an account's budget.
std::uint32_t
ShardOfPart(const std::string& aAccount, const AccountPart& aPart);

/// @brief Grants the tokens of the shards that this daemon holds.
///
/// A large account has several parts, each with a shard of its own. When the
/// configuration changes their number, holders that do not know it yet grant by
/// the former one for as long as they are fresh; the new buckets count as empty
/// until then.
class TokenHolder
{
public:
  TokenHolder(HeadKeeper& aKeeper, ShardKeeper& aShards);

  /// @brief Takes over a newer configuration.
  void OnConfig(TimePoint aNow);

  TokenAnswer Answer(const TokenAsk& aAsk, TimePoint aNow);
  void OnReturn(const TokenReturn& aReturn, TimePoint aNow);

  /// @brief Forgets what is over; call often.
  void Tick(TimePoint aNow);

  /// @brief Levels of the buckets of some shards, which are dropped.
  std::vector<WireBucket> TakeBuckets(const std::vector<std::uint32_t>& aShards,
                                      TimePoint aNow);

  /// @brief Drops the buckets of shards that this daemon does not act on.
  void DropUnheld(TimePoint aNow);

  /// @brief Takes over a bucket that was handed over.
  void Receive(const WireBucket& aBucket, TimePoint aNow);

private:
  /// How many parts an account has, and since when.
  struct Division
  {
    std::uint32_t parts = 1;
    TimePoint empty_until{}; ///< Buckets not used yet are empty until then.
    std::optional<TimePoint> removed = std::nullopt;
  };

  void Divide(const Account& aAccount, bool aFollows, TimePoint aNow);
  void DropParts(const std::string& aAccount, std::uint32_t aParts);
  std::optional<Account> FindPart(const std::string& aAccount,
                                  const AccountPart& aPart) const;

  HeadKeeper& m_keeper;
  ShardKeeper& m_shards;
  BudgetHolder m_budgets;
  std::map<std::string, Division> m_divisions; ///< By account.
  std::optional<std::uint64_t> m_version;      ///< Of the configuration.
  TimePoint m_nextExpiry{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_TOKEN_HOLDER_H
