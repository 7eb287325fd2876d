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

HeadKeeper::HeadKeeper(StoreClient& aStore, BulkClient& aBulk, Adopted aAdopted)
  : m_store(aStore)
  , m_bulk(aBulk)
  , m_adopted(std::move(aAdopted))
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
    Adopt(head, m_config, aNow);
    return;
  }
  if (m_reading) {
    return;
  }
  m_reading = true;
  StoreCall call;
  call.kind = StoreCall::Kind::GetObject;
  call.name = m_target->config_object;
  m_store.Call(call, [this](const StoreResult& aResult, TimePoint aThen) {
    OnObject(aResult, aThen);
  });
}

void
HeadKeeper::OnObject(const StoreResult& aResult, TimePoint aNow)
{
  m_reading = false;
  if (!m_target || aResult.status != StoreResult::Status::Ok) {
    // The next read of the head or a peer brings it again.
    m_target.reset();
    return;
  }
  try {
    const json object = json::parse(aResult.text);
    const auto version = object.at("version").get<std::uint64_t>();
    const auto change = object.at("change").get<ChangeSet>();
    const auto previous = object.at("previous").get<std::string>();
    FleetConfig config = m_config;
    const bool whole = object.contains("snapshot");
    const bool next = m_head && version == m_config.version + 1;
    if (!whole && !next) {
      m_targetChanges.push_back(change);
      StoreCall call;
      call.kind = StoreCall::Kind::GetObject;
      call.name = previous;
      m_reading = true;
      m_store.Call(call, [this](const StoreResult& aNext, TimePoint aThen) {
        OnObject(aNext, aThen);
      });
      return;
    }
    if (next) {
      config = Apply(config, change);
    } else {
      config = DecodeFleet(object.at("snapshot").get<std::string>());
    }
    KeepChange(config.version, change);
    while (!m_targetChanges.empty()) {
      config = Apply(config, m_targetChanges.back());
      KeepChange(config.version, m_targetChanges.back());
      m_targetChanges.pop_back();
    }
    const Head head = *m_target;
    if (config.version == head.config_version) {
      Adopt(head, std::move(config), aNow);
    }
  } catch (const std::exception& error) {
    LogLine("config", std::string("An object is not usable: ") + error.what());
    m_target.reset();
  }
}

void
HeadKeeper::OnWritten(const Head& aHead,
                      const FleetConfig& aConfig,
                      const std::vector<ChangeSet>& aChanges,
                      TimePoint aAsOf,
                      TimePoint aNow)
{
  if (aHead.seq <= Seq()) {
    return;
  }
  for (const ChangeSet& change : aChanges) {
    KeepChange(aConfig.version, change);
  }
  m_targetAsOf = aAsOf;
  m_target = aHead;
  Adopt(aHead, aConfig, aNow);
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
  try {
    const Head head = DecodeHead(aReply.head);
    if (head.seq <= Seq()) {
      return;
    }
    FleetConfig config = m_config;
    if (!aReply.snapshot.empty()) {
      config = DecodeFleet(aReply.snapshot);
    }
    for (const std::string& text : aReply.changes) {
      const auto change = json::parse(text).get<ChangeSet>();
      config = Apply(config, change);
      KeepChange(config.version, change);
    }
    if (config.version == head.config_version) {
      Adopt(head, std::move(config), aNow);
    }
  } catch (const std::exception& error) {
    LogLine("config",
            std::string("A peer's state is not usable: ") + error.what());
  }
}

void
HeadKeeper::Adopt(const Head& aHead, FleetConfig aConfig, TimePoint aNow)
{
  const std::optional<Head> earlier = std::move(m_head);
  m_head = aHead;
  m_config = std::move(aConfig);
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
HeadKeeper::KeepChange(std::uint64_t aVersion, const ChangeSet& aChange)
{
  if (!m_changes.empty() && m_changes.back().version >= aVersion) {
    return;
  }
  if (!m_changes.empty() && m_changes.back().version + 1 != aVersion) {
    m_changes.clear();
  }
  m_changes.push_back({ aVersion, aChange });
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
  for (const KeptChange& kept_change : m_changes) {
    if (kept_change.version > aRequest.config_version) {
      reply.changes.push_back(json(kept_change.change).dump());
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
