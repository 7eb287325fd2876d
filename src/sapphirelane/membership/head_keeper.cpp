#include "sapphirelane/membership/head_keeper.h"

#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

/// Number of changes kept for peers that are a few versions behind.
constexpr std::size_t kMaxRecentChanges = 256;

/// Time without a reply after which another fetch may start.
constexpr Milliseconds kFetchTimeout{ 1000 };

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
                       Adopted aOnAdopted,
                       Withdrawn aOnRevocations)
  : m_store(aStore)
  , m_bulk(aBulk)
  , m_onAdopted(std::move(aOnAdopted))
  , m_onRevocations(std::move(aOnRevocations))
{
}

void
HeadKeeper::OnRead(const Head& aHead, TimePoint aAsOf, TimePoint aNow)
{
  if (aHead.seq == Seq()) {
    m_lease.AddEvidence(aAsOf);
    return;
  }
  const std::uint64_t targetSeq = m_target ? m_target->seq : 0;
  if (aHead.seq < Seq() || aHead.seq < targetSeq) {
    return;
  }
  m_targetAsOf = aAsOf;
  if (aHead.seq > targetSeq) {
    m_target = aHead;
    m_targetChanges.clear();
    FetchTargetConfig(aNow);
  }
}

void
HeadKeeper::FetchTargetConfig(TimePoint aNow)
{
  if (m_target->config_version == m_config.version) {
    const Head head = *m_target;
    Adopt(head, m_config, {}, aNow);
    return;
  }
  m_targetChanges.clear();
  ReadConfigObject(m_target->config_object);
}

void
HeadKeeper::ReadConfigObject(const std::string& aName)
{
  const std::uint64_t targetSeq = m_target->seq;
  StoreCall call;
  call.kind = StoreCall::Kind::GetObject;
  call.name = aName;
  m_store.Call(call,
               [this, targetSeq](const StoreResult& aResult, TimePoint aNow) {
                 // By now a newer head may be the target, or adopted.
                 if (m_target && m_target->seq == targetSeq) {
                   OnConfigObject(aResult, aNow);
                 }
               });
}

void
HeadKeeper::OnConfigObject(const StoreResult& aResult, TimePoint aNow)
{
  if (aResult.status != StoreResult::Status::Ok) {
    // The next read of the head, or a peer, starts another attempt.
    m_target.reset();
    return;
  }
  try {
    const json object = json::parse(aResult.text);
    const KeptChange entry{ object.at("version").get<std::uint64_t>(),
                            object.at("change").get<ChangeSet>() };
    m_targetChanges.push_back(entry);
    const bool hasSnapshot = object.contains("snapshot");
    const bool isNextVersion = m_head && entry.version == m_config.version + 1;
    if (!hasSnapshot && !isNextVersion) {
      ReadConfigObject(object.at("previous").get<std::string>());
      return;
    }
    std::vector<KeptChange> changes(m_targetChanges.rbegin(),
                                    m_targetChanges.rend());
    FleetConfig config = m_config;
    if (!isNextVersion) {
      config = DecodeFleet(object.at("snapshot").get<std::string>());
    }
    ReplayAndAdopt(*m_target, std::move(config), changes, aNow);
  } catch (const std::exception& error) {
    LogLine("config",
            std::string("Cannot use a configuration object: ") + error.what());
    m_target.reset();
  }
}

void
HeadKeeper::ReplayAndAdopt(const Head& aHead,
                           FleetConfig aBase,
                           const std::vector<KeptChange>& aChanges,
                           TimePoint aNow)
{
  for (const KeptChange& entry : aChanges) {
    if (entry.version <= aBase.version) {
      continue;
    }
    if (entry.version != aBase.version + 1) {
      throw ConfigError(
        "the change to version " + std::to_string(entry.version) +
        " cannot be applied to version " + std::to_string(aBase.version));
    }
    aBase = Apply(aBase, entry.change);
  }
  if (aBase.version != aHead.config_version) {
    throw ConfigError("the changes end at version " +
                      std::to_string(aBase.version) + " but the head names " +
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
  const bool fetchInProgress =
    m_fetchStarted && aNow - *m_fetchStarted < kFetchTimeout;
  if (fetchInProgress || aAddress.empty()) {
    return;
  }
  m_fetchStarted = aNow;
  m_bulk.Call(aAddress,
              FetchState{ m_head ? m_config.version : 0 },
              [this](const BulkReply& aReply, TimePoint aReplyTime) {
                m_fetchStarted.reset();
                if (aReply && std::holds_alternative<StateReply>(*aReply)) {
                  OnPeerState(std::get<StateReply>(*aReply), aReplyTime);
                }
              });
}

void
HeadKeeper::OnPeerState(const StateReply& aReply, TimePoint aNow)
{
  if (!aReply.known) {
    return;
  }
  m_onRevocations(aReply.withdrawals, aNow);
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
    ReplayAndAdopt(head, std::move(base), changes, aNow);
  } catch (const std::exception& error) {
    LogLine("config",
            std::string("Cannot use the state received from a peer: ") +
              error.what());
  }
}

void
HeadKeeper::Adopt(const Head& aHead,
                  FleetConfig aConfig,
                  const std::vector<KeptChange>& aChanges,
                  TimePoint aNow)
{
  const std::optional<Head> previous = std::move(m_head);
  m_head = aHead;
  m_config = std::move(aConfig);
  // Changes are recorded only once they are part of an adopted head, because
  // peers are served from this list.
  for (const KeptChange& entry : aChanges) {
    AppendChange(entry);
  }
  // Evidence that nothing newer than the previous head was written before a
  // given moment holds for this newer head as well, so the lease continues.
  if (m_target && m_target->seq <= aHead.seq) {
    if (m_target->seq == aHead.seq) {
      m_lease.AddEvidence(m_targetAsOf);
    }
    m_target.reset();
  }
  m_onAdopted(previous, aNow);
}

void
HeadKeeper::AppendChange(const KeptChange& aChange)
{
  if (!m_recentChanges.empty() &&
      m_recentChanges.back().version >= aChange.version) {
    return;
  }
  if (!m_recentChanges.empty() &&
      m_recentChanges.back().version + 1 != aChange.version) {
    m_recentChanges.clear();
  }
  m_recentChanges.push_back(aChange);
  if (m_recentChanges.size() > kMaxRecentChanges) {
    m_recentChanges.pop_front();
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
  const bool hasChanges =
    aRequest.config_version > 0 && !m_recentChanges.empty() &&
    m_recentChanges.back().version == m_config.version &&
    m_recentChanges.front().version <= aRequest.config_version + 1 &&
    aRequest.config_version < m_config.version;
  if (!hasChanges) {
    reply.snapshot = EncodeFleet(m_config);
    return reply;
  }
  for (const KeptChange& entry : m_recentChanges) {
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
  for (const KeptChange& entry : m_recentChanges) {
    if (entry.change.id == aChangeId) {
      return true;
    }
  }
  return false;
}

} // namespace sapphirelane
