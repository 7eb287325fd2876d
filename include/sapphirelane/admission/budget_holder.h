#ifndef SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H
#define SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sapphirelane/admission/token_bucket.h"
#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Longest time ahead for which a token may be reserved.
constexpr Milliseconds kMostTokenWait{ 1000 };

/// @brief Capacity of an account's token bucket.
///
/// A granted token may be used up to kGrantLife later, so the capacity is the
/// burst less the tokens that accrue in that time.
double
BucketCapacity(const Account& aAccount);

/// @brief Reply to a request for one token.
struct Grant
{
  bool granted = false;
  Milliseconds wait{ 0 };        ///< If granted: time until it may be used.
  Milliseconds retry_after{ 0 }; ///< If not granted: time to the next attempt.
};

/// @brief Bucket level that a new owner may start from.
struct BucketLevel
{
  double level = 0;
  TimePoint from{}; ///< Now, or the time of the last reservation.
};

/// @brief Token buckets of the accounts whose shard a daemon owns.
///
/// A token counts as spent when it is granted, see BucketCapacity. A future
/// token may be reserved: it is granted with the time to wait for it.
class BudgetHolder
{
public:
  /// @brief Grants one token of an account, if there is one.
  ///
  /// Idempotent: a repeated request gets the same reply until it expires.
  ///
  /// @param aRequestId Unique number of the request.
  /// @param aEmptyAt Time at which the bucket of an account not seen before is
  /// empty; no token may be used earlier.
  /// @param aLatest No token is reserved for a later time.
  Grant Ask(const Account& aAccount,
            std::uint64_t aRequestId,
            TimePoint aEmptyAt,
            TimePoint aLatest,
            TimePoint aNow);

  /// @brief Refunds the token of a granted request; a second call does nothing.
  ///
  /// A token granted before the bucket was handed over and back is lost, since
  /// the levels of the buckets in between are not known here.
  void Return(const Account& aAccount,
              std::uint64_t aRequestId,
              TimePoint aNow);

  /// @brief Creates a bucket with the level from a hand-over.
  /// @param aFrom Time at which it has that level.
  void Start(const Account& aAccount, double aLevel, TimePoint aFrom);

  /// @brief Returns a lower bound of a bucket's level and its time, for a
  /// hand-over.
  std::optional<BucketLevel> Level(const Account& aAccount, TimePoint aNow);

  /// @brief Removes an account's bucket when its shard changes owner.
  void Drop(const std::string& aAccount);

  /// @brief Removes the buckets of the accounts that match a predicate.
  void DropIf(const std::function<bool(const std::string&)>& aSelects);

  /// @brief Removes replies whose requests can no longer be repeated.
  void Expire(TimePoint aNow);

  /// @brief Number of buckets.
  std::size_t Size() const { return m_buckets.size(); }

private:
  struct Reply
  {
    Grant grant;
    TimePoint from{};           ///< If granted: time from which it may be used.
    TimePoint bucket_created{}; ///< Creation time of the bucket it came from.
    TimePoint time{};           ///< Time of the request.
  };

  TokenBucket& FindOrCreate(const Account& aAccount,
                            TimePoint aEmptyAt,
                            TimePoint aNow);

  std::map<std::string, TokenBucket> m_buckets;
  std::map<std::uint64_t, Reply> m_replies;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H
