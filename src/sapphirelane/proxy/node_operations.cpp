#include <nlohmann/json.hpp>

#include "sapphirelane/proxy/node_runtime.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 15 };

OperatorReply
Reply(int aStatus, const json& aBody)
{
  return JsonReply(aStatus, aBody.dump());
}

const char*
VerdictName(WriteVerdict aVerdict)
{
  switch (aVerdict) {
    case WriteVerdict::Accepted:
      return "accepted";
    case WriteVerdict::Unchanged:
      return "unchanged";
    case WriteVerdict::Refused:
      return "refused";
    case WriteVerdict::Unreached:
      return "not-written";
    case WriteVerdict::Unknown:
      break;
  }
  return "unknown";
}

json
ToJson(const NodeStatus& aStatus)
{
  json evacuated = json::object();
  for (const auto& [name, known] : aStatus.evacuated) {
    evacuated[name] = { { "known_ms", ToMilliseconds(known).count() } };
  }
  const bool hasEvidence = aStatus.evidence_age != Duration::max();
  return { { "node", std::to_string(aStatus.id) },
           { "host", aStatus.host },
           { "head", aStatus.seq },
           { "config_version", aStatus.config_version },
           { "map", aStatus.map_epoch },
           { "fresh", aStatus.fresh },
           { "evidence_age_ms",
             hasEvidence ? json(ToMilliseconds(aStatus.evidence_age).count())
                         : json() },
           { "platform_answers", aStatus.store_answers },
           { "member", aStatus.member },
           { "members", aStatus.members },
           { "witnesses", aStatus.witnesses },
           { "shards_held", aStatus.shards_held },
           { "claims", aStatus.claims },
           { "withdrawals_pending", aStatus.withdrawals },
           { "evacuated", evacuated } };
}

} // namespace

OperatorReply
NodeRuntime::HandleOperator(const OperatorCall& aCall)
{
  if (aCall.path == "/v1/status") {
    return Status();
  }
  if (aCall.path == "/v1/history") {
    return History();
  }
  if (aCall.method != "POST") {
    return FaultReply(404, "no such page");
  }
  if (aCall.path == "/v1/changes") {
    return Propose(aCall.body);
  }
  if (aCall.path == "/v1/withdraw") {
    auto key = aCall.query.find("key");
    return Withdraw(key == aCall.query.end() ? "" : key->second);
  }
  return FaultReply(404, "no such page");
}

OperatorReply
NodeRuntime::Status()
{
  return Reply(200, m_dispatch.Call<json>([this](TimePoint aNow) {
    json status = ToJson(m_node->Status(aNow));
    json members = json::array();
    const auto& head = m_node->CurrentHead();
    if (head) {
      for (const MemberInfo& member : head->members) {
        members.push_back({ { "host", member.host },
                            { "data_centre", member.data_centre },
                            { "address", member.address } });
      }
    }
    status["hosts"] = members;
    return status;
  }));
}

OperatorReply
NodeRuntime::History()
{
  return Reply(200, m_dispatch.Call<json>([this](TimePoint /*aNow*/) {
    json history = json::array();
    for (const KeptChange& kept : m_node->History()) {
      json rows = json::array();
      for (const RowChange& row : kept.change.rows) {
        rows.push_back(Describe(row));
      }
      history.push_back({ { "version", kept.version },
                          { "id", kept.change.id },
                          { "author", kept.change.author },
                          { "rows", rows } });
    }
    return history;
  }));
}

OperatorReply
NodeRuntime::Propose(const std::string& aBody)
{
  ChangeSet change;
  try {
    change = json::parse(aBody).get<ChangeSet>();
  } catch (const json::exception& error) {
    return FaultReply(400, std::string("change set: ") + error.what());
  }
  auto promise = std::make_shared<std::promise<WriteResult>>();
  auto future = promise->get_future();
  m_dispatch.Post([this, change, promise](TimePoint aNow) {
    m_node->Propose(
      change, aNow, [promise](const WriteResult& aResult, TimePoint) {
        promise->set_value(aResult);
      });
  });
  if (future.wait_for(kWriteTimeout) != std::future_status::ready) {
    return Reply(200, { { "verdict", "unknown" }, { "detail", "no answer" } });
  }
  const WriteResult result = future.get();
  return Reply(200,
               { { "verdict", VerdictName(result.verdict) },
                 { "detail", result.detail },
                 { "version", result.config_version } });
}

OperatorReply
NodeRuntime::Withdraw(const std::string& aKey)
{
  auto promise = std::make_shared<std::promise<WithdrawResult>>();
  auto future = promise->get_future();
  m_dispatch.Post([this, aKey, promise](TimePoint aNow) {
    m_node->Withdraw(
      aKey, aNow, [promise](const WithdrawResult& aResult, TimePoint) {
        promise->set_value(aResult);
      });
  });
  if (future.wait_for(kWriteTimeout) != std::future_status::ready) {
    return FaultReply(503, "no answer");
  }
  const WithdrawResult result = future.get();
  if (!result.detail.empty()) {
    return FaultReply(404, result.detail);
  }
  return Reply(200,
               { { "in_force", result.in_force },
                 { "members", result.members },
                 { "kept", result.kept } });
}

} // namespace sapphirelane
