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

/// @brief Longest time for which a token may be promised ahead.
constexpr Milliseconds kMostTokenWait{ 1000 };

/// @brief Tokens that an account's bucket holds at the most.
///
/// A granted token may be used up to kGrantLife late, so the bucket holds less
/// than the burst by what the account may use in that time.
double
BucketCapacity(const Account& aAccount);

/// @brief Answer to a question for one token.
struct Grant
{
  bool granted = false;
  Milliseconds wait{ 0 };        ///< Granted: use it after this time.
  Milliseconds retry_after{ 0 }; ///< Not granted: earliest useful retry.
};

/// @brief What a new holder may count on.
struct BucketLevel
{
  double level = 0;
  TimePoint from{}; ///< Now, or when the last promised token is spent.
};

/// @brief Token buckets of the accounts whose shard a daemon holds.
///
/// A token counts as spent when it is granted. See BucketCapacity. A token may
/// be promised ahead: it is granted with the time to wait.
class BudgetHolder
{
public:
  /// @brief Grants one token of an account.
  ///
  /// The same question gets the same answer again while it is remembered.
  ///
  /// @param aQuestion Unique number of the question.
  /// @param aLatest No token is promised for after this moment.
  /// @param aEmptyAt When an account not seen before has an empty bucket;
  /// until then it grants nothing that may be used earlier.
  Grant Ask(const Account& aAccount,
            std::uint64_t aQuestion,
            TimePoint aEmptyAt,
            TimePoint aLatest,
            TimePoint aNow);

  /// @brief Takes back the token that a question was granted, once.
  ///
  /// One that was granted from a bucket before a hand-over is lost: how full
  /// the buckets in between were is not known here.
  void Return(const Account& aAccount, std::uint64_t aQuestion, TimePoint aNow);

  /// @brief Starts a bucket as it was handed over.
  /// @param aFrom When it has that level.
  void Start(const Account& aAccount, double aLevel, TimePoint aFrom);

  /// @brief Tells a level that a bucket surely has, and when, for a hand-over.
  std::optional<BucketLevel> Level(const Account& aAccount, TimePoint aNow);

  /// @brief Drops an account's bucket when its shard is given up.
  void Drop(const std::string& aAccount);

  /// @brief Drops the buckets of the accounts that a predicate selects.
  void DropIf(const std::function<bool(const std::string&)>& aSelects);

  /// @brief Forgets answers that nobody can ask for again.
  void Expire(TimePoint aNow);

  /// @brief Number of buckets held.
  std::size_t Size() const { return m_buckets.size(); }

private:
  struct Answer
  {
    Grant grant;
    TimePoint from{};  ///< When granted: from when the token may be used.
    TimePoint begun{}; ///< When the bucket began that it was granted from.
    TimePoint time{};
  };

  TokenBucket& Find(const Account& aAccount,
                    TimePoint aEmptyAt,
                    TimePoint aNow);

  std::map<std::string, TokenBucket> m_buckets;
  std::map<std::uint64_t, Answer> m_answers;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H
