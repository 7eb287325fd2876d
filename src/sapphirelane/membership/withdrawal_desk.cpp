#include "sapphirelane/membership/withdrawal_desk.h"

#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// How long an operator waits for other daemons to acknowledge.
constexpr Milliseconds kPatience{ 1500 };

/// Between two tries to write pending withdrawals, and what is added at random
/// so that not all daemons try at once.
constexpr Milliseconds kKeepPeriod{ 2000 };

/// Daemons that news is passed on to.
constexpr std::size_t kFanOut = 4;

} // namespace

WithdrawalDesk::WithdrawalDesk(
  HeadKeeper& aKeeper,
  HeadWriter& aWriter,
  Peers& aPeers,
  Random& aRandom,
  std::function<void(const std::set<std::string>&)> aOnChange)
  : m_keeper(aKeeper)
  , m_writer(aWriter)
  , m_peers(aPeers)
  , m_random(aRandom)
  , m_onChange(std::move(aOnChange))
{
}

void
WithdrawalDesk::Withdraw(const std::string& aKeyId, TimePoint aNow, Done aDone)
{
  const FleetConfig* config = m_keeper.Config();
  const bool exists = config != nullptr && config->keys.count(aKeyId) == 1;
  if (!exists) {
    WithdrawResult result;
    result.detail = "key \"" + aKeyId + "\" does not exist";
    aDone(result, aNow);
    return;
  }
  const Withdrawal withdrawal{ config->keys.at(aKeyId).digest,
                               aKeyId,
                               config->version };
  Add(withdrawal);
  Open open;
  open.nonce = m_random() | 1U;
  open.until = aNow + kPatience;
  open.digest = withdrawal.digest;
  open.done = std::move(aDone);
  for (NodeId member : m_peers.Others()) {
    m_peers.Send(member, WithdrawNews{ open.nonce, { withdrawal } });
  }
  m_open.push_back(std::move(open));
  m_nextKeep = aNow;
}

bool
WithdrawalDesk::Add(const Withdrawal& aWithdrawal)
{
  const FleetConfig* config = m_keeper.Config();
  const bool known = !m_pending.Add(aWithdrawal);
  if (config != nullptr) {
    m_pending.OnConfig(*config);
  }
  if (known || m_pending.Digests().count(aWithdrawal.digest) == 0) {
    return false;
  }
  m_onChange(m_pending.Digests());
  LogLine("key",
          "Key " + aWithdrawal.key_id +
            " is withdrawn ahead of the configuration.");
  return true;
}

void
WithdrawalDesk::OnNews(const std::string& aAddress,
                       const WithdrawNews& aNews,
                       NodeEnv& aEnv)
{
  std::vector<Withdrawal> fresh;
  for (const Withdrawal& withdrawal : aNews.withdrawals) {
    if (Add(withdrawal)) {
      fresh.push_back(withdrawal);
    }
  }
  if (aNews.nonce != 0) {
    aEnv.Send(aAddress, WithdrawAck{ aNews.nonce });
  }
  if (fresh.empty()) {
    return;
  }
  for (NodeId member : m_peers.Draw(kFanOut)) {
    m_peers.Send(member, WithdrawNews{ 0, fresh });
  }
}

void
WithdrawalDesk::OnAck(NodeId aFrom, const WithdrawAck& aAck)
{
  for (Open& open : m_open) {
    if (open.nonce == aAck.nonce) {
      open.acknowledged.insert(aFrom);
    }
  }
}

void
WithdrawalDesk::OnConfig()
{
  m_pending.OnConfig(*m_keeper.Config());
  m_onChange(m_pending.Digests());
}

void
WithdrawalDesk::Tick(bool aStoreAnswers, TimePoint aNow)
{
  Keep(aStoreAnswers, aNow);
  End(aNow);
}

void
WithdrawalDesk::Keep(bool aStoreAnswers, TimePoint aNow)
{
  if (m_pending.Empty() || aNow < m_nextKeep || m_writer.IsBusy()) {
    return;
  }
  const auto most = static_cast<std::uint64_t>(kKeepPeriod.count());
  m_nextKeep = aNow + kKeepPeriod + Milliseconds(m_random() % most);
  const FleetConfig* config = m_keeper.Config();
  if (config == nullptr || !aStoreAnswers) {
    return;
  }
  ChangeSet change;
  change.id = "withdraw-" + std::to_string(m_random());
  change.author = "withdrawal";
  change.rows = m_pending.Changes(*config);
  if (change.rows.empty()) {
    return;
  }
  m_writer.WriteChange(change, aNow, [](const WriteResult& aResult, TimePoint) {
    LogLine("key",
            aResult.verdict == WriteVerdict::Accepted
              ? std::string("Withdrawals are kept.")
              : "Withdrawals are not kept yet: " + aResult.detail + ".");
  });
}

void
WithdrawalDesk::End(TimePoint aNow)
{
  for (std::size_t i = 0; i < m_open.size();) {
    Open& open = m_open[i];
    const std::size_t others = m_peers.Others().size();
    const bool kept = m_pending.Digests().count(open.digest) == 0;
    const bool through = kept && open.acknowledged.size() >= others;
    if (aNow < open.until && !through) {
      ++i;
      continue;
    }
    WithdrawResult result;
    result.in_force = open.acknowledged.size() + 1;
    result.members = others + 1;
    result.kept = kept;
    const Done done = std::move(open.done);
    m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(i));
    done(result, aNow);
  }
}

} // namespace sapphirelane
