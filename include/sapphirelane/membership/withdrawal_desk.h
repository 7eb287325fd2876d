#ifndef SAPPHIRELANE_MEMBERSHIP_WITHDRAWAL_DESK_H
#define SAPPHIRELANE_MEMBERSHIP_WITHDRAWAL_DESK_H

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "sapphirelane/membership/head_keeper.h"
#include "sapphirelane/membership/head_writer.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/withdrawals.h"

namespace sapphirelane {

/// @brief How far a withdrawal has come.
struct WithdrawResult
{
  std::size_t in_force = 0; ///< Daemons that have acknowledged it.
  std::size_t members = 0;
  bool kept = false; ///< The configuration has taken it over.
  std::string detail;
};

/// @brief Spreads withdrawn keys and has them written to the configuration.
class WithdrawalDesk
{
public:
  using Done = std::function<void(const WithdrawResult&, TimePoint)>;

  /// @param aOnChange Called with the digests withdrawn when they change.
  WithdrawalDesk(HeadKeeper& aKeeper,
                 HeadWriter& aWriter,
                 Peers& aPeers,
                 Random& aRandom,
                 std::function<void(const std::set<std::string>&)> aOnChange);

  /// @brief Withdraws a key at once; the result follows within seconds.
  void Withdraw(const std::string& aKeyId, TimePoint aNow, Done aDone);

  /// @brief Takes in a withdrawal from another daemon.
  /// @return True if it is new and the configuration still has the key.
  bool Add(const Withdrawal& aWithdrawal);

  /// @brief Takes in news and passes on what is new.
  void OnNews(const std::string& aAddress,
              const WithdrawNews& aNews,
              NodeEnv& aEnv);

  void OnAck(NodeId aFrom, const WithdrawAck& aAck);

  /// @brief Drops what a new configuration has taken over.
  void OnConfig();

  std::vector<Withdrawal> Pending() const { return m_pending.All(); }

  /// @brief Writes what is pending, and ends withdrawals that are through.
  /// @param aStoreAnswers The platform answered lately.
  void Tick(bool aStoreAnswers, TimePoint aNow);

private:
  struct Open
  {
    std::uint64_t nonce = 0;
    TimePoint until{};
    std::string digest;
    std::set<NodeId> acknowledged;
    Done done;
  };

  void Keep(bool aStoreAnswers, TimePoint aNow);
  void End(TimePoint aNow);

  HeadKeeper& m_keeper;
  HeadWriter& m_writer;
  Peers& m_peers;
  Random& m_random;
  std::function<void(const std::set<std::string>&)> m_onChange;
  Withdrawals m_pending;
  std::vector<Open> m_open;
  TimePoint m_nextKeep{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_WITHDRAWAL_DESK_H
