#ifndef SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H
#define SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H

#include <cstdint>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Answer to a question for tokens.
struct Grant
{
  std::uint32_t tokens = 0; ///< May be used within kGrantLife of the question.
  Milliseconds retry_after{}; ///< When tokens are 0: earliest useful retry.
};

/// @brief Token buckets of the accounts whose shard a daemon holds.
///
/// Tokens count as spent when they are granted. Capacity is burst - rate x
/// kGrantLife, so that a grant used late still lies within rate and burst. A
/// bucket that its holder has just taken over starts empty.
class BudgetHolder
{
public:
  /// @brief Grants up to a number of tokens of an account.
  ///
  /// The same question gets the same answer again, for kAnswerMemory.
  ///
  /// @param aQuestion Unique number of the question.
  Grant Ask(const Account& aAccount,
            std::uint64_t aQuestion,
            std::uint32_t aWanted,
            TimePoint aNow);

  /// @brief Takes back tokens that the asker can no longer use.
  ///
  /// Each question is credited once, at most what it was granted.
  void Return(const Account& aAccount,
              std::uint64_t aQuestion,
              std::uint32_t aTokens,
              TimePoint aNow);

  /// @brief Starts a bucket with a level, as handed over or empty.
  void Start(const Account& aAccount, double aLevel, TimePoint aNow);

  /// @brief Tells a bucket's level, for a hand-over.
  double Level(const Account& aAccount, TimePoint aNow);

  /// @brief Drops an account's bucket when its shard is given up.
  void Drop(const std::string& aAccount);

  /// @brief Forgets answers that nobody can ask for again.
  void Expire(TimePoint aNow);

  /// @brief Number of buckets held.
  std::size_t Size() const { return m_buckets.size(); }

private:
  struct Bucket
  {
    double level = 0;
    TimePoint filled{};
  };

  struct Answer
  {
    Grant grant;
    TimePoint time{};
  };

  Bucket& Fill(const Account& aAccount, TimePoint aNow);

  std::map<std::string, Bucket> m_buckets;
  std::map<std::uint64_t, Answer> m_answers;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_BUDGET_HOLDER_H
