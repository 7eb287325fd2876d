#include "sapphirelane/proxy/operator_api.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace sapphirelane {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kWritePatience{ 15 };

OperatorReply
Reply(int aStatus, const json& aBody)
{
  return { aStatus, "application/json", aBody.dump() + "\n" };
}

OperatorReply
Fault(int aStatus, const std::string& aDetail)
{
  return Reply(aStatus, { { "error", aDetail } });
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
  const bool seen = aStatus.evidence_age != Duration::max();
  return { { "node", std::to_string(aStatus.id) },
           { "host", aStatus.host },
           { "head", aStatus.seq },
           { "config_version", aStatus.config_version },
           { "map", aStatus.map_epoch },
           { "fresh", aStatus.fresh },
           { "evidence_age_ms",
             seen ? json(ToMilliseconds(aStatus.evidence_age).count())
                  : json() },
           { "platform_answers", aStatus.store_answers },
           { "member", aStatus.member },
           { "members", aStatus.members },
           { "witnesses", aStatus.witnesses },
           { "shards_held", aStatus.shards_held },
           { "claims", aStatus.claims },
           { "withdrawals_pending", aStatus.withdrawals } };
}

} // namespace

OperatorApi::OperatorApi(DispatchDuty& aDispatch,
                         Dispatcher& aDispatcher,
                         FleetControl& aControl,
                         NodeRuntime& aNode,
                         const Metrics& aMetrics)
  : m_dispatch(aDispatch)
  , m_dispatcher(aDispatcher)
  , m_control(aControl)
  , m_node(aNode)
  , m_metrics(aMetrics)
{
}

OperatorReply
OperatorApi::Handle(const OperatorCall& aCall)
{
  try {
    if (aCall.path.rfind("/v1/", 0) != 0) {
      return HandleProbe(aCall);
    }
    if (aCall.path == "/v1/config") {
      return Config();
    }
    if (aCall.path == "/v1/explain") {
      auto request = aCall.query.find("request");
      return Explain(request == aCall.query.end() ? "" : request->second);
    }
    return HandleFleet(aCall);
  } catch (const Error& error) {
    return Fault(503, error.what());
  }
}

OperatorReply
OperatorApi::HandleProbe(const OperatorCall& aCall)
{
  if (aCall.path == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aCall.path == "/readyz") {
    return Ready();
  }
  if (aCall.path == "/metrics") {
    return { 200, "text/plain; version=0.0.4", m_metrics.Text() };
  }
  return Fault(404, "no such page");
}

OperatorReply
OperatorApi::HandleFleet(const OperatorCall& aCall)
{
  if (aCall.path == "/v1/status") {
    return Status();
  }
  if (aCall.path == "/v1/history") {
    return History();
  }
  if (aCall.method != "POST") {
    return Fault(404, "no such page");
  }
  if (aCall.path == "/v1/changes") {
    return Propose(aCall.body);
  }
  if (aCall.path == "/v1/withdraw") {
    auto key = aCall.query.find("key");
    return Withdraw(key == aCall.query.end() ? "" : key->second);
  }
  return Fault(404, "no such page");
}

OperatorReply
OperatorApi::Ready()
{
  if (m_stopping) {
    return { 503, "text/plain", "stopping\n" };
  }
  const bool ready = m_dispatch.Call<bool>([this](TimePoint aNow) {
    return m_control.Config() != nullptr && m_control.IsFresh(aNow);
  });
  return ready ? OperatorReply{ 200, "text/plain", "ready\n" }
               : OperatorReply{ 503, "text/plain", "not fresh\n" };
}

OperatorReply
OperatorApi::Config()
{
  const std::string text =
    m_dispatch.Call<std::string>([this](TimePoint /*aNow*/) {
      const FleetConfig* config = m_control.Config();
      return config == nullptr ? std::string() : EncodeFleet(*config);
    });
  if (text.empty()) {
    return Fault(503, "this host has no configuration yet");
  }
  return { 200, "application/json", text + "\n" };
}

OperatorReply
OperatorApi::Explain(const std::string& aRequest)
{
  std::uint64_t id = 0;
  if (!absl::SimpleAtoi(aRequest, &id)) {
    return Fault(400, "request \"" + aRequest + "\": expected a number");
  }
  const std::string lines = m_dispatch.Call<std::string>(
    [this, id](TimePoint /*aNow*/) { return m_dispatcher.Explain(id); });
  if (lines.empty()) {
    return Fault(
      404, "request " + aRequest + " is not among the latest of this host");
  }
  return { 200, "text/plain", lines };
}

OperatorReply
OperatorApi::Status()
{
  return Reply(200, m_dispatch.Call<json>([this](TimePoint aNow) {
    json status = ToJson(m_node.Get().Status(aNow));
    json members = json::array();
    const auto& head = m_node.Get().CurrentHead();
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
OperatorApi::History()
{
  return Reply(200, m_dispatch.Call<json>([this](TimePoint /*aNow*/) {
    json history = json::array();
    for (const KeptChange& kept : m_node.Get().History()) {
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
OperatorApi::Propose(const std::string& aBody)
{
  ChangeSet change;
  try {
    change = json::parse(aBody).get<ChangeSet>();
  } catch (const json::exception& error) {
    return Fault(400, std::string("change set: ") + error.what());
  }
  auto promise = std::make_shared<std::promise<WriteResult>>();
  auto future = promise->get_future();
  m_dispatch.Post([this, change, promise](TimePoint aNow) {
    m_node.Get().Propose(
      change, aNow, [promise](const WriteResult& aResult, TimePoint) {
        promise->set_value(aResult);
      });
  });
  if (future.wait_for(kWritePatience) != std::future_status::ready) {
    return Reply(200, { { "verdict", "unknown" }, { "detail", "no answer" } });
  }
  const WriteResult result = future.get();
  return Reply(200,
               { { "verdict", VerdictName(result.verdict) },
                 { "detail", result.detail },
                 { "version", result.config_version } });
}

OperatorReply
OperatorApi::Withdraw(const std::string& aKey)
{
  auto promise = std::make_shared<std::promise<WithdrawResult>>();
  auto future = promise->get_future();
  m_dispatch.Post([this, aKey, promise](TimePoint aNow) {
    m_node.Get().Withdraw(
      aKey, aNow, [promise](const WithdrawResult& aResult, TimePoint) {
        promise->set_value(aResult);
      });
  });
  if (future.wait_for(kWritePatience) != std::future_status::ready) {
    return Fault(503, "no answer");
  }
  const WithdrawResult result = future.get();
  if (!result.detail.empty()) {
    return Fault(404, result.detail);
  }
  return Reply(200,
               { { "in_force", result.in_force },
                 { "members", result.members },
                 { "kept", result.kept } });
}

} // namespace sapphirelane
