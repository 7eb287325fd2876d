#include "sapphirelane/proxy/dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/refusal.h"
#include "sapphirelane/proxy/request_gate.h"
#include "sapphirelane/proxy/request_history.h"
#include "sapphirelane/proxy/service_book.h"
#include "sapphirelane/routing/retry_policy.h"

namespace sapphirelane {

namespace {

/// Time after the start in which requests wait for the first configuration. A
/// daemon whose store answers knows it within a few answers; another one
/// refuses at once from then on.
constexpr Milliseconds kConfigWait{ 500 };

/// How often a repeat of a running claim asks for its answer.
constexpr Milliseconds kClaimPoll{ 50 };

/// Longest time between a decision to send and the first byte.
constexpr Milliseconds kSendWithin{ 1000 };

/// Longest time that an attempt's end may come after its deadline.
constexpr Milliseconds kEndWithin{ 1000 };

/// Time for an endpoint's own answer at the deadline to come in.
constexpr Milliseconds kAnswerWithin{ 30 };

constexpr int kServerError = 500;
/// Endpoints that a request is placed on at most, counting those that could
/// not be reached.
constexpr std::uint32_t kMostPlacings = 6;

/// Bad results that an endpoint counts which is not at its address any more;
/// enough for others to avoid it for as long as a spell lasts.
constexpr std::uint32_t kMovedEvidence = 3;

/// Share of a service's requests that may fail before neglected endpoints get
/// work: a little less than the tenth from which the floor is judged.
constexpr double kMostShortfall = 0.09;

/// Time after which a service that had no safe work here is taken to have none,
/// whatever its routes allow.
constexpr Milliseconds kSafeWorkWithin{ 3000 };

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/// Extra attempts that hedging may add, as a share of requests.
constexpr double kHedgeShare = 0.04;

RetryBudgetOptions
HedgeOptions()
{
  RetryBudgetOptions options;
  options.share = kHedgeShare;
  return options;
}

class RequestDispatcher : public Dispatcher
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
    , m_retry(RetryRegistry::Make(m_options.policies.retry))
    , m_hedge(MakeRetryBudget(HedgeOptions()))
    , m_gate(m_options.limits, m_control)
    , m_services(m_options.limits, m_options.policies, m_control, m_metrics)
  {
  }

  void OnRequest(ExchangePtr aExchange, TimePoint aNow) override
  {
    const bool early =
      AwaitsConfig(aNow) && m_early.size() < m_options.limits.in_flight;
    if (early) {
      LogLine("admit",
              "The request waits for the configuration.",
              LogFields().Add("request", aExchange->Head().id));
      m_early.push_back(std::move(aExchange));
      return;
    }
    Take(std::move(aExchange), aNow);
  }

  void OnAttempt(const AttemptEvent& aEvent, TimePoint aNow) override
  {
    auto found = m_attempts.find(aEvent.id);
    if (found == m_attempts.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    auto held = m_requests.find(id);
    if (held == m_requests.end()) {
      return;
    }
    const std::string service = held->second.service;
    if (aEvent.kind == AttemptEvent::Kind::Head) {
      OnHead(id, held->second, aEvent, aNow);
    } else {
      OnEnd(id, held->second, aEvent, aNow);
    }
    Serve(service, aNow);
  }

  void OnEvents(TimePoint aNow) override { TakeControlEvents(aNow); }

  void OnTick(TimePoint aNow) override
  {
    m_services.Load(aNow);
    TakeEarly(aNow);
    TakeControlEvents(aNow);
    CheckRequests(aNow);
    for (const auto& entry : m_services.All()) {
      m_services.Judge(entry.first, aNow);
      Serve(entry.first, aNow);
    }
    m_metrics.Set(
      "requests_in_flight", {}, static_cast<double>(m_requests.size()));
  }

  void Drain() override { m_gate.Close(); }

  std::size_t InFlight() const override
  {
    return m_requests.size() + m_early.size();
  }

  std::string Explain(std::uint64_t aRequest) const override
  {
    return m_history.Lines(aRequest);
  }

private:
  /// The daemon has just started and is about to know its configuration.
  bool AwaitsConfig(TimePoint aNow)
  {
    m_begun = m_begun == TimePoint{} ? aNow : m_begun;
    return m_control.Config() == nullptr && aNow - m_begun < kConfigWait;
  }

  /// Takes up what waited for the configuration, or has waited long enough.
  void TakeEarly(TimePoint aNow)
  {
    while (!m_early.empty()) {
      if (AwaitsConfig(aNow)) {
        return;
      }
      ExchangePtr exchange = std::move(m_early.front());
      m_early.pop_front();
      if (!exchange->IsCallerGone()) {
        Take(std::move(exchange), aNow);
      }
    }
  }

  /// Admits a request and begins with it, or refuses it.
  void Take(ExchangePtr aExchange, TimePoint aNow)
  {
    const std::uint64_t id = aExchange->Head().id;
    PendingRequest request;
    request.exchange = std::move(aExchange);
    request.head = CheckHead(request.exchange->Head(), m_options.dialect);
    request.name = request.head.request_id.empty() ? std::to_string(id)
                                                   : request.head.request_id;
    m_services.Load(aNow);
    auto refusal = m_gate.Admit(request, m_requests.size(), aNow);
    if (refusal) {
      RefuseUnheld(request, *refusal);
      if (!request.service.empty()) {
        m_control.NoteOutcome(request.service, false, aNow);
      }
      return;
    }
    request.service = ChooseService(request.route);
    const std::string service = request.service;
    PendingRequest& held = m_requests[id] = std::move(request);
    if (held.account.empty()) {
      Enqueue(id, held, aNow);
    } else {
      held.token = m_control.AskToken(held.account, held.deadline, aNow);
      m_asks[held.token] = id;
    }
    TakeControlEvents(aNow);
    Serve(service, aNow);
    LogIfWaiting(id, aNow);
  }

  /// Draws one of the services that share a route's requests.
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

  // Fleet answers.

  void TakeControlEvents(TimePoint aNow)
  {
    // An event may lead to a question that is answered at once.
    auto events = m_control.TakeEvents();
    while (!events.empty()) {
      for (const ControlEvent& event : events) {
        std::visit([&](const auto& aOne) { OnControl(aOne, aNow); }, event);
      }
      events = m_control.TakeEvents();
    }
  }

  void OnControl(const TokenResult& aResult, TimePoint aNow)
  {
    auto held = TakeAsk(aResult.ask);
    if (held == m_requests.end()) {
      if (aResult.verdict == TokenVerdict::Granted) {
        m_control.ReturnToken(aResult.ask, aNow);
      }
      return;
    }
    const std::uint64_t id = held->first;
    PendingRequest& request = held->second;
    if (aResult.verdict == TokenVerdict::Refused) {
      RefuseHeld(id,
                 { 429,
                   Outcome::NotRun,
                   "rate",
                   "the account is past its rate and burst",
                   aResult.retry_after },
                 aNow);
      return;
    }
    if (aResult.verdict == TokenVerdict::Unavailable) {
      RefuseHeld(id,
                 { 503,
                   Outcome::NotRun,
                   "limit-unavailable",
                   "the holder of the account's budget cannot be asked" },
                 aNow);
      return;
    }
    const std::string service = request.service;
    request.token_until = aResult.valid_until;
    Enqueue(id, request, aNow);
    Serve(service, aNow);
  }

  void OnControl(const ClaimResult& aResult, TimePoint aNow)
  {
    auto held = TakeAsk(aResult.ask);
    if (held == m_requests.end()) {
      if (aResult.reply.verdict == ClaimVerdict::Granted) {
        m_control.ReleaseClaim(aResult.ask, aNow);
      }
      return;
    }
    const std::uint64_t id = held->first;
    PendingRequest& request = held->second;
    Unreserve(request);
    switch (aResult.reply.verdict) {
      case ClaimVerdict::Granted:
        request.claimed = true;
        Send(id, request, aNow);
        return;
      case ClaimVerdict::Repeat:
        OnRepeat(id, request, aResult.reply, aNow);
        return;
      case ClaimVerdict::Mismatch:
        RefuseHeld(id,
                   { 422,
                     Outcome::NotRun,
                     "key-reused",
                     "the idempotency key came with another request" },
                   aNow);
        return;
      case ClaimVerdict::NotReady:
        break;
    }
    RefuseHeld(id,
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
      Serve(aEvidence.service, aNow);
    }
  }

  void OnRepeat(std::uint64_t aId,
                PendingRequest& aRequest,
                const ClaimReply& aReply,
                TimePoint aNow)
  {
    if (aReply.state == ClaimState::Running) {
      aRequest.claim_again = aNow + kClaimPoll;
      aRequest.repeats = true;
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
      Log(aId,
          "claim",
          "The request is a repeat and gets the first answer.",
          Subject(aId));
      m_metrics.Count("repeats_total", { { "answer", "replayed" } });
      Finish(aId, aNow);
      return;
    }
    const bool done = aReply.state == ClaimState::Done;
    RefuseHeld(aId,
               { 409,
                 Outcome::Unknown,
                 done ? "ran-before" : "outcome-unknown",
                 done ? "it ran before and its answer was too large to keep"
                      : "it was sent before and nobody knows its answer" },
               aNow);
  }

  // Queue and claim.

  void Enqueue(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    aRequest.stage = Stage::Queued;
    ServiceEntry* found = m_services.Find(aRequest.service);
    if (found == nullptr) {
      RefuseHeld(aId,
                 { 503,
                   Outcome::NotRun,
                   "no-service",
                   "the route's service is not known" },
                 aNow);
      return;
    }
    ServiceEntry& service = *found;
    const Duration wait = service.state->ExpectedWait(service.queue->Size());
    if (wait > aRequest.deadline - aNow) {
      RefuseHeld(aId,
                 { 503,
                   Outcome::NotRun,
                   "overload",
                   "no slot of the service will be free in time",
                   RetryAfter(wait, aRequest, aNow) },
                 aNow);
      return;
    }
    const std::string line =
      aRequest.account.empty() ? "(open)" : aRequest.account;
    if (!service.queue->Push({ aId, line, aRequest.deadline })) {
      RefuseHeld(aId,
                 { 503,
                   Outcome::NotRun,
                   "queue-full",
                   "too many requests of the account wait" },
                 aNow);
    }
  }

  /// When a refused caller may come back: when the service has worked off what
  /// waits, but within the time that the caller has left.
  static Milliseconds RetryAfter(Duration aWait,
                                 const PendingRequest& aRequest,
                                 TimePoint aNow)
  {
    constexpr Milliseconds kLeast{ 50 };
    constexpr int kThird = 3;
    const Duration most = (aRequest.deadline - aNow) / kThird;
    return std::max(kLeast, ToMilliseconds(std::min(aWait, most)));
  }

  void LogIfWaiting(std::uint64_t aId, TimePoint aNow)
  {
    auto held = m_requests.find(aId);
    if (held == m_requests.end() || held->second.stage != Stage::Queued) {
      return;
    }
    const ServiceEntry& service = m_services.At(held->second.service);
    const std::size_t waiting = service.queue->Size();
    Log(aId,
        "queue",
        "The request waits for a slot.",
        Subject(aId)
          .Add("waiting", std::uint64_t{ waiting })
          .Add("expected_ms", service.state->ExpectedWait(waiting))
          .Add(Beliefs(aNow)));
  }

  /// Serves the queue of a service while it has slots.
  void Serve(const std::string& aService, TimePoint aNow)
  {
    ServiceEntry* found = m_services.Find(aService);
    if (found == nullptr) {
      return;
    }
    ServiceEntry& service = *found;
    while (service.queue->Size() > 0 &&
           service.state->FreeSlots() > service.reserved) {
      const auto next = service.queue->Pop(aNow);
      if (!next) {
        return;
      }
      Leave(next->id, aNow);
    }
  }

  /// Takes a request out of the queue towards an upstream.
  void Leave(std::uint64_t aId, TimePoint aNow)
  {
    auto held = m_requests.find(aId);
    if (held == m_requests.end()) {
      return;
    }
    PendingRequest& request = held->second;
    if (!request.route.open) {
      auto refusal = m_gate.Authorize(request, aNow);
      if (refusal) {
        RefuseHeld(aId, *refusal, aNow);
        return;
      }
      if (aNow >= request.token_until) {
        AskTokenAgain(aId, request, aNow);
        return;
      }
    }
    if (request.route.mode == RouteMode::RunOnce) {
      AskClaim(aId, request, aNow);
      return;
    }
    Send(aId, request, aNow);
  }

  void AskTokenAgain(std::uint64_t aId,
                     PendingRequest& aRequest,
                     TimePoint aNow)
  {
    m_control.ReturnToken(aRequest.token, aNow);
    aRequest.stage = Stage::AwaitToken;
    aRequest.token =
      m_control.AskToken(aRequest.account, aRequest.deadline, aNow);
    m_asks[aRequest.token] = aId;
    TakeControlEvents(aNow);
  }

  void Reserve(PendingRequest& aRequest)
  {
    if (!aRequest.reserved) {
      aRequest.reserved = true;
      ++m_services.At(aRequest.service).reserved;
    }
  }

  void Unreserve(PendingRequest& aRequest)
  {
    if (aRequest.reserved) {
      aRequest.reserved = false;
      --m_services.At(aRequest.service).reserved;
    }
  }

  void AskClaim(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    aRequest.stage = Stage::AwaitClaim;
    aRequest.claim_again = TimePoint::max();
    Reserve(aRequest);
    Claim claim;
    claim.id = ClaimIdOf(aRequest.account, aRequest.head.idempotency);
    const RequestHead& head = aRequest.exchange->Head();
    claim.fingerprint = StableHash(head.method + " " + head.target);
    aRequest.claim = m_control.AskClaim(claim, aRequest.deadline, aNow);
    m_asks[aRequest.claim] = aId;
    TakeControlEvents(aNow);
  }

  // Attempts.

  /// Makes an attempt; the request goes back to the queue without a slot.
  void Send(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    if (!aRequest.route.open && aNow >= aRequest.token_until) {
      GiveBackClaim(aRequest, aNow);
      AskTokenAgain(aId, aRequest, aNow);
      return;
    }
    if (aRequest.claimed && !m_control.MaySend(aRequest.claim, aNow)) {
      GiveBackClaim(aRequest, aNow);
      RefuseHeld(aId,
                 { 503,
                   Outcome::NotRun,
                   "claim-unavailable",
                   "the claim lapsed before the request was sent" },
                 aNow);
      return;
    }
    if (!TryAttempt(aId, aRequest, aNow)) {
      GiveBackClaim(aRequest, aNow);
      Enqueue(aId, aRequest, aNow);
    }
  }

  void GiveBackClaim(PendingRequest& aRequest, TimePoint aNow)
  {
    if (aRequest.claimed) {
      m_control.ReleaseClaim(aRequest.claim, aNow);
      aRequest.claimed = false;
    }
  }

  bool TryAttempt(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    ServiceEntry& service = m_services.At(aRequest.service);
    const bool safe = IsSafe(aRequest);
    PlaceRequest place;
    place.may_try = safe || !service.has_safe_route;
    place.repeatable = safe;
    place.body_bytes = aRequest.head.length.value_or(0);
    place.target = aRequest.route.target;
    place.left = aRequest.deadline - aNow;
    place.avoid = aRequest.tried;
    if (safe) {
      service.safe_seen = aNow;
    }
    // Safe work serves best to find out how neglected endpoints are.
    const bool rightWork = safe || aNow - service.safe_seen > kSafeWorkWithin;
    place.explores = rightWork;
    place.spread =
      rightWork && m_control.Shortfall(aRequest.service, aNow) > kMostShortfall;
    const auto placed = service.state->Place(place, aNow, m_random);
    if (!placed) {
      return false;
    }
    Attempt attempt;
    attempt.id = m_nextAttempt++;
    attempt.endpoint = placed->endpoint;
    attempt.started = aNow;
    attempt.trial = placed->trial;
    service.state->Begin(placed->endpoint, aNow);
    aRequest.attempts.push_back(attempt);
    aRequest.tried.push_back(placed->endpoint);
    ++aRequest.attempts_made;
    ++aRequest.attempts_sent;
    aRequest.stage = Stage::Sending;
    m_attempts[attempt.id] = aId;
    const bool first = aRequest.attempts_made == 1;
    if (first) {
      m_retry->OnRequest(aNow);
      m_hedge->OnRequest(aNow);
    }
    WorkReport report;
    report.begins = first;
    report.extra = !first;
    ShareWork(aRequest, attempt.endpoint, report, aNow);
    Log(aId,
        "route",
        "The request goes to an endpoint.",
        Subject(aId)
          .Add("endpoint", placed->endpoint)
          .Add("attempt", aRequest.attempts_made)
          .Add(placed->inputs)
          .Add(Beliefs(aNow))
          .Add("left_ms", aRequest.deadline - aNow));
    m_metrics.Count("attempts_total", { { "service", aRequest.service } });
    m_upstreams.Start(OrderOf(aRequest, attempt, placed->address, aNow));
    return true;
  }

  AttemptOrder OrderOf(const PendingRequest& aRequest,
                       const Attempt& aAttempt,
                       const std::string& aAddress,
                       TimePoint aNow) const
  {
    const RequestHead& head = aRequest.exchange->Head();
    AttemptOrder order;
    order.id = aAttempt.id;
    order.exchange = aRequest.exchange;
    order.endpoint = aAttempt.endpoint;
    order.address = aAddress;
    order.method = head.method;
    order.target = head.target;
    order.headers = aRequest.head.forward;
    const HttpDialect& dialect = m_options.dialect;
    const std::string* host = FindHeader(head.headers, "Host");
    if (dialect.forward_host && host != nullptr) {
      order.headers.emplace_back("Host", *host);
    }
    if (!dialect.caller_names_requests) {
      order.headers.emplace_back(dialect.request_id, std::to_string(head.id));
    } else {
      order.echo_header = dialect.request_id;
      order.echo = aRequest.head.request_id;
    }
    if (!dialect.expected_endpoint.empty()) {
      order.headers.emplace_back(dialect.expected_endpoint, aAttempt.endpoint);
    }
    if (!aRequest.account.empty()) {
      order.headers.emplace_back(dialect.account, aRequest.account);
    }
    order.deadline_header = dialect.deadline;
    order.hold = IsSafe(aRequest);
    order.has_body = aRequest.head.has_body;
    order.length = aRequest.head.length;
    // A request that may not be sent twice takes no connection that might
    // have gone silent.
    const Duration proven = m_options.limits.proven;
    if (!IsSafe(aRequest)) {
      order.new_connection = proven == Duration::zero();
      order.unused_for = proven;
    }
    order.rewind = aRequest.attempts_made > 1;
    // The token pays for the request; further attempts need no other one.
    const bool first = aRequest.attempts_made == 1 && !aRequest.route.open;
    order.send_before = aNow + kSendWithin;
    if (first) {
      order.send_before = std::min(order.send_before, aRequest.token_until);
    }
    order.deadline = aRequest.deadline;
    order.give_up = aRequest.deadline + kAnswerWithin;
    return order;
  }

  static bool IsSafe(const PendingRequest& aRequest)
  {
    const std::string& method = aRequest.exchange->Head().method;
    const bool reads = method == "GET" || method == "HEAD";
    return aRequest.route.mode == RouteMode::Safe &&
           (reads ? !aRequest.head.has_body : aRequest.head.length.has_value());
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

  void OnHead(std::uint64_t aId,
              PendingRequest& aRequest,
              const AttemptEvent& aEvent,
              TimePoint aNow)
  {
    Attempt* attempt = FindAttempt(aRequest, aEvent.id);
    if (attempt == nullptr) {
      return;
    }
    attempt->headed = true;
    ServiceState& state = *m_services.At(aRequest.service).state;
    const HttpDialect& dialect = m_options.dialect;
    const std::string* load = FindHeader(aEvent.head.headers, dialect.load);
    if (load != nullptr) {
      const auto report = ParseLoad(*load, dialect.load_format);
      if (report) {
        state.Report(attempt->endpoint, report->Share(), aNow);
      }
    }
    if (SaysNotRun(aEvent.head, dialect)) {
      const bool moved = dialect.other_endpoint_status != 0 &&
                         aEvent.head.status == dialect.other_endpoint_status;
      if (moved) {
        state.NoteMoved(attempt->endpoint);
        attempt->moved = true;
      }
      OnShed(aId, aRequest, *attempt, aEvent.head.status, aNow);
      return;
    }
    const bool unproven = IsUnproven(aEvent.head);
    const bool failed = aEvent.head.status >= kServerError || unproven;
    const Duration elapsed = aNow - attempt->started;
    attempt->failed = failed;
    if (!attempt->stalled) {
      state.Observe(
        attempt->endpoint,
        { failed ? WorkResult::Failed : WorkResult::Answered, elapsed },
        aNow);
    }
    if (aRequest.stage == Stage::Answering) {
      return;
    }
    const bool otherRuns = aRequest.attempts.size() > 1;
    if (failed) {
      Log(aId,
          "route",
          "The endpoint failed the request.",
          Subject(aId)
            .Add("endpoint", attempt->endpoint)
            .Add("status", aEvent.head.status)
            .Add("receipt", unproven ? "missing" : "there")
            .Add("elapsed_ms", elapsed));
    }
    if (failed && IsSafe(aRequest) &&
        (otherRuns || RetryInstead(aId, aRequest, aNow))) {
      m_upstreams.Cancel(aEvent.id);
      return;
    }
    if (unproven) {
      // The answer is not the endpoint's; what it holds cannot be trusted.
      m_upstreams.Cancel(aEvent.id);
      RefuseHeld(aId,
                 { 502,
                   Outcome::Unknown,
                   "no-receipt",
                   "the upstream's answer is not a proper one" },
                 aNow);
      return;
    }
    PassOn(aId, aRequest, aEvent, aNow);
  }

  /// A success without a receipt, or a status that promises that the request
  /// has not run where the endpoint does not say so.
  bool IsUnproven(const ResponseHead& aHead) const
  {
    const std::string& receipt = m_options.dialect.receipt;
    if (receipt.empty()) {
      return false;
    }
    const bool success =
      aHead.status < kFirstRedirect && aHead.status >= kFirstSuccess;
    const bool promises = aHead.status == 408 || aHead.status == 421 ||
                          aHead.status == 429 || aHead.status == 503;
    return promises ||
           (success && FindHeader(aHead.headers, receipt) == nullptr);
  }

  /// Passes an answer's head on and breaks the other attempts off.
  void PassOn(std::uint64_t aId,
              PendingRequest& aRequest,
              const AttemptEvent& aEvent,
              TimePoint aNow)
  {
    aRequest.stage = Stage::Answering;
    aRequest.answer_status = aEvent.head.status;
    const std::string* type = FindHeader(aEvent.head.headers, "content-type");
    aRequest.answer_type = type == nullptr ? "" : *type;
    ResponseHead head = aEvent.head;
    head.headers = AnswerHeaders(head.headers, m_options.dialect);
    if (!m_options.dialect.caller_names_requests) {
      head.headers.emplace_back(m_options.dialect.request_id,
                                std::to_string(aId));
    }
    for (const Attempt& attempt : aRequest.attempts) {
      if (attempt.id != aEvent.id) {
        m_upstreams.Cancel(attempt.id);
      }
    }
    const Attempt* attempt = FindAttempt(aRequest, aEvent.id);
    Log(aId,
        "answer",
        "The request is answered.",
        Subject(aId)
          .Add("status", head.status)
          .Add("endpoint", attempt->endpoint)
          .Add("attempts", aRequest.attempts_made)
          .Add("elapsed_ms", aNow - aRequest.exchange->Head().arrived));
    m_metrics.Observe("time_to_head_seconds",
                      { { "service", aRequest.service } },
                      aNow - aRequest.exchange->Head().arrived);
    aRequest.exchange->Answer(head);
    m_upstreams.Accept(aEvent.id);
  }

  /// The upstream says that it did not run the request.
  void OnShed(std::uint64_t aId,
              const PendingRequest& aRequest,
              Attempt& aAttempt,
              int aStatus,
              TimePoint aNow)
  {
    aAttempt.shed = true;
    ServiceState& state = *m_services.At(aRequest.service).state;
    state.Observe(
      aAttempt.endpoint, { WorkResult::Shed, aNow - aAttempt.started }, aNow);
    Log(aId,
        "route",
        "The endpoint did not run the request.",
        Subject(aId)
          .Add("endpoint", aAttempt.endpoint)
          .Add("status", aStatus)
          .Add("elapsed_ms", aNow - aAttempt.started));
    m_metrics.Count("sheds_total", { { "service", aRequest.service } });
    // The attempt must have ended before its body is read once more.
    m_upstreams.Cancel(aAttempt.id);
  }

  /// The last running attempt ended by a shed answer.
  void AfterShed(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    if (RetryInstead(aId, aRequest, aNow)) {
      return;
    }
    const ServiceEntry& service = m_services.At(aRequest.service);
    const Duration wait = service.state->ExpectedWait(service.queue->Size());
    RefuseHeld(aId,
               { aRequest.left ? 502 : 503,
                 aRequest.left ? Outcome::Unknown : Outcome::NotRun,
                 "shed",
                 "the upstream is overloaded and did not run it",
                 RetryAfter(wait, aRequest, aNow) },
               aNow);
  }

  /// Makes one more attempt within the budget.
  bool RetryInstead(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    const bool allowed =
      MayAttemptMore(aRequest) &&
      m_retry->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow) &&
      m_control.TakeExtra(aRequest.service, aNow);
    if (!allowed || !TryAttempt(aId, aRequest, aNow)) {
      return false;
    }
    m_metrics.Count("retries_total", { { "service", aRequest.service } });
    return true;
  }

  /// The route's own bound on endpoints that one request is sent to.
  static bool MayAttemptMore(const PendingRequest& aRequest)
  {
    return aRequest.route.attempts == 0 ||
           aRequest.attempts_sent < aRequest.route.attempts;
  }

  void OnEnd(std::uint64_t aId,
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
    m_attempts.erase(aEvent.id);
    ServiceState& state = *m_services.At(aRequest.service).state;
    state.End(attempt.endpoint, aEvent.kept, aNow);
    const bool cancelled = aEvent.error == "cancelled";
    ReportEnd(aRequest, attempt, aEvent, aNow);
    if (!aEvent.sent) {
      --aRequest.attempts_sent; // Nothing of it has left.
    }
    const bool mayHaveRun = aEvent.sent && !attempt.shed;
    aRequest.left = aRequest.left || (mayHaveRun && !cancelled);
    if (aRequest.stage == Stage::Answering) {
      if (!cancelled && attempt.headed) {
        EndAnswer(aId, aRequest, aEvent, aNow);
      }
      return;
    }
    if (!aRequest.attempts.empty()) {
      return;
    }
    if (attempt.shed) {
      AfterShed(aId, aRequest, aNow);
      return;
    }
    if (!aEvent.caller_fault && !cancelled && !aEvent.stale) {
      state.Observe(
        attempt.endpoint, { WorkResult::Failed, aNow - attempt.started }, aNow);
    }
    OnFailure(aId, aRequest, attempt, aEvent, aNow);
  }

  /// The last running attempt failed before any answer.
  void OnFailure(std::uint64_t aId,
                 PendingRequest& aRequest,
                 const Attempt& aAttempt,
                 const AttemptEvent& aEvent,
                 TimePoint aNow)
  {
    Log(aId,
        "route",
        "The attempt failed.",
        Subject(aId)
          .Add("endpoint", aAttempt.endpoint)
          .Add("error", aEvent.error)
          .Add("elapsed_ms", aNow - aAttempt.started)
          .Add("sent", aEvent.sent ? "yes" : "no")
          .Add("may_have_run", aRequest.left ? "yes" : "no"));
    if (!aEvent.sent && !aEvent.caller_fault &&
        aRequest.attempts_made < kMostPlacings && aNow < aRequest.deadline &&
        TryAttempt(aId, aRequest, aNow)) {
      return; // Nothing was sent, so it counts against no budget.
    }
    const bool repeatable = IsSafe(aRequest) || !aRequest.left;
    if (!aEvent.caller_fault && repeatable &&
        RetryInstead(aId, aRequest, aNow)) {
      return;
    }
    if (!aRequest.left) {
      RefuseHeld(aId,
                 { 503,
                   Outcome::NotRun,
                   aEvent.caller_fault ? "caller-left" : "unreachable",
                   "no connection to an upstream: " + aEvent.error },
                 aNow);
      return;
    }
    const bool late = aNow >= aRequest.deadline;
    RefuseHeld(aId,
               { late ? 504 : 502,
                 Outcome::Unknown,
                 late ? "deadline" : "broken-off",
                 "the upstream gave no answer: " + aEvent.error },
               aNow);
  }

  /// The body of an answer that was passed on has ended.
  void EndAnswer(std::uint64_t aId,
                 PendingRequest& aRequest,
                 const AttemptEvent& aEvent,
                 TimePoint aNow)
  {
    if (!aEvent.whole) {
      aRequest.exchange->UpstreamBreak();
      Log(aId,
          "answer",
          "The endpoint broke its answer off.",
          Subject(aId).Add("error", aEvent.error));
      m_metrics.Count("answers_broken_total",
                      { { "service", aRequest.service } });
    }
    if (aRequest.claimed) {
      KeptAnswer answer;
      answer.kept = aEvent.body_kept;
      answer.status = static_cast<std::uint16_t>(aRequest.answer_status);
      answer.content_type = aRequest.answer_type;
      answer.body = aEvent.kept_body;
      m_control.FinishClaim(aRequest.claim,
                            aEvent.whole ? ClaimState::Done
                                         : ClaimState::Unknown,
                            answer,
                            aNow);
      aRequest.claimed = false;
    }
    m_metrics.Count(
      "answers_total",
      { { "account", aRequest.account }, { "service", aRequest.service } });
    Finish(aId, aNow);
  }

  // Time.

  /// Looks for late, stalled and abandoned requests.
  void CheckRequests(TimePoint aNow)
  {
    std::vector<std::uint64_t> ids;
    ids.reserve(m_requests.size());
    for (const auto& entry : m_requests) {
      ids.push_back(entry.first);
    }
    for (std::uint64_t id : ids) {
      auto held = m_requests.find(id);
      if (held != m_requests.end()) {
        CheckRequest(id, held->second, aNow);
      }
    }
  }

  void CheckRequest(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    const bool waits =
      aRequest.stage != Stage::Sending && aRequest.stage != Stage::Answering;
    if (aRequest.repeats && waits && aNow >= aRequest.deadline) {
      RefuseHeld(aId,
                 { 409,
                   Outcome::Unknown,
                   "still-running",
                   "it was sent before and has no answer yet" },
                 aNow);
      return;
    }
    if (waits && aNow >= aRequest.deadline) {
      RefuseHeld(aId,
                 { 504,
                   Outcome::NotRun,
                   "deadline",
                   "the deadline passed before the request was sent" },
                 aNow);
      return;
    }
    const bool runOnce = aRequest.route.mode == RouteMode::RunOnce;
    if (!(runOnce && !waits) && aRequest.exchange->IsCallerGone()) {
      Abandon(aId, aRequest, aNow);
      return;
    }
    if (aRequest.stage == Stage::AwaitClaim && aNow >= aRequest.claim_again) {
      AskClaim(aId, aRequest, aNow);
      return;
    }
    if (aRequest.stage == Stage::Sending) {
      CheckStalls(aId, aRequest, aNow);
    }
    if (aRequest.stage == Stage::Sending &&
        aNow >= aRequest.deadline + kEndWithin) {
      RefuseHeld(aId,
                 { 504,
                   Outcome::Unknown,
                   "deadline",
                   "the upstream gave no answer before the deadline" },
                 aNow);
    }
  }

  /// Reports stalled attempts and hedges safe ones.
  void CheckStalls(std::uint64_t aId, PendingRequest& aRequest, TimePoint aNow)
  {
    ServiceState& state = *m_services.At(aRequest.service).state;
    Duration longest{ 0 };
    for (Attempt& attempt : aRequest.attempts) {
      const Duration waited = aNow - attempt.started;
      longest = std::max(longest, waited);
      if (!attempt.headed && !attempt.stalled &&
          waited >= state.StallAfter(aNow)) {
        attempt.stalled = true;
        state.Observe(attempt.endpoint, { WorkResult::Stalled, waited }, aNow);
        WorkReport report;
        report.bad = 1;
        ShareWork(aRequest, attempt.endpoint, report, aNow);
      }
    }
    const bool trial =
      !aRequest.attempts.empty() && aRequest.attempts.front().trial;
    if (aRequest.hedged || !IsSafe(aRequest) || longest < state.HedgeAfter()) {
      return;
    }
    const bool lost = IsLost(aRequest, state);
    const bool worthwhile =
      trial || lost ||
      m_hedge->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow) ||
      (IsStalled(aRequest) &&
       m_retry->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow));
    if (!worthwhile || !MayAttemptMore(aRequest) ||
        !m_control.TakeExtra(aRequest.service, aNow)) {
      return;
    }
    aRequest.hedged = true;
    if (TryAttempt(aId, aRequest, aNow)) {
      m_metrics.Count("hedges_total", { { "service", aRequest.service } });
    }
  }

  /// All attempts run at endpoints that have been ejected meanwhile. Their
  /// number is bounded by the endpoints' slots, so no budget is asked.
  static bool IsLost(const PendingRequest& aRequest, const ServiceState& aState)
  {
    return std::all_of(
      aRequest.attempts.begin(),
      aRequest.attempts.end(),
      [&](const Attempt& aOne) { return aState.IsEjected(aOne.endpoint); });
  }

  static bool IsStalled(const PendingRequest& aRequest)
  {
    return std::all_of(aRequest.attempts.begin(),
                       aRequest.attempts.end(),
                       [](const Attempt& aOne) { return aOne.stalled; });
  }

  /// The caller has gone; nothing is sent for it any more.
  void Abandon(std::uint64_t aId,
               const PendingRequest& aRequest,
               TimePoint aNow)
  {
    m_metrics.Count("abandoned_total", { { "service", aRequest.service } });
    Log(aId,
        "answer",
        "The caller has gone.",
        Subject(aId)
          .Add("attempts", aRequest.attempts_made)
          .Add("elapsed_ms", aNow - aRequest.exchange->Head().arrived));
    // The connection is woken, finds its caller gone and ends.
    Refuse(*aRequest.exchange,
           { 499, Outcome::Unknown, "caller-left", "the caller has gone" },
           m_options.dialect);
    Finish(aId, aNow);
  }

  // Reports to the fleet.

  void ShareWork(const PendingRequest& aRequest,
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

  void ReportEnd(const PendingRequest& aRequest,
                 const Attempt& aAttempt,
                 const AttemptEvent& aEvent,
                 TimePoint aNow)
  {
    WorkReport report;
    const bool broke = !aEvent.whole && aEvent.error != "cancelled" &&
                       !aEvent.caller_fault && !aEvent.stale;
    if (aAttempt.moved) {
      report.bad = kMovedEvidence;
    } else if (aAttempt.shed) {
      report.shed = 1;
    } else if (aAttempt.failed || broke || aAttempt.stalled) {
      report.bad = aAttempt.stalled ? 0 : 1; // A stall was told before.
    } else if (aEvent.whole) {
      report.answered = 1;
      report.answer_time = aNow - aAttempt.started;
    }
    ShareWork(aRequest, aAttempt.endpoint, report, aNow);
  }

  // Ends.

  std::unordered_map<std::uint64_t, PendingRequest>::iterator TakeAsk(
    AskId aAsk)
  {
    auto found = m_asks.find(aAsk);
    if (found == m_asks.end()) {
      return m_requests.end();
    }
    const std::uint64_t id = found->second;
    m_asks.erase(found);
    return m_requests.find(id);
  }

  void RefuseUnheld(PendingRequest& aRequest, const Refusal& aRefusal)
  {
    Refuse(*aRequest.exchange, aRefusal, m_options.dialect);
    NoteRefusal(aRequest, aRefusal);
  }

  void RefuseHeld(std::uint64_t aId, const Refusal& aRefusal, TimePoint aNow)
  {
    PendingRequest& request = m_requests.at(aId);
    if (request.claimed) {
      if (aRefusal.outcome == Outcome::NotRun) {
        m_control.ReleaseClaim(request.claim, aNow);
      } else {
        m_control.FinishClaim(request.claim, ClaimState::Unknown, {}, aNow);
      }
      request.claimed = false;
    }
    Refuse(*request.exchange, aRefusal, m_options.dialect);
    NoteRefusal(request, aRefusal);
    Finish(aId, aNow);
  }

  void NoteRefusal(const PendingRequest& aRequest, const Refusal& aRefusal)
  {
    LogFields fields = SubjectOf(aRequest);
    fields.Add("status", aRefusal.status)
      .Add("outcome", OutcomeWord(aRefusal.outcome))
      .Add("reason", aRefusal.reason)
      .Add("detail", aRefusal.detail)
      .Add("attempts", aRequest.attempts_made);
    if (aRefusal.retry_after) {
      fields.Add("retry_after_ms", Duration(*aRefusal.retry_after));
    }
    Log(
      aRequest.exchange->Head().id, "admit", "The request is refused.", fields);
    m_metrics.Count("refusals_total",
                    { { "account", aRequest.account },
                      { "reason", aRefusal.reason },
                      { "outcome", OutcomeWord(aRefusal.outcome) } });
  }

  /// Forgets a request that has its answer.
  void Finish(std::uint64_t aId, TimePoint aNow)
  {
    auto held = m_requests.find(aId);
    PendingRequest& request = held->second;
    ServiceEntry* service = m_services.Find(request.service);
    for (const Attempt& attempt : request.attempts) {
      m_upstreams.Cancel(attempt.id);
      service->state->End(attempt.endpoint, false, aNow);
      m_attempts.erase(attempt.id);
      WorkReport report;
      report.bad = attempt.failed ? 1 : 0;
      ShareWork(request, attempt.endpoint, report, aNow);
    }
    const bool served = request.stage == Stage::Answering &&
                        request.answer_status < kFirstRedirect;
    m_control.NoteOutcome(request.service, served, aNow);
    Unreserve(request);
    const bool unused = request.attempts_made == 0 && request.token != 0;
    if (unused && request.token_until > TimePoint{}) {
      m_control.ReturnToken(request.token, aNow);
    }
    if (service != nullptr && request.stage == Stage::Queued) {
      service->queue->Remove(aId);
    }
    GiveBackClaim(request, aNow);
    m_requests.erase(held);
  }

  /// The request that a log line is about.
  static LogFields SubjectOf(const PendingRequest& aRequest)
  {
    LogFields fields;
    fields.Add("request", aRequest.name);
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

  LogFields Subject(std::uint64_t aId) const
  {
    return SubjectOf(m_requests.at(aId));
  }

  /// Version and age of what a decision rests on.
  LogFields Beliefs(TimePoint aNow) const
  {
    LogFields fields;
    fields.Add("config", m_control.Config()->version);
    const auto age = m_control.ViewAge(aNow);
    if (age) {
      fields.Add("view_age_ms", *age);
    }
    return fields;
  }

  /// Logs a decision and keeps the line for Explain.
  void Log(std::uint64_t aId,
           const char* aPart,
           const std::string& aSentence,
           const LogFields& aFields)
  {
    LogLine(aPart, aSentence, aFields);
    m_history.Note(
      aId, std::string("[") + aPart + "] " + aSentence + aFields.Text());
  }

  DispatcherOptions m_options;
  FleetControl& m_control;
  UpstreamIo& m_upstreams;
  Metrics& m_metrics;
  Random m_random;
  std::uint64_t m_nextAttempt;
  std::unique_ptr<RetryPolicy> m_retry;
  std::unique_ptr<RetryPolicy> m_hedge;
  std::deque<ExchangePtr> m_early; ///< Wait for the configuration.
  TimePoint m_begun{};             ///< First tick or request.
  RequestGate m_gate;
  ServiceBook m_services;
  std::unordered_map<std::uint64_t, PendingRequest> m_requests;
  std::unordered_map<std::uint64_t, std::uint64_t> m_attempts;
  std::unordered_map<AskId, std::uint64_t> m_asks;
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
