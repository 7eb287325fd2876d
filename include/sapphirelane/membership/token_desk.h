#ifndef SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H
#define SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/admission/account_parts.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/shard_keeper.h"
#include "sapphirelane/membership/token_holder.h"

namespace sapphirelane {

/// @brief Asks the holders of an account's parts for tokens.
class TokenDesk
{
public:
  TokenDesk(HeadKeeper& aKeeper,
            ShardKeeper& aShards,
            TokenHolder& aHolder,
            Peers& aPeers,
            Random& aRandom);

  /// @brief Starts a question; exactly one result follows.
  AskId Ask(const std::string& aAccount, TimePoint aDeadline, TimePoint aNow);

  /// @brief Gives a token back unused.
  void Return(AskId aAsk, TimePoint aNow);

  void OnAnswer(const TokenAnswer& aAnswer, TimePoint aNow);

  /// @brief Repeats questions and ends those past their deadline.
  void Tick(TimePoint aNow);

  std::vector<TokenResult> TakeResults();

private:
  /// One question in the fleet on behalf of an AskId.
  struct Open
  {
    AskId ask = 0;
    std::string account;
    TimePoint deadline{};
    PartWalk walk;              ///< Parts asked so far, and the one asked now.
    std::uint64_t question = 0; ///< New for each part that is asked.
    TimePoint asked{};          ///< When the question was first sent.
    TimePoint resend{};
    std::uint32_t tries = 0;
  };

  struct Granted
  {
    TokenReturn back; ///< To be sent if the token is not used.
    TimePoint until{};
  };

  /// A token that may be used from a later moment on.
  struct Ripening
  {
    TokenResult result;
    TimePoint from{};
  };

  PartWalk NewWalk(const std::string& aAccount, TimePoint aNow);
  NodeId HolderOf(const std::string& aAccount, const AccountPart& aPart) const;
  void NewQuestion(Open aOpen, TimePoint aNow);
  void Send(Open& aOpen, TimePoint aNow);
  void SendReturn(const TokenReturn& aReturn, TimePoint aNow);
  void Settle(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow);
  void OnRefused(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow);
  void OnGranted(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow);
  bool GoOnSilent(const Open& aOpen, TimePoint aNow);
  void Abandon(const Open& aOpen, TimePoint aNow);
  void OnDue(std::uint64_t aQuestion, TimePoint aNow);
  void TakeRipe(TimePoint aNow);
  void Forget(TimePoint aNow);

  HeadKeeper& m_keeper;
  ShardKeeper& m_shards;
  TokenHolder& m_holder;
  Peers& m_peers;
  Random& m_random;
  AskId m_lastAsk = 0;
  std::map<std::uint64_t, Open> m_open; ///< By question.
  std::map<AskId, Granted> m_granted;
  std::map<std::uint64_t, Granted> m_abandoned; ///< By question.
  std::map<NodeId, TimePoint> m_silentUntil; ///< Holders that did not answer.
  std::vector<Ripening> m_ripening;
  std::vector<TokenResult> m_results;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_TOKEN_DESK_H
