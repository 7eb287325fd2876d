#include "sapphirelane/relay/extra_budget.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/log.h"
#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/retry_allowance.h"

namespace sapphirelane {

namespace {

/// Services in a snapshot, and those that are taken over from one.
constexpr std::size_t kMaxServices = 256;

/// Time without a new daemon after which a daemon that has started takes the
/// number of daemons for known. Those that start with it find each other
/// through heartbeats, which are sent more often than this.
constexpr Milliseconds kFleetSettled{ 600 };

/// Smallest interval of log lines on refused retries.
constexpr Milliseconds kRefusalLineInterval{ 1000 };

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetOptions aOptions)
  : m_options(aOptions)
{
}

Duration
ExtraBudget::Known(TimePoint aNow) const
{
  const bool all = m_knownSince <= aNow - m_options.window;
  return all ? m_options.window
             : std::max(Duration::zero(), aNow - m_knownSince);
}

RetryWindow&
ExtraBudget::WindowOf(std::uint32_t aService)
{
  return m_windows.try_emplace(aService, m_options.window).first->second;
}

void
ExtraBudget::NoteRequest(const std::string& aService, TimePoint aNow)
{
  IsFleetKnown(aNow);
  WindowOf(ShortHash(aService)).Add(1, 0, aNow);
}

void
ExtraBudget::NoteOthers(std::uint32_t aService,
                        std::uint32_t aRequests,
                        std::uint32_t aRetries,
                        TimePoint aNow)
{
  if (aRequests > 0 || aRetries > 0) {
    WindowOf(aService).Add(aRequests, aRetries, aNow);
  }
}

void
ExtraBudget::SetFleet(std::size_t aDaemons, Duration aReportTime)
{
  m_daemons = static_cast<double>(std::max<std::size_t>(1, aDaemons));
  m_reportTime = aReportTime;
}

/// Whether the number of daemons is known that share the slack. A daemon that
/// knows no other one may have started just now among hundreds.
bool
ExtraBudget::IsFleetKnown(TimePoint aNow)
{
  if (m_daemons != m_seenDaemons) {
    m_seenDaemons = m_daemons;
    m_fleetChangedAt = aNow;
  }
  return m_daemons > 1 && aNow - m_fleetChangedAt >= kFleetSettled;
}

void
ExtraBudget::LogRefusal(const std::string& aService,
                        const RetryDecision& aDecision,
                        double aLeft,
                        bool aFleetKnown,
                        TimePoint aNow)
{
  if (aNow < m_nextRefusalLine) {
    return;
  }
  m_nextRefusalLine = aNow + kRefusalLineInterval;
  LogLine(
    "retry",
    aDecision.known < m_options.window
      ? "A retry is refused: the window is known in part, and half of "
        "the budget's rate is usable."
      : "A retry is refused: the budget's burst, or this daemon's part of "
        "what is left, is spent.",
    LogFields()
      .Add("service", aService)
      .Add("left", aLeft)
      .Add("spent", aDecision.spent)
      .Add("budget", aDecision.budget)
      .Add("daemons", m_daemons)
      .Add("daemons_known", aFleetKnown)
      .Add("fleet_share", m_fleetShare)
      .Add("known_ms", aDecision.known));
}

ExtraBudget::Unreported&
ExtraBudget::UnreportedOf(std::uint32_t aService,
                          TimePoint aNow,
                          Random& aRandom)
{
  Unreported& unreported = m_unreported[aService];
  const TimePoint reported = std::min(aNow, m_reportedUntil) - m_reportTime;
  auto& spent = unreported.spent;
  while (!spent.empty() && spent.front() <= reported) {
    spent.pop_front();
  }
  if (unreported.rounding_drawn_at <= aNow - m_reportTime) {
    unreported.rounding_drawn_at = aNow;
    unreported.rounding = std::uniform_real_distribution<double>(0, 1)(aRandom);
  }
  return unreported;
}

RetryDecision
ExtraBudget::Take(const std::string& aService,
                  TimePoint aNow,
                  Random& aRandom,
                  double aReserve)
{
  const std::uint32_t service = ShortHash(aService);
  RetryWindow& window = WindowOf(service);
  RetryDecision decision;
  decision.known = Known(aNow);
  decision.spent = window.Retries(aNow);
  decision.budget =
    (window.Requests(aNow) * m_options.share + m_options.slack) * m_fleetShare *
    m_options.margin;
  Unreported& unreported = UnreportedOf(service, aNow, aRandom);
  const auto own = static_cast<double>(unreported.spent.size());
  const double part = m_fleetShare * m_options.margin * (1 - aReserve);
  const RetryAllowance allowance(
    m_options.share * part, m_options.slack * part, m_options.window);
  const bool fleetKnown = IsFleetKnown(aNow);
  const double left = allowance.Left(window, m_knownSince, fleetKnown, aNow);
  const bool withinPart =
    own + 1 <= (left + own) / m_daemons + unreported.rounding;
  decision.allowed = withinPart && left >= 1;
  if (decision.allowed) {
    window.Add(0, 1, aNow);
    unreported.spent.push_back(aNow);
  } else {
    LogRefusal(aService, decision, left, fleetKnown, aNow);
  }
  return decision;
}

RetriesReply
ExtraBudget::Snapshot(const FetchRetries& aRequest, TimePoint aNow)
{
  RetriesReply reply;
  if (Milliseconds(aRequest.window_ms) != m_options.window) {
    return reply;
  }
  reply.known_ms =
    static_cast<std::uint32_t>(ToMilliseconds(Known(aNow)).count());
  std::vector<std::pair<double, std::uint32_t>> services;
  for (auto& [service, window] : m_windows) {
    const double retries = window.Retries(aNow);
    if (retries > 0) {
      services.emplace_back(retries, service);
    }
  }
  std::sort(services.rbegin(), services.rend());
  services.resize(std::min(services.size(), kMaxServices));
  for (const auto& entry : services) {
    reply.services.push_back(
      { entry.second, WindowOf(entry.second).Parts(aNow) });
  }
  return reply;
}

void
ExtraBudget::Merge(const RetriesReply& aSnapshot, TimePoint aNow)
{
  const std::size_t services =
    std::min(aSnapshot.services.size(), kMaxServices);
  for (std::size_t i = 0; i < services; ++i) {
    const ServiceWindow& service = aSnapshot.services[i];
    WindowOf(service.service).RaiseTo(service.parts, aNow);
  }
  const TimePoint knownSince =
    aNow -
    std::min<Duration>(Milliseconds(aSnapshot.known_ms), m_options.window);
  m_knownSince = std::min(m_knownSince, knownSince);
}

} // namespace sapphirelane
