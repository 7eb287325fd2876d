#include "sapphirelane/membership/head_keeper.h"

#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

/// Changes kept for peers that are a few versions behind.
constexpr std::size_t kKeptChanges = 256;

/// A fetch without an answer is given up after this time.
constexpr Milliseconds kFetchPatience{ 1000 };

} // namespace

std::string
EncodeVersionObject(const FleetConfig& aConfig,
                    const ChangeSet& aChange,
                    const std::string& aPrevious)
{
  json object = { { "version", aConfig.version },
                  { "previous", aPrevious },
                  { "change", aChange } };
  if (aPrevious.empty()) {
    object["snapshot"] = EncodeFleet(aConfig);
  }
  return object.dump();
}

HeadKeeper::HeadKeeper(StoreClient& aStore,
                       BulkClient& aBulk,
                       Adopted aAdopted,
                       Withdrawn aWithdrawn)
  : m_store(aStore)
  , m_bulk(aBulk)
  , m_adopted(std::move(aAdopted))
  , m_withdrawn(std::move(aWithdrawn))
{
}

void
HeadKeeper::OnRead(const Head& aHead, TimePoint aAsOf, TimePoint aNow)
{
  if (aHead.seq == Seq()) {
    m_lease.AddEvidence(aAsOf);
    return;
  }
  const std::uint64_t sought = m_target ? m_target->seq : 0;
  if (aHead.seq < Seq() || aHead.seq < sought) {
    return;
  }
  m_targetAsOf = aAsOf;
  if (aHead.seq > sought) {
    m_target = aHead;
    m_targetChanges.clear();
    Pursue(aNow);
  }
}

void
HeadKeeper::Pursue(TimePoint aNow)
{
  if (m_target->config_version == m_config.version) {
    const Head head = *m_target;
    Adopt(head, m_config, {}, aNow);
    return;
  }
  m_targetChanges.clear();
  ReadObject(m_target->config_object);
}

void
HeadKeeper::ReadObject(const std::string& aName)
{
  const std::uint64_t sought = m_target->seq;
  StoreCall call;
  call.kind = StoreCall::Kind::GetObject;
  call.name = aName;
  m_store.Call(call,
               [this, sought](const StoreResult& aResult, TimePoint aNow) {
                 // A newer head may be sought, or held, by now.
                 if (m_target && m_target->seq == sought) {
                   OnObject(aResult, aNow);
                 }
               });
}

void
HeadKeeper::OnObject(const StoreResult& aResult, TimePoint aNow)
{
  if (aResult.status != StoreResult::Status::Ok) {
    // The next read of the head or a peer brings it again.
    m_target.reset();
    return;
  }
  try {
    const json object = json::parse(aResult.text);
    const KeptChange kept{ object.at("version").get<std::uint64_t>(),
                           object.at("change").get<ChangeSet>() };
    m_targetChanges.push_back(kept);
    const bool whole = object.contains("snapshot");
    const bool next = m_head && kept.version == m_config.version + 1;
    if (!whole && !next) {
      ReadObject(object.at("previous").get<std::string>());
      return;
    }
    std::vector<KeptChange> changes(m_targetChanges.rbegin(),
                                    m_targetChanges.rend());
    FleetConfig config = m_config;
    if (!next) {
      config = DecodeFleet(object.at("snapshot").get<std::string>());
    }
    AdoptWith(*m_target, std::move(config), changes, aNow);
  } catch (const std::exception& error) {
    LogLine("config", std::string("An object is not usable: ") + error.what());
    m_target.reset();
  }
}

void
HeadKeeper::AdoptWith(const Head& aHead,
                      FleetConfig aBase,
                      const std::vector<KeptChange>& aChanges,
                      TimePoint aNow)
{
  for (const KeptChange& kept : aChanges) {
    if (kept.version <= aBase.version) {
      continue;
    }
    if (kept.version != aBase.version + 1) {
      throw ConfigError("change to version " + std::to_string(kept.version) +
                        " does not follow version " +
                        std::to_string(aBase.version));
    }
    aBase = Apply(aBase, kept.change);
  }
  if (aBase.version != aHead.config_version) {
    throw ConfigError("changes lead to version " +
                      std::to_string(aBase.version) + ", head has " +
                      std::to_string(aHead.config_version));
  }
  const Head head = aHead;
  Adopt(head, std::move(aBase), aChanges, aNow);
}

void
HeadKeeper::OnWritten(const Head& aHead,
                      const FleetConfig& aConfig,
                      const std::vector<KeptChange>& aChanges,
                      TimePoint aAsOf,
                      TimePoint aNow)
{
  if (aHead.seq <= Seq()) {
    return;
  }
  m_targetAsOf = aAsOf;
  m_target = aHead;
  Adopt(aHead, aConfig, aChanges, aNow);
}

void
HeadKeeper::FetchFrom(const std::string& aAddress, TimePoint aNow)
{
  const bool busy = m_fetching && aNow - *m_fetching < kFetchPatience;
  if (busy || aAddress.empty()) {
    return;
  }
  m_fetching = aNow;
  m_bulk.Call(aAddress,
              FetchState{ m_head ? m_config.version : 0 },
              [this](const BulkReply& aReply, TimePoint aThen) {
                m_fetching.reset();
                if (aReply && std::holds_alternative<StateReply>(*aReply)) {
                  OnState(std::get<StateReply>(*aReply), aThen);
                }
              });
}

void
HeadKeeper::OnState(const StateReply& aReply, TimePoint aNow)
{
  if (!aReply.known) {
    return;
  }
  m_withdrawn(aReply.withdrawals, aNow);
  try {
    const Head head = DecodeHead(aReply.head);
    if (head.seq <= Seq()) {
      return;
    }
    FleetConfig base = m_config;
    if (!aReply.snapshot.empty()) {
      base = DecodeFleet(aReply.snapshot);
    }
    std::vector<KeptChange> changes;
    for (const std::string& text : aReply.changes) {
      const json change = json::parse(text);
      changes.push_back({ change.at("version").get<std::uint64_t>(),
                          change.at("change").get<ChangeSet>() });
    }
    AdoptWith(head, std::move(base), changes, aNow);
  } catch (const std::exception& error) {
    LogLine("config",
            std::string("A peer's state is not usable: ") + error.what());
  }
}

void
HeadKeeper::Adopt(const Head& aHead,
                  FleetConfig aConfig,
                  const std::vector<KeptChange>& aChanges,
                  TimePoint aNow)
{
  const std::optional<Head> earlier = std::move(m_head);
  m_head = aHead;
  m_config = std::move(aConfig);
  // Kept only once they are part of an adopted head: peers are served these.
  for (const KeptChange& kept : aChanges) {
    KeepChange(kept);
  }
  // Evidence that nothing newer than the earlier head was written before a
  // moment holds for this newer head as well, so the lease goes on.
  if (m_target && m_target->seq <= aHead.seq) {
    if (m_target->seq == aHead.seq) {
      m_lease.AddEvidence(m_targetAsOf);
    }
    m_target.reset();
  }
  m_adopted(earlier, aNow);
}

void
HeadKeeper::KeepChange(const KeptChange& aChange)
{
  if (!m_changes.empty() && m_changes.back().version >= aChange.version) {
    return;
  }
  if (!m_changes.empty() && m_changes.back().version + 1 != aChange.version) {
    m_changes.clear();
  }
  m_changes.push_back(aChange);
  if (m_changes.size() > kKeptChanges) {
    m_changes.pop_front();
  }
}

StateReply
HeadKeeper::Serve(const FetchState& aRequest) const
{
  StateReply reply;
  if (!m_head) {
    return reply;
  }
  reply.known = true;
  reply.head = EncodeHead(*m_head);
  if (aRequest.config_version == m_config.version) {
    return reply;
  }
  const bool kept = aRequest.config_version > 0 && !m_changes.empty() &&
                    m_changes.back().version == m_config.version &&
                    m_changes.front().version <= aRequest.config_version + 1 &&
                    aRequest.config_version < m_config.version;
  if (!kept) {
    reply.snapshot = EncodeFleet(m_config);
    return reply;
  }
  for (const KeptChange& entry : m_changes) {
    if (entry.version > aRequest.config_version) {
      const json change = { { "version", entry.version },
                            { "change", entry.change } };
      reply.changes.push_back(change.dump());
    }
  }
  return reply;
}

bool
HeadKeeper::HasChange(const std::string& aChangeId) const
{
  for (const KeptChange& kept : m_changes) {
    if (kept.change.id == aChangeId) {
      return true;
    }
  }
  return false;
}

} // namespace sapphirelane
