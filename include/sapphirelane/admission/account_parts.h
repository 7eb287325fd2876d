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

/// @brief Parts that the budget of one account is divided into, at the most.
constexpr std::uint32_t kMostParts = 8;

/// @brief One of the equal parts of an account's rate and burst.
///
/// Each part has a holder of its own, so that the loss of one daemon stops only
/// a part of an account. Rate and burst of all parts together are the
/// account's.
struct AccountPart
{
  std::uint32_t index = 0;
  std::uint32_t count = 1;
};

/// @brief Number of parts of an account: one, unless its bucket is large.
std::uint32_t
PartsOf(const Account& aAccount);

/// @brief Name of a part's bucket; the account's id if there is one part only.
std::string
PartId(const std::string& aAccount, const AccountPart& aPart);

/// @brief The part as an account of its own.
Account
PartOf(const Account& aAccount, const AccountPart& aPart);

/// @brief Decides which part of an account to ask next for one token.
///
/// Begins at random and goes on to another part when one is empty or silent.
/// Only when every part is empty does it wait for a token, at the part that has
/// one first. An account that is far past its rate is found out by two parts.
class PartWalk
{
public:
  /// @param aAvoids Tells parts that were silent lately; they come last.
  PartWalk(std::uint32_t aCount,
           const std::function<bool(std::uint32_t)>& aAvoids,
           Random& aRandom);

  /// @brief The part to ask now.
  AccountPart Part() const;

  /// @brief Tells whether a token that is promised ahead will do.
  bool MayWait() const { return m_waits; }

  /// @brief Goes on after a part had no token.
  /// @param aRetryAfter When the same question could be granted.
  /// @return Nothing if another question is to be asked, or the time after
  /// which to try again: the account is past its rate and burst.
  std::optional<Milliseconds> OnRefused(Milliseconds aRetryAfter);

  /// @brief Goes on after a part gave no answer.
  /// @return False if there is no other part to ask.
  bool OnSilent();

private:
  bool GoOn();

  std::vector<std::uint32_t> m_order;
  std::size_t m_place = 0;
  bool m_waits = false;
  std::size_t m_far = 0; ///< Parts without a token for a long time.
  std::optional<std::size_t> m_best;
  Milliseconds m_bestAfter{ 0 };
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_ACCOUNT_PARTS_H
