#include "sapphirelane/membership/token_holder.h"

#include <algorithm>
#include <set>

#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kExpiryPeriod{ 500 };

/// For this time after a change some other holder may grant by the former
/// configuration.
constexpr Milliseconds kFormerHolders = kFreshFor + kDriftMargin;

} // namespace

std::uint32_t
ShardOfPart(const std::string& aAccount, const AccountPart& aPart)
{
  return ShardOf(PartId(aAccount, aPart));
}

TokenHolder::TokenHolder(HeadKeeper& aKeeper, ShardKeeper& aShards)
  : m_keeper(aKeeper)
  , m_shards(aShards)
{
}

void
TokenHolder::OnConfig(TimePoint aNow)
{
  const FleetConfig& config = *m_keeper.Config();
  // What a version that was skipped said of an account is not known.
  const bool follows = m_version && config.version <= *m_version + 1;
  m_version = config.version;
  for (const auto& entry : config.accounts) {
    Divide(entry.second, follows, aNow);
  }
  for (auto it = m_divisions.begin(); it != m_divisions.end();) {
    Division& division = it->second;
    const bool gone = config.accounts.count(it->first) == 0;
    if (gone && !division.removed) {
      DropParts(it->first, division.parts);
      division.removed = aNow;
    }
    const bool over =
      division.removed && aNow - *division.removed > kFormerHolders;
    it = over ? m_divisions.erase(it) : std::next(it);
  }
}

void
TokenHolder::Divide(const Account& aAccount, bool aFollows, TimePoint aNow)
{
  const std::uint32_t parts = PartsOf(aAccount);
  auto [found, isNew] = m_divisions.try_emplace(aAccount.id);
  Division& division = found->second;
  const bool same = !isNew && !division.removed && division.parts == parts;
  if (same) {
    return;
  }
  if (!isNew) {
    DropParts(aAccount.id, division.parts);
  }
  const bool unknown = !isNew || !aFollows;
  division.parts = parts;
  division.removed.reset();
  division.empty_until = unknown ? aNow + kFormerHolders : TimePoint{};
}

void
TokenHolder::DropParts(const std::string& aAccount, std::uint32_t aParts)
{
  for (std::uint32_t index = 0; index < aParts; ++index) {
    m_budgets.Drop(PartId(aAccount, { index, aParts }));
  }
}

std::optional<Account>
TokenHolder::FindPart(const std::string& aAccount,
                      const AccountPart& aPart) const
{
  const FleetConfig* config = m_keeper.Config();
  if (config == nullptr) {
    return std::nullopt;
  }
  auto account = config->accounts.find(aAccount);
  const bool fits = account != config->accounts.end() &&
                    aPart.count == PartsOf(account->second) &&
                    aPart.index < aPart.count;
  return fits ? std::make_optional(PartOf(account->second, aPart))
              : std::nullopt;
}

TokenAnswer
TokenHolder::Answer(const TokenAsk& aAsk, TimePoint aNow)
{
  TokenAnswer answer;
  answer.ask = aAsk.ask;
  const auto part = FindPart(aAsk.account, { aAsk.part, aAsk.parts });
  if (!part) {
    return answer;
  }
  const std::uint32_t shard = ShardOf(part->id);
  const bool acts =
    m_keeper.Lease().IsFresh(aNow) && m_shards.IsActing(shard, aNow);
  if (!acts) {
    return answer;
  }
  const TimePoint emptyAt = std::max(m_shards.EmptySince(shard),
                                     m_divisions.at(aAsk.account).empty_until);
  // A token promised for after the lease would add to those of a new holder.
  const TimePoint latest = aAsk.may_wait ? m_keeper.Lease().Until() : aNow;
  const Grant grant = m_budgets.Ask(*part, aAsk.ask, emptyAt, latest, aNow);
  answer.holder = true;
  answer.granted = grant.granted;
  answer.wait_ms = static_cast<std::uint32_t>(grant.wait.count());
  answer.retry_ms = static_cast<std::uint32_t>(grant.retry_after.count());
  return answer;
}

void
TokenHolder::OnReturn(const TokenReturn& aReturn, TimePoint aNow)
{
  const auto part = FindPart(aReturn.account, { aReturn.part, aReturn.parts });
  if (part) {
    m_budgets.Return(*part, aReturn.ask, aNow);
  }
}

void
TokenHolder::Tick(TimePoint aNow)
{
  if (aNow >= m_nextExpiry) {
    m_budgets.Expire(aNow);
    m_nextExpiry = aNow + kExpiryPeriod;
  }
}

std::vector<WireBucket>
TokenHolder::TakeBuckets(const std::vector<std::uint32_t>& aShards,
                         TimePoint aNow)
{
  std::vector<WireBucket> buckets;
  const FleetConfig* config = m_keeper.Config();
  if (config == nullptr) {
    return buckets;
  }
  const std::set<std::uint32_t> shards(aShards.begin(), aShards.end());
  for (const auto& [id, account] : config->accounts) {
    const std::uint32_t parts = PartsOf(account);
    for (std::uint32_t index = 0; index < parts; ++index) {
      const Account part = PartOf(account, { index, parts });
      const auto level = shards.count(ShardOf(part.id)) == 1
                           ? m_budgets.Level(part, aNow)
                           : std::nullopt;
      if (level) {
        const auto after =
          std::chrono::ceil<Milliseconds>(level->from - aNow).count();
        buckets.push_back({ id,
                            static_cast<std::uint8_t>(index),
                            static_cast<std::uint8_t>(parts),
                            level->level,
                            static_cast<std::uint64_t>(after) });
        m_budgets.Drop(part.id);
      }
    }
  }
  return buckets;
}

void
TokenHolder::DropUnheld(TimePoint aNow)
{
  m_budgets.DropIf([&](const std::string& aBucket) {
    return !m_shards.IsActing(ShardOf(aBucket), aNow);
  });
}

void
TokenHolder::Receive(const WireBucket& aBucket, TimePoint aNow)
{
  const auto part = FindPart(aBucket.account, { aBucket.part, aBucket.parts });
  if (part) {
    m_budgets.Start(
      *part, aBucket.level, aNow + Milliseconds(aBucket.after_ms));
  }
}

} // namespace sapphirelane
