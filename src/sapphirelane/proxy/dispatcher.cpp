#include "sapphirelane/proxy/dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "sapphirelane/admission/start_limits.h"
#include "sapphirelane/admission/stop_schedule.h"
#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/proxy/attempt_order.h"
#include "sapphirelane/proxy/crash_guard.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/refusal.h"
#include "sapphirelane/proxy/request_gate.h"
#include "sapphirelane/proxy/request_history.h"
#include "sapphirelane/proxy/retry_controller.h"
#include "sapphirelane/proxy/service_book.h"
#include "sapphirelane/proxy/signal_handler.h"
#include "sapphirelane/routing/retry_policy.h"

namespace sapphirelane {

namespace {

/// Time after the start for which requests are queued until the first
/// configuration arrives. If the store answers, the configuration is known
/// after a few of its replies; otherwise requests are refused from then on.
constexpr Milliseconds kConfigWaitTimeout{ 500 };

/// Interval at which a repeated request polls the claim of the running one.
constexpr Milliseconds kClaimPollInterval{ 50 };

/// Time after the deadline to wait for the end of an attempt.
constexpr Milliseconds kAttemptEndGrace{ 1000 };

constexpr Milliseconds kGaugeInterval{ 200 };

constexpr int kMinServerErrorStatus = 500;

/// Maximum placements of one request, including on unreachable endpoints.
constexpr std::uint32_t kMaxPlacements = 6;

/// Failures reported for an endpoint whose address another endpoint has taken;
/// enough for other daemons to avoid it for the length of a fault episode.
constexpr std::uint32_t kMisdirectedFailureCount = 3;

/// Retry-After of a host that is being stopped: another one can serve at once.
constexpr Milliseconds kStopRetryAfter{ 50 };

constexpr int kMinSuccessStatus = 200;
constexpr int kMinRedirectStatus = 300;

RetryControllerOptions
RetryOptionsOf(const DispatcherOptions& aOptions)
{
  RetryControllerOptions options;
  options.waits = aOptions.policies.shed == "wait";
  // The other half is left to requests that arrive.
  options.max_waiting = aOptions.limits.in_flight / 2;
  options.max_waiting_per_account = aOptions.limits.queue_per_account;
  return options;
}

/// Keeps a state machine for each request and drives it by events.
class RequestDispatcher
  : public Dispatcher
  , private RetryActions
{
public:
  RequestDispatcher(DispatcherOptions aOptions,
                    FleetControl& aControl,
                    UpstreamIo& aUpstreams,
                    Metrics& aMetrics)
    : m_options(std::move(aOptions))
    , m_control(aControl)
    , m_upstreams(aUpstreams)
    , m_metrics(aMetrics)
    , m_random(m_options.seed)
    , m_nextAttempt(m_options.first_id)
    , m_admission(m_options.limits, m_control)
    , m_services(m_options.limits,
                 m_options.policies,
                 m_options.cold_starts,
                 m_options.seed,
                 m_control,
                 m_metrics)
    , m_signals(m_options.dialect, m_control, m_metrics)
    , m_crashes(m_control, m_metrics)
    , m_retries(RetryOptionsOf(m_options),
                RetryRegistry::Make(m_options.policies.retry),
                m_control,
                m_services,
                m_stop,
                m_metrics,
                m_random,
                *this)
  {
  }

  void OnRequest(ExchangePtr aExchange, TimePoint aNow) override
  {
    const bool awaitsConfig =
      AwaitsConfig(aNow) && m_earlyRequests.size() < m_options.limits.in_flight;
    if (awaitsConfig) {
      LogLine("admit",
              "The request waits for the first configuration.",
              LogFields().Add("request", aExchange->Head().id));
      m_earlyRequests.push_back(std::move(aExchange));
      return;
    }
    Admit(std::move(aExchange), aNow);
  }

  void OnAttempt(const AttemptEvent& aEvent, TimePoint aNow) override
  {
    CountSentBody(aEvent);
    auto found = m_requestsByAttempt.find(aEvent.id);
    if (found == m_requestsByAttempt.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    auto pending = m_requests.find(id);
    if (pending == m_requests.end()) {
      return;
    }
    const std::string service = pending->second.service;
    if (aEvent.kind == AttemptEvent::Kind::Head) {
      OnResponseHead(id, pending->second, aEvent, aNow);
    } else {
      OnAttemptEnd(id, pending->second, aEvent, aNow);
    }
    ServeQueue(service, aNow);
  }

  void OnEvents(TimePoint aNow) override { ProcessControlEvents(aNow); }

  void OnTick(TimePoint aNow) override
  {
    m_services.ApplyConfig(aNow);
    AdmitEarlyRequests(aNow);
    ProcessControlEvents(aNow);
    CheckRequests(aNow);
    m_retries.Tick(aNow);
    const auto view = m_control.View(aNow);
    const TimePoint viewTime = !view ? aNow
                               : view->age < aNow - TimePoint{}
                                 ? aNow - view->age
                                 : TimePoint{};
    for (auto& entry : m_services.All()) {
      entry.second.state->SetLimitShare(m_control.LimitShare());
      entry.second.state->SetViewTime(viewTime);
      RefuseLate(entry.second, aNow);
      m_services.UpdateEjections(entry.first, aNow);
      m_services.LogIdleEndpoints(entry.first, aNow);
      ServeQueue(entry.first, aNow);
    }
    if (aNow >= m_nextGauge) {
      m_nextGauge = aNow + kGaugeInterval;
      m_metrics.Set(
        "requests_in_flight", {}, static_cast<double>(m_requests.size()));
    }
  }

  void BeginStop(TimePoint aEnd, TimePoint aNow) override
  {
    m_stop.Begin(aEnd);
    AdmitEarlyRequests(aNow);
    RefuseTooManyWaiting(aNow);
  }

  void LogUnfinished() const override
  {
    std::uint64_t unsent = m_earlyRequests.size();
    std::uint64_t running = 0;
    std::uint64_t responding = 0;
    for (const auto& entry : m_requests) {
      const RequestStage stage = entry.second.stage;
      responding += stage == RequestStage::Responding ? 1 : 0;
      running += stage == RequestStage::AwaitingResponse ? 1 : 0;
      unsent += IsUnsent(stage) ? 1 : 0;
    }
    LogLine("entry",
            "Requests are cut off.",
            LogFields()
              .Add("unsent", unsent)
              .Add("running", running)
              .Add("responding", responding));
  }

  std::size_t InFlight() const override
  {
    return m_requests.size() + m_earlyRequests.size();
  }

  std::string Explain(std::uint64_t aRequest) const override
  {
    return m_history.Lines(aRequest);
  }

private:
  /// Counts bodies that did not reach an endpoint whole, also those of requests
  /// that have been refused or abandoned since.
  void CountSentBody(const AttemptEvent& aEvent)
  {
    if (aEvent.sent_body != SentBody::Whole) {
      const bool partial = aEvent.sent_body == SentBody::Partial;
      m_metrics.Count("request_bodies_total",
                      { { "sent", partial ? "partial" : "changed" } });
    }
  }

  /// Whether the first configuration may still arrive soon after the start.
  bool AwaitsConfig(TimePoint aNow)
  {
    m_startedAt = m_startedAt == TimePoint{} ? aNow : m_startedAt;
    return m_control.Config() == nullptr && !m_stop.HasBegun() &&
           aNow - m_startedAt < kConfigWaitTimeout;
  }

  /// Admits the requests that waited for the configuration, once it is known or
  /// the wait has timed out.
  void AdmitEarlyRequests(TimePoint aNow)
  {
    while (!m_earlyRequests.empty()) {
      if (AwaitsConfig(aNow)) {
        return;
      }
      ExchangePtr exchange = std::move(m_earlyRequests.front());
      m_earlyRequests.pop_front();
      if (!exchange->IsCallerGone()) {
        Admit(std::move(exchange), aNow);
      }
    }
  }

  /// Admits a request and asks for its token, or refuses it.
  void Admit(ExchangePtr aExchange, TimePoint aNow)
  {
    const std::uint64_t id = aExchange->Head().id;
    PendingRequest request;
    request.exchange = std::move(aExchange);
    request.head = CheckHead(request.exchange->Head(), m_options.dialect);
    request.log_id = request.head.request_id.empty() ? std::to_string(id)
                                                     : request.head.request_id;
    m_services.ApplyConfig(aNow);
    auto refusal = m_admission.Admit(request, m_requests.size(), aNow);
    request.fingerprint = CrashGuard::FingerprintOf(request);
    refusal = refusal ? refusal : RefusalIfHeldBack(request, aNow);
    if (refusal) {
      RefuseOnArrival(request, *refusal);
      if (!request.service.empty()) {
        m_control.NoteOutcome(request.service, false, aNow);
      }
      return;
    }
    request.service = ChooseService(request.route);
    const std::string service = request.service;
    PendingRequest& pending = m_requests[id] = std::move(request);
    if (pending.account.empty()) {
      Enqueue(id, pending, aNow);
    } else {
      pending.token_ask =
        m_control.AskToken(pending.account, pending.deadline, aNow);
      m_requestsByAsk[pending.token_ask] = id;
    }
    ProcessControlEvents(aNow);
    ServeQueue(service, aNow);
    LogIfWaiting(id, aNow);
  }

  /// The refusal of a request that is suspected of ending endpoints.
  std::optional<Refusal> RefusalIfHeldBack(const PendingRequest& aRequest,
                                           TimePoint aNow)
  {
    const Duration wait = m_crashes.HeldBackFor(aRequest, aNow);
    if (wait == Duration::zero()) {
      return std::nullopt;
    }
    m_crashes.RecordHeldBack(aRequest, aNow);
    return Refusal{ 503,
                    Outcome::NotRun,
                    "held-back",
                    "endpoints have ended under this request",
                    RetryAfterOf(wait) };
  }

  /// Draws a service by the weights of the route's traffic split.
  std::string ChooseService(const Route& aRoute)
  {
    double total = 0;
    for (const TrafficShare& share : aRoute.split) {
      total += share.weight;
    }
    if (total <= 0) {
      return aRoute.service;
    }
    std::uniform_real_distribution<double> draw(0, total);
    double left = draw(m_random);
    for (const TrafficShare& share : aRoute.split) {
      left -= share.weight;
      if (left < 0) {
        return share.service;
      }
    }
    return aRoute.split.back().service;
  }

  // Events from the fleet control.

  void ProcessControlEvents(TimePoint aNow)
  {
    // Handling an event may send a query that is answered immediately.
    auto events = m_control.TakeEvents();
    while (!events.empty()) {
      for (const ControlEvent& event : events) {
        std::visit([&](const auto& aItem) { OnControl(aItem, aNow); }, event);
      }
      events = m_control.TakeEvents();
    }
  }

  void OnControl(const TokenResult& aResult, TimePoint aNow)
  {
    auto pending = PopAskingRequest(aResult.ask);
    if (pending == m_requests.end()) {
      if (aResult.verdict == TokenVerdict::Granted) {
        m_control.ReturnToken(aResult.ask, aNow);
      }
      return;
    }
    const std::uint64_t id = pending->first;
    PendingRequest& request = pending->second;
    if (aResult.verdict == TokenVerdict::Refused) {
      RefuseAdmitted(id,
                     { 429,
                       Outcome::NotRun,
                       "rate",
                       "the account is past its rate and burst",
                       aResult.retry_after },
                     aNow);
      return;
    }
    if (aResult.verdict == TokenVerdict::Unavailable) {
      RefuseAdmitted(id,
                     { 503,
                       Outcome::NotRun,
                       "limit-unavailable",
                       "the holder of the account's budget cannot be asked" },
                     aNow);
      return;
    }
    const std::string service = request.service;
    request.token_valid_until = aResult.valid_until;
    Enqueue(id, request, aNow);
    ServeQueue(service, aNow);
  }

  void OnControl(const ClaimResult& aResult, TimePoint aNow)
  {
    auto pending = PopAskingRequest(aResult.ask);
    if (pending == m_requests.end()) {
      if (aResult.reply.verdict == ClaimVerdict::Granted) {
        m_control.ReleaseClaim(aResult.ask, aNow);
      }
      return;
    }
    const std::uint64_t id = pending->first;
    PendingRequest& request = pending->second;
    ReleaseSlot(request);
    switch (aResult.reply.verdict) {
      case ClaimVerdict::Granted:
        request.claim_granted = true;
        SendOrRequeue(id, request, aNow);
        return;
      case ClaimVerdict::Repeat:
        OnRepeatedClaim(id, request, aResult.reply, aNow);
        return;
      case ClaimVerdict::Mismatch:
        RefuseAdmitted(id,
                       { 422,
                         Outcome::NotRun,
                         "key-reused",
                         "the idempotency key came with another request" },
                       aNow);
        return;
      case ClaimVerdict::NotReady:
        break;
    }
    RefuseAdmitted(id,
                   { 503,
                     Outcome::NotRun,
                     "claim-unavailable",
                     "nobody can tell now whether the request ran before" },
                   aNow);
  }

  void OnControl(const FleetEvidence& aEvidence, TimePoint aNow)
  {
    ServiceEntry* service = m_services.Find(aEvidence.service);
    if (service != nullptr) {
      service->state->ObserveFleet(aEvidence, aNow);
      ServeQueue(aEvidence.service, aNow);
    }
  }

  void OnControl(const LeaveReport& aReport, TimePoint aNow)
  {
    ServiceEntry* service = m_services.Find(aReport.service);
    if (service != nullptr) {
      m_signals.OnReport(aReport, *service->state, aNow);
    }
  }

  void OnControl(const LimitReport& aReport, TimePoint aNow)
  {
    ServiceEntry* service = m_services.Find(aReport.service);
    if (service != nullptr) {
      m_signals.OnReport(aReport, *service->state, aNow);
      ServeQueue(aReport.service, aNow);
    }
  }

  void OnControl(const ColdReport& aReport, TimePoint aNow)
  {
    ServiceEntry* service = m_services.Find(aReport.service);
    if (service != nullptr) {
      SignalHandler::OnReport(aReport, *service->state, aNow);
    }
  }

  void OnControl(const CrashReport& aReport, TimePoint aNow)
  {
    m_crashes.OnReport(aReport, aNow);
  }

  void OnRepeatedClaim(std::uint64_t aId,
                       PendingRequest& aRequest,
                       const ClaimReply& aReply,
                       TimePoint aNow)
  {
    if (aReply.state == ClaimState::Running) {
      aRequest.next_claim_at = aNow + kClaimPollInterval;
      aRequest.is_repeat = true;
      return;
    }
    if (aReply.state == ClaimState::Done && aReply.answer.kept) {
      ResponseHead head;
      head.status = aReply.answer.status;
      head.headers = { { m_options.dialect.request_id, std::to_string(aId) },
                       { kRepeatHeader, "true" } };
      if (!aReply.answer.content_type.empty()) {
        head.headers.emplace_back("Content-Type", aReply.answer.content_type);
      }
      aRequest.exchange->AnswerWhole(head, aReply.answer.body);
      LogDecision(aId,
                  "claim",
                  "The request is a repeat and gets the first answer.",
                  RequestFields(aId));
      m_metrics.Count("repeats_total", { { "answer", "replayed" } });
      FinishRequest(aId, aNow);
      return;
    }
    const bool done = aReply.state == ClaimState::Done;
    RefuseAdmitted(aId,
                   { 409,
                     Outcome::Unknown,
                     done ? "ran-before" : "outcome-unknown",
                     done ? "it ran before and its answer was too large to keep"
                          : "it was sent before and nobody knows its answer" },
                   aNow);
  }

  // Queueing and claiming.

  void Enqueue(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    aRequest.stage = RequestStage::Queued;
    ServiceEntry* found = m_services.Find(aRequest.service);
    if (found == nullptr) {
      RefuseAdmitted(aId,
                     { 503,
                       Outcome::NotRun,
                       "no-service",
                       "the route's service is not known" },
                     aNow);
      return;
    }
    ServiceEntry& service = *found;
    if (service.state->IsEvacuated()) {
      RefuseAdmitted(aId, EvacuatedRefusal(), aNow);
      return;
    }
    const QueuedRequest queued = MakeQueued(aId, aRequest, *service.state);
    const Duration wait =
      service.state->ExpectedWait(service.queue->SizeAhead(queued), aNow);
    if (wait > queued.start_for_deadline - aNow) {
      if (StartLimitOfStop(service) < queued.deadline) {
        RefuseForStop(aId, aNow);
        return;
      }
      RefuseAdmitted(aId,
                     { 503,
                       Outcome::NotRun,
                       "overload",
                       "no slot of the service will be free in time",
                       RetryAfterOf(wait) },
                     aNow);
      return;
    }
    if (!service.queue->Push(queued)) {
      RefuseAdmitted(aId,
                     { 503,
                       Outcome::NotRun,
                       "queue-full",
                       "too many requests of the account wait" },
                     aNow);
    }
  }

  QueuedRequest MakeQueued(std::uint64_t aId,
                           const PendingRequest& aRequest,
                           const ServiceState& aState) const
  {
    QueuedRequest queued;
    queued.id = aId;
    queued.account = aRequest.account.empty() ? "(open)" : aRequest.account;
    queued.deadline = aRequest.deadline;
    queued.priority = aRequest.priority;
    const StartLimits limits = LatestStarts({ aRequest.exchange->Head().arrived,
                                              aRequest.route.target,
                                              aRequest.deadline },
                                            aState.MeanLatency());
    queued.start_for_target = limits.for_target;
    queued.start_for_deadline =
      std::min(limits.for_deadline, m_stop.LatestStart(aState.MeanLatency()));
    return queued;
  }

  /// Refuses waiting requests that cannot be answered in time any more; all of
  /// them if the service is evacuated.
  void RefuseLate(ServiceEntry& aService, TimePoint aNow)
  {
    if (aService.state->IsEvacuated()) {
      for (const auto& waiting : aService.queue->TakeLate(TimePoint::max())) {
        RefuseAdmitted(waiting.id, EvacuatedRefusal(), aNow);
      }
    }
    for (const QueuedRequest& late : aService.queue->TakeLate(aNow)) {
      const Duration wait =
        aService.state->ExpectedWait(aService.queue->SizeAhead(late), aNow);
      RefuseAdmitted(late.id,
                     { 503,
                       Outcome::NotRun,
                       "overload",
                       "no slot of the service became free in time",
                       RetryAfterOf(wait) },
                     aNow);
    }
  }

  /// Latest start of the service's requests in view of a planned stop.
  TimePoint StartLimitOfStop(const ServiceEntry& aService) const
  {
    return m_stop.LatestStart(aService.state->MeanLatency());
  }

  /// Whether a planned stop leaves too little time to start a request.
  bool IsTooLateForStop(const PendingRequest& aRequest, TimePoint aNow)
  {
    const ServiceEntry* service =
      m_stop.HasBegun() ? m_services.Find(aRequest.service) : nullptr;
    return service != nullptr && aNow > StartLimitOfStop(*service);
  }

  /// Refuses the waiting requests whose turn would come too late for the stop.
  /// The others are refused when they have become too late.
  void RefuseTooManyWaiting(TimePoint aNow)
  {
    std::vector<std::pair<std::uint32_t, std::uint64_t>> waiting;
    for (const auto& [id, request] : m_requests) {
      if (request.stage == RequestStage::Queued) {
        waiting.emplace_back(request.priority, id);
      }
    }
    std::sort(waiting.begin(), waiting.end());
    std::map<std::string, std::size_t> kept;
    for (const auto& [priority, id] : waiting) {
      const std::string& name = m_requests.at(id).service;
      const ServiceEntry* service = m_services.Find(name);
      if (service == nullptr) {
        continue;
      }
      std::size_t& ahead = kept[name];
      if (service->state->ExpectedWait(ahead, aNow) >
          StartLimitOfStop(*service) - aNow) {
        RefuseForStop(id, aNow);
      } else {
        ++ahead;
      }
    }
  }

  void RefuseForStop(std::uint64_t aId, TimePoint aNow)
  {
    RefuseAdmitted(aId, RefusalOfStop(), aNow);
  }

  static Refusal RefusalOfStop()
  {
    return { 503,
             Outcome::NotRun,
             "stopping",
             "this host is being stopped",
             kStopRetryAfter };
  }

  void LogIfWaiting(std::uint64_t aId, TimePoint aNow)
  {
    auto pending = m_requests.find(aId);
    if (pending == m_requests.end() ||
        pending->second.stage != RequestStage::Queued) {
      return;
    }
    const ServiceEntry& service = m_services.At(pending->second.service);
    const std::size_t waiting = service.queue->Size();
    LogDecision(
      aId,
      "queue",
      "The request waits for a slot.",
      RequestFields(aId)
        .Add("waiting", std::uint64_t{ waiting })
        .Add("expected_ms", service.state->ExpectedWait(waiting, aNow))
        .Add(ViewFields(aNow)));
  }

  /// Dequeues requests of a service while it has free slots.
  void ServeQueue(const std::string& aService, TimePoint aNow)
  {
    ServiceEntry* found = m_services.Find(aService);
    if (found == nullptr) {
      return;
    }
    ServiceEntry& service = *found;
    while (service.queue->Size() > 0 &&
           service.state->FreeSlots(aNow) > service.reserved_slots) {
      const auto next = service.queue->Pop(aNow);
      if (!next) {
        return;
      }
      AdvanceDequeued(next->id, aNow);
    }
  }

  /// Authorizes a dequeued request again, renews an expired token, then claims
  /// or sends the request.
  void AdvanceDequeued(std::uint64_t aId, TimePoint aNow)
  {
    auto pending = m_requests.find(aId);
    if (pending == m_requests.end()) {
      return;
    }
    PendingRequest& request = pending->second;
    if (!request.route.open) {
      auto refusal = m_admission.Authorize(request, aNow);
      if (refusal) {
        RefuseAdmitted(aId, *refusal, aNow);
        return;
      }
      if (aNow >= request.token_valid_until) {
        AskNewToken(aId, request, aNow);
        return;
      }
    }
    if (request.route.mode == RouteMode::RunOnce) {
      SubmitClaim(aId, request, aNow);
      return;
    }
    SendOrRequeue(aId, request, aNow);
  }

  void AskNewToken(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    m_control.ReturnToken(aRequest.token_ask, aNow);
    aRequest.stage = RequestStage::AwaitingToken;
    aRequest.token_ask =
      m_control.AskToken(aRequest.account, aRequest.deadline, aNow);
    m_requestsByAsk[aRequest.token_ask] = aId;
    ProcessControlEvents(aNow);
  }

  void ReserveSlot(PendingRequest& aRequest)
  {
    if (!aRequest.slot_reserved) {
      aRequest.slot_reserved = true;
      ++m_services.At(aRequest.service).reserved_slots;
    }
  }

  void ReleaseSlot(PendingRequest& aRequest)
  {
    if (aRequest.slot_reserved) {
      aRequest.slot_reserved = false;
      --m_services.At(aRequest.service).reserved_slots;
    }
  }

  void SubmitClaim(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    aRequest.stage = RequestStage::AwaitingClaim;
    aRequest.next_claim_at = TimePoint::max();
    ReserveSlot(aRequest);
    Claim claim;
    claim.id = ClaimIdOf(aRequest.account, aRequest.head.idempotency);
    const RequestHead& head = aRequest.exchange->Head();
    claim.fingerprint = StableHash(head.method + " " + head.target);
    aRequest.claim_ask = m_control.AskClaim(claim, aRequest.deadline, aNow);
    m_requestsByAsk[aRequest.claim_ask] = aId;
    ProcessControlEvents(aNow);
  }

  // Attempts.

  /// Starts an attempt, or queues the request again if no endpoint has room.
  void SendOrRequeue(std::uint64_t aId,
                     PendingRequest& aRequest,
                     TimePoint aNow)
  {
    if (aRequest.exchange->IsCallerGone()) {
      Abandon(aId, aRequest, aNow);
      return;
    }
    const auto heldBack = RefusalIfHeldBack(aRequest, aNow);
    if (heldBack) {
      RefuseAdmitted(aId, *heldBack, aNow);
      return;
    }
    if (!aRequest.route.open && aNow >= aRequest.token_valid_until) {
      ReturnClaim(aRequest, aNow);
      AskNewToken(aId, aRequest, aNow);
      return;
    }
    if (aRequest.claim_granted &&
        !m_control.MaySend(aRequest.claim_ask, aNow)) {
      ReturnClaim(aRequest, aNow);
      RefuseAdmitted(aId,
                     { 503,
                       Outcome::NotRun,
                       "claim-unavailable",
                       "the claim lapsed before the request was sent" },
                     aNow);
      return;
    }
    if (!TryStartAttempt(aId, aRequest, aNow)) {
      ReturnClaim(aRequest, aNow);
      Enqueue(aId, aRequest, aNow);
    }
  }

  void ReturnClaim(PendingRequest& aRequest, TimePoint aNow)
  {
    if (aRequest.claim_granted) {
      m_control.ReleaseClaim(aRequest.claim_ask, aNow);
      aRequest.claim_granted = false;
    }
  }

  bool TryStartAttempt(std::uint64_t aId,
                       PendingRequest& aRequest,
                       TimePoint aNow) override
  {
    const bool heldBack =
      m_crashes.HeldBackFor(aRequest, aNow) > Duration::zero();
    if (heldBack || IsTooLateForStop(aRequest, aNow)) {
      return false;
    }
    ServiceEntry& service = m_services.At(aRequest.service);
    const bool safe = MayResend(aRequest);
    PlaceRequest place;
    place.may_try = safe || !service.has_safe_route;
    place.repeatable = safe;
    place.body_bytes = aRequest.head.length.value_or(0);
    place.target = aRequest.route.target;
    place.left = aRequest.deadline - aNow;
    place.avoid = aRequest.tried_endpoints;
    service.state->SetExploration(
      place, m_control.Shortfall(aRequest.service, aNow), aNow);
    const auto placed = service.state->Place(place, aNow, m_random);
    if (!placed) {
      return false;
    }
    Attempt attempt;
    attempt.id = m_nextAttempt++;
    attempt.endpoint = placed->endpoint;
    attempt.lifetime = placed->lifetime;
    attempt.started = aNow;
    attempt.trial = placed->trial;
    attempt.queued_turns = placed->queued_turns;
    service.state->Begin(placed->endpoint, aNow);
    aRequest.attempts.push_back(attempt);
    aRequest.tried_endpoints.push_back(placed->endpoint);
    ++aRequest.attempts_made;
    ++aRequest.attempts_sent;
    aRequest.stage = RequestStage::AwaitingResponse;
    m_requestsByAttempt[attempt.id] = aId;
    const bool first = aRequest.attempts_made == 1;
    if (first) {
      m_retries.OnFirstAttempt(aNow);
    }
    WorkReport report;
    report.begins = first;
    report.extra = !first;
    ReportWork(aRequest, attempt.endpoint, report, aNow);
    LogDecision(aId,
                "route",
                "The request goes to an endpoint.",
                RequestFields(aId)
                  .Add("endpoint", placed->endpoint)
                  .Add("attempt", aRequest.attempts_made)
                  .Add(placed->inputs)
                  .Add(ViewFields(aNow))
                  .Add("left_ms", aRequest.deadline - aNow));
    m_metrics.Count("attempts_total", { { "service", aRequest.service } });
    if (placed->cold) {
      m_metrics.Count(
        "cold_attempts_total",
        { { "endpoint", placed->endpoint }, { "service", aRequest.service } });
    }
    m_upstreams.Start(MakeAttemptOrder(
      aRequest, attempt, *placed, m_options.dialect, m_options.limits, aNow));
    return true;
  }

  static Attempt* FindAttempt(PendingRequest& aRequest, std::uint64_t aId)
  {
    for (Attempt& attempt : aRequest.attempts) {
      if (attempt.id == aId) {
        return &attempt;
      }
    }
    return nullptr;
  }

  void OnResponseHead(std::uint64_t aId,
                      PendingRequest& aRequest,
                      const AttemptEvent& aEvent,
                      TimePoint aNow)
  {
    Attempt* attempt = FindAttempt(aRequest, aEvent.id);
    if (attempt == nullptr) {
      return;
    }
    attempt->head_received = true;
    ServiceState& state = *m_services.At(aRequest.service).state;
    const HttpDialect& dialect = m_options.dialect;
    attempt->misdirected = dialect.other_endpoint_status != 0 &&
                           aEvent.head.status == dialect.other_endpoint_status;
    if (attempt->misdirected) {
      state.NoteMoved(attempt->endpoint);
    } else {
      m_signals.Apply(aEvent.head, aRequest.service, *attempt, state, aNow);
    }
    const bool notRun = SaysNotRun(aEvent.head, dialect);
    const bool unverified = !notRun && IsUnverified(aEvent.head);
    if (!attempt->misdirected && !unverified) {
      m_signals.ApplyLimit(
        aEvent.head, aRequest.service, *attempt, state, aNow);
      m_signals.ApplyCold(aEvent.head, aRequest.service, *attempt, state, aNow);
    }
    if (notRun) {
      OnShedResponse(aId, aRequest, *attempt, aEvent, aNow);
      return;
    }
    const bool failed =
      aEvent.head.status >= kMinServerErrorStatus || unverified;
    const Duration elapsed = aNow - attempt->started;
    attempt->failed = failed;
    if (!attempt->stalled) {
      state.Observe(
        attempt->endpoint,
        { failed ? WorkResult::Failed : WorkResult::Answered, elapsed },
        aNow);
    }
    if (aRequest.stage == RequestStage::Responding) {
      return;
    }
    const bool othersRunning = aRequest.attempts.size() > 1;
    if (failed) {
      LogDecision(aId,
                  "route",
                  "The endpoint failed the request.",
                  RequestFields(aId)
                    .Add("endpoint", attempt->endpoint)
                    .Add("connection", aEvent.connection)
                    .Add("status", aEvent.head.status)
                    .Add("receipt", unverified ? "missing" : "there")
                    .Add("elapsed_ms", elapsed));
    }
    if (failed && MayResend(aRequest) &&
        (othersRunning || m_retries.TryRetry(aId, aRequest, aNow))) {
      m_upstreams.Cancel(aEvent.id);
      return;
    }
    if (unverified) {
      // The response is not from the endpoint, so its content is untrusted.
      m_upstreams.Cancel(aEvent.id);
      RefuseAdmitted(aId,
                     { 502,
                       Outcome::Unknown,
                       "no-receipt",
                       "the upstream's answer is not a proper one" },
                     aNow);
      return;
    }
    ForwardHead(aId, aRequest, aEvent, aNow);
  }

  /// Whether the endpoint is not proven to have sent the response: a success
  /// without a receipt, or a status that implies that the request has not run
  /// although the endpoint's header does not say so.
  bool IsUnverified(const ResponseHead& aHead) const
  {
    const std::string& receipt = m_options.dialect.receipt;
    if (receipt.empty()) {
      return false;
    }
    const bool success =
      aHead.status < kMinRedirectStatus && aHead.status >= kMinSuccessStatus;
    const bool claimsNotRun = aHead.status == 408 || aHead.status == 421 ||
                              aHead.status == 429 || aHead.status == 503;
    return claimsNotRun ||
           (success && FindHeader(aHead.headers, receipt) == nullptr);
  }

  /// Forwards a response head to the caller and cancels the other attempts.
  void ForwardHead(std::uint64_t aId,
                   PendingRequest& aRequest,
                   const AttemptEvent& aEvent,
                   TimePoint aNow)
  {
    ResponseHead head = aEvent.head;
    head.headers = AnswerHeaders(head.headers, m_options.dialect);
    if (!m_options.dialect.caller_names_requests) {
      head.headers.emplace_back(m_options.dialect.request_id,
                                std::to_string(aId));
    }
    if (!aRequest.exchange->Answer(head)) {
      RefuseAdmitted(aId,
                     { 502,
                       Outcome::Unknown,
                       "answered-before",
                       "the body was refused before the upstream answered" },
                     aNow);
      return;
    }
    m_crashes.OnServed(aRequest, aNow);
    aRequest.stage = RequestStage::Responding;
    aRequest.forwarded_attempt = aEvent.id;
    aRequest.response_status = aEvent.head.status;
    const std::string* type = FindHeader(aEvent.head.headers, "content-type");
    aRequest.response_content_type = type == nullptr ? "" : *type;
    for (const Attempt& attempt : aRequest.attempts) {
      if (attempt.id != aEvent.id) {
        m_upstreams.Cancel(attempt.id);
      }
    }
    const Attempt* attempt = FindAttempt(aRequest, aEvent.id);
    LogDecision(aId,
                "answer",
                "The request is answered.",
                RequestFields(aId)
                  .Add("status", head.status)
                  .Add("endpoint", attempt->endpoint)
                  .Add("connection", aEvent.connection)
                  .Add("attempts", aRequest.attempts_made)
                  .Add("elapsed_ms", aNow - aRequest.exchange->Head().arrived));
    m_metrics.Observe("time_to_head_seconds",
                      { { "service", aRequest.service } },
                      aNow - aRequest.exchange->Head().arrived);
    m_upstreams.Accept(aEvent.id);
  }

  /// Handles a response that says that the request did not run.
  void OnShedResponse(std::uint64_t aId,
                      PendingRequest& aRequest,
                      Attempt& aAttempt,
                      const AttemptEvent& aEvent,
                      TimePoint aNow)
  {
    m_retries.OnShed(aRequest, aAttempt, aNow);
    LogDecision(aId,
                "route",
                "The endpoint shed the request without running it.",
                RequestFields(aId)
                  .Add("endpoint", aAttempt.endpoint)
                  .Add("connection", aEvent.connection)
                  .Add("status", aEvent.head.status)
                  .Add("elapsed_ms", aNow - aAttempt.started));
    if (aRequest.stage != RequestStage::Responding) {
      // A retry waits for the end of this attempt.
      m_upstreams.Cancel(aAttempt.id);
    }
  }

  void OnAttemptEnd(std::uint64_t aId,
                    PendingRequest& aRequest,
                    const AttemptEvent& aEvent,
                    TimePoint aNow)
  {
    Attempt* found = FindAttempt(aRequest, aEvent.id);
    if (found == nullptr) {
      return;
    }
    const Attempt attempt = *found;
    aRequest.attempts.erase(aRequest.attempts.begin() +
                            (found - aRequest.attempts.data()));
    m_requestsByAttempt.erase(aEvent.id);
    ServiceState& state = *m_services.At(aRequest.service).state;
    state.End(attempt.endpoint, aEvent.kept, aNow);
    const bool cancelled = aEvent.error == "cancelled";
    if (aEvent.endpoint_ended) {
      m_crashes.OnCrash(aRequest, attempt, aNow);
    }
    ReportAttemptEnd(aRequest, attempt, aEvent, aNow);
    if (!aEvent.sent) {
      --aRequest.attempts_sent; // No byte was sent.
    }
    const bool mayHaveRun = aEvent.sent && !attempt.shed;
    aRequest.may_have_run = aRequest.may_have_run || (mayHaveRun && !cancelled);
    if (aRequest.stage == RequestStage::Responding) {
      if (attempt.id == aRequest.forwarded_attempt) {
        FinishResponse(aId, aRequest, aEvent, aNow);
      }
      return;
    }
    if (!aRequest.attempts.empty()) {
      return;
    }
    if (attempt.shed) {
      m_retries.OnShedAttemptEnd(aId, aRequest, aNow);
      return;
    }
    if (!aEvent.body_gone && !cancelled && !aEvent.stale) {
      state.Observe(
        attempt.endpoint, { WorkResult::Failed, aNow - attempt.started }, aNow);
    }
    OnAttemptFailure(aId, aRequest, attempt, aEvent, aNow);
  }

  /// Retries or refuses a request whose last running attempt failed without a
  /// response.
  void OnAttemptFailure(std::uint64_t aId,
                        PendingRequest& aRequest,
                        const Attempt& aAttempt,
                        const AttemptEvent& aEvent,
                        TimePoint aNow)
  {
    LogDecision(aId,
                "route",
                "The attempt failed.",
                RequestFields(aId)
                  .Add("endpoint", aAttempt.endpoint)
                  .Add("connection", aEvent.connection)
                  .Add("error", aEvent.error)
                  .Add("elapsed_ms", aNow - aAttempt.started)
                  .Add("sent", aEvent.sent ? "yes" : "no")
                  .Add("may_have_run", aRequest.may_have_run ? "yes" : "no"));
    if (!aEvent.sent && !aEvent.body_gone &&
        aRequest.attempts_made < kMaxPlacements && aNow < aRequest.deadline &&
        TryStartAttempt(aId, aRequest, aNow)) {
      return; // No byte was sent, so no retry budget is charged.
    }
    const Refusal refusal = RefusalOfFailure(aRequest, aEvent, aNow);
    const bool repeatable = MayResend(aRequest) || !aRequest.may_have_run;
    if (!aEvent.body_gone && repeatable) {
      m_retries.RetryOrRefuse(aId, aRequest, refusal, aNow);
    } else {
      RefuseAdmitted(aId, refusal, aNow);
    }
  }

  /// Answer to a request whose last attempt failed without a response.
  static Refusal RefusalOfFailure(const PendingRequest& aRequest,
                                  const AttemptEvent& aEvent,
                                  TimePoint aNow)
  {
    if (!aRequest.may_have_run) {
      return { 503,
               Outcome::NotRun,
               aEvent.body_gone ? "body-gone" : "unreachable",
               "no connection to an upstream: " + aEvent.error };
    }
    const bool pastDeadline = aNow >= aRequest.deadline;
    return { pastDeadline ? 504 : 502,
             Outcome::Unknown,
             pastDeadline ? "deadline" : "broken-off",
             "the upstream gave no answer: " + aEvent.error };
  }

  /// Handles the end of the body of a forwarded response.
  void FinishResponse(std::uint64_t aId,
                      PendingRequest& aRequest,
                      const AttemptEvent& aEvent,
                      TimePoint aNow)
  {
    if (!aEvent.whole) {
      aRequest.exchange->UpstreamBreak();
      LogDecision(aId,
                  "answer",
                  "The endpoint broke its answer off.",
                  RequestFields(aId).Add("error", aEvent.error));
      m_metrics.Count("answers_broken_total",
                      { { "service", aRequest.service } });
    }
    if (aRequest.claim_granted) {
      KeptAnswer answer;
      answer.kept = aEvent.body_kept;
      answer.status = static_cast<std::uint16_t>(aRequest.response_status);
      answer.content_type = aRequest.response_content_type;
      answer.body = aEvent.kept_body;
      m_control.FinishClaim(aRequest.claim_ask,
                            aEvent.whole ? ClaimState::Done
                                         : ClaimState::Unknown,
                            answer,
                            aNow);
      aRequest.claim_granted = false;
    }
    m_metrics.Count(
      "answers_total",
      { { "account", aRequest.account }, { "service", aRequest.service } });
    FinishRequest(aId, aNow);
  }

  // Timeouts.

  /// Checks all requests for passed deadlines, stalls and disconnected callers.
  void CheckRequests(TimePoint aNow)
  {
    std::vector<std::uint64_t> ids;
    ids.reserve(m_requests.size());
    for (const auto& entry : m_requests) {
      ids.push_back(entry.first);
    }
    for (std::uint64_t id : ids) {
      auto pending = m_requests.find(id);
      if (pending != m_requests.end()) {
        CheckRequest(id, pending->second, aNow);
      }
    }
  }

  void CheckRequest(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    if (aRequest.stage == RequestStage::AwaitingRetry) {
      return; // See RetryController::Tick.
    }
    const bool unsent = IsUnsent(aRequest.stage);
    const bool stops = unsent && IsTooLateForStop(aRequest, aNow);
    if (aRequest.is_repeat && unsent && (stops || aNow >= aRequest.deadline)) {
      RefuseAdmitted(aId,
                     { 409,
                       Outcome::Unknown,
                       "still-running",
                       "it was sent before and has no answer yet" },
                     aNow);
      return;
    }
    if (unsent && aNow >= aRequest.deadline) {
      RefuseAdmitted(aId,
                     { 504,
                       Outcome::NotRun,
                       "deadline",
                       "the deadline passed before the request was sent" },
                     aNow);
      return;
    }
    if (stops) {
      RefuseForStop(aId, aNow);
      return;
    }
    const bool runOnce = aRequest.route.mode == RouteMode::RunOnce;
    if (!(runOnce && !unsent) && aRequest.exchange->IsCallerGone()) {
      Abandon(aId, aRequest, aNow);
      return;
    }
    if (aRequest.stage == RequestStage::AwaitingClaim &&
        aNow >= aRequest.next_claim_at) {
      SubmitClaim(aId, aRequest, aNow);
      return;
    }
    if (aRequest.stage == RequestStage::AwaitingResponse) {
      CheckStalls(aId, aRequest, aNow);
    }
    if (aRequest.stage == RequestStage::AwaitingResponse &&
        aNow >= aRequest.deadline + kAttemptEndGrace) {
      RefuseAdmitted(aId,
                     { 504,
                       Outcome::Unknown,
                       "deadline",
                       "the upstream gave no answer before the deadline" },
                     aNow);
    }
  }

  /// Reports stalled attempts and hedges requests that may be resent.
  void CheckStalls(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    ServiceState& state = *m_services.At(aRequest.service).state;
    for (Attempt& attempt : aRequest.attempts) {
      const Duration waited = aNow - attempt.started;
      if (!attempt.head_received && !attempt.stalled &&
          waited >= state.StallAfter(
                      attempt.queued_turns, aRequest.route.target, aNow)) {
        attempt.stalled = true;
        state.Observe(attempt.endpoint, { WorkResult::Stalled, waited }, aNow);
        WorkReport report;
        report.bad = 1;
        ReportWork(aRequest, attempt.endpoint, report, aNow);
      }
    }
    m_retries.TryHedge(aId, aRequest, aNow);
  }

  /// Drops a request whose caller has disconnected.
  void Abandon(std::uint64_t aId,
               const PendingRequest& aRequest,
               TimePoint aNow) override
  {
    m_metrics.Count("abandoned_total", { { "service", aRequest.service } });
    LogDecision(aId,
                "answer",
                "The caller has disconnected.",
                RequestFields(aId)
                  .Add("attempts", aRequest.attempts_made)
                  .Add("elapsed_ms", aNow - aRequest.exchange->Head().arrived));
    // Wakes the caller's session, which then finds the connection closed.
    Refuse(*aRequest.exchange,
           { 499, Outcome::Unknown, "caller-left", "the caller has gone" },
           m_options.dialect);
    FinishRequest(aId, aNow);
  }

  // RetryActions.

  PendingRequest* FindRequest(std::uint64_t aId) override
  {
    auto found = m_requests.find(aId);
    return found == m_requests.end() ? nullptr : &found->second;
  }

  std::optional<Refusal> ReasonToRefuse(PendingRequest& aRequest,
                                        TimePoint aNow) override
  {
    if (IsTooLateForStop(aRequest, aNow)) {
      return RefusalOfStop();
    }
    const auto refusal = m_admission.ReadmitForRetry(aRequest, aNow);
    return refusal ? refusal : RefusalIfHeldBack(aRequest, aNow);
  }

  bool MayResume(const PendingRequest& aRequest, TimePoint aNow) override
  {
    return m_admission.IsCertain(aRequest, aNow) &&
           (!aRequest.claim_granted ||
            m_control.MaySend(aRequest.claim_ask, aNow));
  }

  void LogRetry(std::uint64_t aId,
                const std::string& aSentence,
                const LogFields& aFields) override
  {
    LogDecision(aId, "retry", aSentence, RequestFields(aId).Add(aFields));
  }

  // Reports to the fleet.

  void ReportWork(const PendingRequest& aRequest,
                  const std::string& aEndpoint,
                  WorkReport aReport,
                  TimePoint aNow)
  {
    ServiceEntry* service = m_services.Find(aRequest.service);
    if (service == nullptr) {
      return;
    }
    aReport.service = aRequest.service;
    aReport.endpoint = aEndpoint;
    aReport.in_flight = service->state->InFlight(aEndpoint);
    m_control.ShareWork(aReport, aNow);
  }

  void ReportAttemptEnd(const PendingRequest& aRequest,
                        const Attempt& aAttempt,
                        const AttemptEvent& aEvent,
                        TimePoint aNow)
  {
    WorkReport report;
    const bool failedEarly = !aEvent.whole && aEvent.error != "cancelled" &&
                             !aEvent.body_gone && !aEvent.stale;
    if (aAttempt.misdirected) {
      report.bad = kMisdirectedFailureCount;
    } else if (aAttempt.shed) {
      report.shed = 1;
    } else if (aAttempt.failed || failedEarly || aAttempt.stalled) {
      report.bad = aAttempt.stalled ? 0 : 1; // Already reported as stalled.
    } else if (aEvent.whole) {
      report.answered = 1;
      report.answer_time = aNow - aAttempt.started;
    }
    ReportWork(aRequest, aAttempt.endpoint, report, aNow);
  }

  // Completion.

  std::unordered_map<std::uint64_t, PendingRequest>::iterator PopAskingRequest(
    AskId aAsk)
  {
    auto found = m_requestsByAsk.find(aAsk);
    if (found == m_requestsByAsk.end()) {
      return m_requests.end();
    }
    const std::uint64_t id = found->second;
    m_requestsByAsk.erase(found);
    return m_requests.find(id);
  }

  void RefuseOnArrival(PendingRequest& aRequest, const Refusal& aRefusal)
  {
    Refuse(*aRequest.exchange, aRefusal, m_options.dialect);
    RecordRefusal(aRequest, aRefusal);
  }

  void RefuseAdmitted(std::uint64_t aId,
                      const Refusal& aRefusal,
                      TimePoint aNow) override
  {
    PendingRequest& request = m_requests.at(aId);
    if (request.claim_granted) {
      if (aRefusal.outcome == Outcome::NotRun) {
        m_control.ReleaseClaim(request.claim_ask, aNow);
      } else {
        m_control.FinishClaim(request.claim_ask, ClaimState::Unknown, {}, aNow);
      }
      request.claim_granted = false;
    }
    Refuse(*request.exchange, aRefusal, m_options.dialect);
    RecordRefusal(request, aRefusal);
    FinishRequest(aId, aNow);
  }

  void RecordRefusal(const PendingRequest& aRequest, const Refusal& aRefusal)
  {
    LogFields fields = LogFieldsOf(aRequest);
    fields.Add("status", aRefusal.status)
      .Add("outcome", OutcomeWord(aRefusal.outcome))
      .Add("reason", aRefusal.reason)
      .Add("detail", aRefusal.detail)
      .Add("attempts", aRequest.attempts_made);
    if (aRefusal.retry_after) {
      fields.Add("retry_after_ms", Duration(*aRefusal.retry_after));
    }
    LogDecision(
      aRequest.exchange->Head().id, "admit", "The request is refused.", fields);
    m_metrics.Count("refusals_total",
                    { { "account", aRequest.account },
                      { "reason", aRefusal.reason },
                      { "outcome", OutcomeWord(aRefusal.outcome) } });
  }

  /// Removes a request and releases its attempts, token, slot and claim.
  void FinishRequest(std::uint64_t aId, TimePoint aNow)
  {
    m_retries.OnFinish(aId, aNow);
    auto pending = m_requests.find(aId);
    PendingRequest& request = pending->second;
    ServiceEntry* service = m_services.Find(request.service);
    for (const Attempt& attempt : request.attempts) {
      m_upstreams.Cancel(attempt.id);
      service->state->End(attempt.endpoint, false, aNow);
      m_requestsByAttempt.erase(attempt.id);
      WorkReport report;
      report.bad = attempt.failed ? 1 : 0;
      ReportWork(request, attempt.endpoint, report, aNow);
    }
    const bool served = request.stage == RequestStage::Responding &&
                        request.response_status < kMinRedirectStatus;
    m_control.NoteOutcome(request.service, served, aNow);
    ReleaseSlot(request);
    const bool unused = request.attempts_made == 0 && request.token_ask != 0;
    if (unused && request.token_valid_until > TimePoint{}) {
      m_control.ReturnToken(request.token_ask, aNow);
    }
    if (service != nullptr && request.stage == RequestStage::Queued) {
      service->queue->Remove(aId);
    }
    ReturnClaim(request, aNow);
    m_requests.erase(pending);
  }

  /// Log fields that identify a request.
  static LogFields LogFieldsOf(const PendingRequest& aRequest)
  {
    LogFields fields;
    fields.Add("request", aRequest.log_id);
    if (!aRequest.account.empty()) {
      fields.Add("account", aRequest.account);
    }
    if (!aRequest.route.id.empty()) {
      fields.Add("route", aRequest.route.id);
    }
    if (!aRequest.service.empty()) {
      fields.Add("service", aRequest.service);
    }
    return fields;
  }

  LogFields RequestFields(std::uint64_t aId) const
  {
    return LogFieldsOf(m_requests.at(aId));
  }

  /// Log fields for the configuration version and the state of the fleet view.
  LogFields ViewFields(TimePoint aNow) const
  {
    LogFields fields;
    fields.Add("config", m_control.Config()->version);
    const auto view = m_control.View(aNow);
    if (view) {
      fields.Add("view_version", view->version.Text())
        .Add("view_age_ms", view->age)
        .Add("view_from", view->source);
    }
    return fields;
  }

  /// Logs a decision and records the line for Explain.
  void LogDecision(std::uint64_t aId,
                   const char* aPart,
                   const std::string& aSentence,
                   const LogFields& aFields)
  {
    LogLine(aPart, aSentence, aFields);
    m_history.Record(
      aId, std::string("[") + aPart + "] " + aSentence + aFields.Text());
  }

  DispatcherOptions m_options;
  FleetControl& m_control;
  UpstreamIo& m_upstreams;
  Metrics& m_metrics;
  Random m_random;
  std::uint64_t m_nextAttempt;
  std::deque<ExchangePtr> m_earlyRequests; ///< Await the configuration.
  TimePoint m_startedAt{}; ///< Time of the first tick or request.
  TimePoint m_nextGauge{};
  AdmissionController m_admission;
  StopSchedule m_stop;
  ServiceTable m_services;
  SignalHandler m_signals;
  CrashGuard m_crashes;
  RetryController m_retries;
  std::unordered_map<std::uint64_t, PendingRequest> m_requests;
  std::unordered_map<std::uint64_t, std::uint64_t> m_requestsByAttempt;
  std::unordered_map<AskId, std::uint64_t> m_requestsByAsk;
  RequestHistory m_history;
};

} // namespace

std::unique_ptr<Dispatcher>
MakeDispatcher(DispatcherOptions aOptions,
               FleetControl& aControl,
               UpstreamIo& aUpstreams,
               Metrics& aMetrics)
{
  return std::make_unique<RequestDispatcher>(
    std::move(aOptions), aControl, aUpstreams, aMetrics);
}

} // namespace sapphirelane
