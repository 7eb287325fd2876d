#include "sapphirelane/proxy/crash_guard.h"

#include <absl/strings/str_cat.h>

#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Longest plausible time for which an endpoint works on a request.
constexpr Milliseconds kMaxWorkTime = std::chrono::hours(1);

/// Reports to the fleet, at once and each second. Every daemon gets each of
/// them, and when many endpoints end at once every daemon has some.
constexpr double kReportBurst = 6;
constexpr double kReportRate = 0.2;

std::string
FingerprintText(std::uint64_t aFingerprint)
{
  return absl::StrCat(absl::Hex(aFingerprint, absl::kZeroPad16));
}

} // namespace

std::uint64_t
CrashGuard::FingerprintOf(const PendingRequest& aRequest)
{
  const RequestHead& head = aRequest.exchange->Head();
  return StableHash(absl::StrCat(aRequest.account,
                                 "\n",
                                 head.method,
                                 "\n",
                                 aRequest.head.host,
                                 "\n",
                                 head.target));
}

void
CrashGuard::OnCrash(const PendingRequest& aRequest,
                    const Attempt& aAttempt,
                    TimePoint aNow)
{
  const Crash crash{ aRequest.fingerprint,
                     HashOfProcess(aAttempt.endpoint, aAttempt.lifetime),
                     aAttempt.started,
                     aNow };
  if (!m_suspects.RecordCrash(crash, aNow)) {
    return;
  }
  LogLine(
    "suspect",
    "An endpoint has ended under a request.",
    LogFields()
      .Add("request", aRequest.log_id)
      .Add("fingerprint", FingerprintText(crash.request))
      .Add("path", aRequest.head.path)
      .Add("account", aRequest.account)
      .Add("service", aRequest.service)
      .Add("endpoint", aAttempt.endpoint)
      .Add("lifetime", aAttempt.lifetime)
      .Add("crashes", std::uint64_t{ m_suspects.CountCrashes(crash.request) })
      .Add("held_back_ms", m_suspects.HeldBackFor(crash.request, aNow)));
  m_metrics.Count("endpoint_crashes_total",
                  { { "service", aRequest.service } });
  CrashReport report;
  report.request = crash.request;
  report.process = crash.process;
  report.worked = aNow - aAttempt.started;
  Tell(report, aNow);
}

void
CrashGuard::RecordHeldBack(const PendingRequest& aRequest, TimePoint aNow)
{
  LogLine("suspect",
          "A suspected request is held back.",
          LogFields()
            .Add("request", aRequest.log_id)
            .Add("fingerprint", FingerprintText(aRequest.fingerprint))
            .Add("path", aRequest.head.path)
            .Add("crashes",
                 std::uint64_t{ m_suspects.CountCrashes(aRequest.fingerprint) })
            .Add("held_back_ms", HeldBackFor(aRequest, aNow)));
  m_metrics.Count("requests_held_back_total",
                  { { "service", aRequest.service } });
}

void
CrashGuard::OnServed(const PendingRequest& aRequest, TimePoint aNow)
{
  if (!m_suspects.RecordServed(aRequest.fingerprint, aNow)) {
    return;
  }
  LogLine("suspect",
          "A suspected request was answered and is cleared.",
          LogFields()
            .Add("request", aRequest.log_id)
            .Add("fingerprint", FingerprintText(aRequest.fingerprint)));
  CrashReport report;
  report.request = aRequest.fingerprint;
  report.served = true;
  Tell(report, aNow);
}

void
CrashGuard::Tell(const CrashReport& aReport, TimePoint aNow)
{
  if (!m_reports) {
    m_reports.emplace(kReportBurst, aNow);
    m_reports->SetLimits(kReportRate, kReportBurst, aNow);
  }
  if (m_reports->Take(aNow, aNow)) {
    m_control.ShareCrash(aReport, aNow);
  } else {
    m_metrics.Count("crash_reports_omitted_total", {});
  }
}

void
CrashGuard::OnReport(const CrashReport& aReport, TimePoint aNow)
{
  if (aReport.worked < Duration::zero() || aReport.worked > kMaxWorkTime) {
    m_metrics.Count("crash_reports_malformed_total", {});
    return;
  }
  const std::string fingerprint = FingerprintText(aReport.request);
  if (aReport.served) {
    if (m_suspects.RecordServed(aReport.request, aNow)) {
      LogLine("suspect",
              "Another daemon has cleared a request.",
              LogFields().Add("fingerprint", fingerprint));
    }
    return;
  }
  const Crash crash{
    aReport.request, aReport.process, aNow - aReport.worked, aNow
  };
  if (m_suspects.RecordCrash(crash, aNow)) {
    LogLine(
      "suspect",
      "Another daemon has seen an endpoint end under a request.",
      LogFields()
        .Add("fingerprint", fingerprint)
        .Add("crashes", std::uint64_t{ m_suspects.CountCrashes(crash.request) })
        .Add("held_back_ms", m_suspects.HeldBackFor(crash.request, aNow)));
  }
}

} // namespace sapphirelane
