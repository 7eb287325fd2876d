#include "sapphirelane/proxy/operator_api.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace sapphirelane {

OperatorReply
JsonReply(int aStatus, const std::string& aJson)
{
  return { aStatus, "application/json", aJson + "\n" };
}

OperatorReply
FaultReply(int aStatus, const std::string& aDetail)
{
  const nlohmann::json body = { { "error", aDetail } };
  return JsonReply(aStatus, body.dump());
}

OperatorApi::OperatorApi(DispatchDuty& aDispatch,
                         Dispatcher& aDispatcher,
                         FleetRuntime& aFleet,
                         const Metrics& aMetrics)
  : m_dispatch(aDispatch)
  , m_dispatcher(aDispatcher)
  , m_control(aFleet.Control())
  , m_fleet(aFleet)
  , m_metrics(aMetrics)
{
}

OperatorReply
OperatorApi::Handle(const OperatorCall& aRequest)
{
  try {
    if (aRequest.path.rfind("/v1/", 0) != 0) {
      return HandleUnauthenticated(aRequest);
    }
    if (aRequest.path == "/v1/config") {
      return HandleConfig();
    }
    if (aRequest.path == "/v1/explain") {
      auto request = aRequest.query.find("request");
      return HandleExplain(request == aRequest.query.end() ? ""
                                                           : request->second);
    }
    return m_fleet.HandleOperator(aRequest);
  } catch (const Error& error) {
    return FaultReply(503, error.what());
  }
}

OperatorReply
OperatorApi::HandleUnauthenticated(const OperatorCall& aRequest)
{
  if (aRequest.path == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aRequest.path == "/readyz") {
    return HandleReadiness();
  }
  if (aRequest.path == "/metrics") {
    return { 200, "text/plain; version=0.0.4", m_metrics.Text() };
  }
  return FaultReply(404, "no such page");
}

OperatorReply
OperatorApi::HandleReadiness()
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
OperatorApi::HandleConfig()
{
  const std::string text =
    m_dispatch.Call<std::string>([this](TimePoint /*aNow*/) {
      const FleetConfig* config = m_control.Config();
      return config == nullptr ? std::string() : EncodeFleet(*config);
    });
  if (text.empty()) {
    return FaultReply(503, "this host has no configuration yet");
  }
  return { 200, "application/json", text + "\n" };
}

OperatorReply
OperatorApi::HandleExplain(const std::string& aRequestId)
{
  std::uint64_t requestId = 0;
  if (!absl::SimpleAtoi(aRequestId, &requestId)) {
    return FaultReply(400, "request \"" + aRequestId + "\": expected a number");
  }
  const std::string lines =
    m_dispatch.Call<std::string>([this, requestId](TimePoint /*aNow*/) {
      return m_dispatcher.Explain(requestId);
    });
  if (lines.empty()) {
    return FaultReply(
      404, "request " + aRequestId + " is not among the latest of this host");
  }
  return { 200, "text/plain", lines };
}

} // namespace sapphirelane
