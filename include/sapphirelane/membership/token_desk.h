#ifndef SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H
#define SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/admission/budget_holder.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/shard_keeper.h"

namespace sapphirelane {

/// @brief Asks for tokens, and grants those of the shards held.
class TokenDesk
{
public:
  TokenDesk(HeadKeeper& aKeeper,
            ShardKeeper& aShards,
            Peers& aPeers,
            Random& aRandom);

  // As one that asks.

  /// @brief Starts a question; exactly one result follows.
  AskId Ask(const std::string& aAccount, TimePoint aDeadline, TimePoint aNow);

  /// @brief Gives a token back unused.
  void Return(AskId aAsk, TimePoint aNow);

  void OnAnswer(const TokenAnswer& aAnswer, TimePoint aNow);

  /// @brief Repeats questions and ends those past their deadline.
  void Tick(TimePoint aNow);

  std::vector<TokenResult> TakeResults();

  // As a holder.

  TokenAnswer Answer(const TokenAsk& aAsk, TimePoint aNow);
  void OnReturn(const TokenReturn& aReturn, TimePoint aNow);

  /// @brief Levels of the buckets of a shard, which are dropped.
  std::vector<WireBucket> TakeBuckets(const std::vector<std::uint32_t>& aShards,
                                      TimePoint aNow);

  /// @brief Drops the buckets of shards that this daemon does not act on.
  void DropUnheld(TimePoint aNow);

  /// @brief Takes over a bucket that was handed over.
  void Receive(const WireBucket& aBucket, TimePoint aNow);

private:
  /// One question in the fleet on behalf of an AskId.
  struct Open
  {
    AskId ask = 0;
    std::string account;
    TimePoint deadline{};
    std::uint64_t question = 0; ///< Renewed when its token could not be used.
    TimePoint asked{};          ///< When the question was first sent.
    TimePoint resend{};
    std::uint32_t tries = 0;
  };

  struct Granted
  {
    std::string account;
    std::uint64_t question = 0;
    TimePoint until{};
  };

  /// A token that may be used from a later moment on.
  struct Ripening
  {
    TokenResult result;
    TimePoint from{};
  };

  void NewQuestion(Open& aOpen, TimePoint aNow);
  void Send(Open& aOpen, TimePoint aNow);
  void SendReturn(const TokenReturn& aReturn, TimePoint aNow);
  void Settle(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow);

  HeadKeeper& m_keeper;
  ShardKeeper& m_shards;
  Peers& m_peers;
  Random& m_random;
  BudgetHolder m_budgets;
  AskId m_lastAsk = 0;
  TimePoint m_nextExpiry{};
  std::map<std::uint64_t, Open> m_open; ///< By question.
  std::map<AskId, Granted> m_granted;
  std::map<std::uint64_t, Granted> m_abandoned; ///< By question.
  std::vector<Ripening> m_ripening;
  std::vector<TokenResult> m_results;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H
