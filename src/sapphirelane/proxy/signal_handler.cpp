#include "sapphirelane/proxy/signal_handler.h"

#include "sapphirelane/base/log.h"
#include "sapphirelane/proxy/endpoint_signals.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kMalformedLogInterval{ 1000 };

void
LogLeaving(const LeaveReport& aReport, const char* aFrom)
{
  LogLine("health",
          "An endpoint says that it leaves.",
          LogFields()
            .Add("endpoint", aReport.endpoint)
            .Add("service", aReport.service)
            .Add("lifetime", aReport.lifetime)
            .Add("from", aFrom));
}

void
LogLimit(const LimitReport& aReport, const char* aFrom)
{
  LogFields fields;
  fields.Add("endpoint", aReport.endpoint).Add("service", aReport.service);
  if (aReport.limit) {
    fields.Add("per_second", *aReport.limit);
  }
  LogLine("health",
          aReport.limit ? "An endpoint names a limit."
                        : "An endpoint names no limit any more.",
          fields.Add("from", aFrom));
}

void
LogCold(const ColdReport& aReport, const char* aFrom)
{
  LogLine("health",
          "An endpoint says that it is cold.",
          LogFields()
            .Add("endpoint", aReport.endpoint)
            .Add("service", aReport.service)
            .Add("left_ms", Duration(aReport.left))
            .Add("from", aFrom));
}

} // namespace

void
SignalHandler::Apply(const ResponseHead& aHead,
                     const std::string& aService,
                     const Attempt& aAttempt,
                     ServiceState& aState,
                     TimePoint aNow)
{
  const EndpointSignals signals = ReadSignals(aHead, m_dialect);
  if (signals.load) {
    aState.Report(aAttempt.endpoint, signals.load->Share(), aNow);
  }
  if (signals.leaving) {
    const LeaveReport report{ aService,
                              aAttempt.endpoint,
                              aState.LifetimeOf(aAttempt.endpoint) };
    if (aState.NoteLeaving(report.endpoint, report.lifetime, aNow)) {
      LogLeaving(report, "endpoint");
      m_control.ShareLeave(report, aNow);
    }
  }
  if (signals.retry_after) {
    aState.NoteRetryAfter(aAttempt.endpoint, *signals.retry_after, aNow);
    LogLine("health",
            "An endpoint wants no requests for a time.",
            LogFields()
              .Add("endpoint", aAttempt.endpoint)
              .Add("service", aService)
              .Add("retry_after_ms", *signals.retry_after));
    m_metrics.Count("upstream_retry_after_total", { { "service", aService } });
  }
  for (const std::string& header : signals.malformed) {
    RecordMalformed(header, aAttempt.endpoint, aNow);
  }
}

void
SignalHandler::ApplyLimit(const ResponseHead& aHead,
                          const std::string& aService,
                          const Attempt& aAttempt,
                          ServiceState& aState,
                          TimePoint aNow)
{
  const EndpointSignals signals = ReadSignals(aHead, m_dialect);
  if (signals.limit_malformed) {
    return;
  }
  if (aState.NoteLimit(aAttempt.endpoint, signals.limit, aNow)) {
    const LimitReport report{ aService,
                              aAttempt.endpoint,
                              aState.LifetimeOf(aAttempt.endpoint),
                              aState.LimitOf(aAttempt.endpoint) };
    LogLimit(report, "endpoint");
    m_control.ShareLimit(report, aNow);
    m_metrics.Count("upstream_limits_told_total", { { "service", aService } });
  }
}

void
SignalHandler::ApplyCold(const ResponseHead& aHead,
                         const std::string& aService,
                         const Attempt& aAttempt,
                         ServiceState& aState,
                         TimePoint aNow)
{
  const auto left = ReadSignals(aHead, m_dialect).cold;
  if (left && aState.NoteCold(aAttempt.endpoint, *left, aNow)) {
    const ColdReport report{ aService,
                             aAttempt.endpoint,
                             aState.LifetimeOf(aAttempt.endpoint),
                             std::chrono::ceil<Milliseconds>(*left) };
    LogCold(report, "endpoint");
    m_control.ShareCold(report, aNow);
    m_metrics.Count("upstream_cold_times_told_total",
                    { { "service", aService } });
  }
}

void
SignalHandler::OnReport(const ColdReport& aReport,
                        ServiceState& aState,
                        TimePoint aNow)
{
  if (aState.NoteReportedCold(aReport, aNow)) {
    LogCold(aReport, "peer");
  }
}

void
SignalHandler::OnReport(const LimitReport& aReport,
                        ServiceState& aState,
                        TimePoint aNow)
{
  if (aState.NoteReportedLimit(aReport, aNow)) {
    LogLimit(aReport, "peer");
  }
}

void
SignalHandler::OnReport(const LeaveReport& aReport,
                        ServiceState& aState,
                        TimePoint aNow)
{
  if (aState.NoteLeaving(aReport.endpoint, aReport.lifetime, aNow)) {
    LogLeaving(aReport, "peer");
  }
}

void
SignalHandler::RecordMalformed(const std::string& aHeader,
                               const std::string& aEndpoint,
                               TimePoint aNow)
{
  m_metrics.Count("upstream_headers_malformed_total",
                  { { "header", aHeader } });
  if (aNow < m_nextMalformedLog) {
    return;
  }
  m_nextMalformedLog = aNow + kMalformedLogInterval;
  LogLine("health",
          "A malformed header of an endpoint is ignored.",
          LogFields().Add("endpoint", aEndpoint).Add("header", aHeader));
}

} // namespace sapphirelane
