#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/crash_guard.h"
#include "sapphirelane/proxy/dispatcher.h"

namespace sapphirelane {
namespace {

/// Fleet control that answers immediately, from its own token count and claim
/// table.
class FakeControl : public FleetControl
{
public:
  const FleetConfig* Config() const override
  {
    return config_known ? &config : nullptr;
  }
  const KeyDirectory& Keys() const override { return keys; }
  bool IsFresh(TimePoint /*aNow*/) const override { return fresh; }
  std::pair<std::size_t, std::size_t> Rank() const override { return { 0, 1 }; }

  AskId AskToken(const std::string& /*aAccount*/,
                 TimePoint /*aDeadline*/,
                 TimePoint aNow) override
  {
    TokenResult result;
    result.ask = ++last_ask;
    result.verdict = tokens > 0 ? TokenVerdict::Granted : TokenVerdict::Refused;
    result.retry_after = Milliseconds(100);
    result.valid_until = aNow + kGrantLife;
    tokens -= tokens > 0 ? 1 : 0;
    events.emplace_back(result);
    return last_ask;
  }

  void ReturnToken(AskId /*aAsk*/, TimePoint /*aNow*/) override { ++tokens; }

  AskId AskClaim(Claim aClaim, TimePoint /*aDeadline*/, TimePoint aNow) override
  {
    aClaim.ask = ++last_ask;
    ids[last_ask] = aClaim.id;
    events.emplace_back(ClaimResult{ last_ask, claims.Ask(aClaim, aNow) });
    return last_ask;
  }

  bool MaySend(AskId /*aClaim*/, TimePoint /*aNow*/) override
  {
    return may_send;
  }

  void FinishClaim(AskId aClaim,
                   ClaimState aState,
                   const KeptAnswer& aAnswer,
                   TimePoint /*aNow*/) override
  {
    claims.Finish(ids[aClaim], aClaim, aState, aAnswer);
  }

  void ReleaseClaim(AskId aClaim, TimePoint /*aNow*/) override
  {
    claims.Release(ids[aClaim], aClaim);
  }

  void ShareEvidence(const FleetEvidence& /*aEvidence*/,
                     TimePoint /*aNow*/) override
  {
  }

  double Shortfall(const std::string& /*aService*/, TimePoint /*aNow*/) override
  {
    return shortfall;
  }

  void ShareCrash(const CrashReport& aReport, TimePoint /*aNow*/) override
  {
    crashes.push_back(aReport);
  }

  RetryDecision TakeExtra(const std::string& /*aService*/,
                          const RetryUrgency& /*aUrgency*/,
                          TimePoint /*aNow*/) override
  {
    ++asked_for_retry;
    RetryDecision decision;
    decision.allowed = retries_allowed;
    return decision;
  }

  void ShareWork(const WorkReport& aReport, TimePoint /*aNow*/) override
  {
    bad += aReport.bad;
    extra += aReport.extra ? 1 : 0;
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    return std::exchange(events, {});
  }

  FleetConfig config;
  KeyDirectory keys;
  bool config_known = true; ///< False: no configuration yet.
  bool fresh = true;
  bool may_send = true;
  int tokens = 100;
  double shortfall = 0;
  ClaimTable claims{ std::chrono::minutes(10) };
  AskId last_ask = 0;
  std::map<AskId, std::string> ids;
  std::vector<ControlEvent> events;
  std::vector<CrashReport> crashes; ///< Told to the fleet.
  std::uint64_t bad = 0;            ///< Failures told to the fleet.
  bool retries_allowed = true;
  int asked_for_retry = 0;
  std::uint64_t extra = 0; ///< Further attempts told to the fleet.
};

/// Records attempts instead of sending them.
class FakeUpstreams : public UpstreamIo
{
public:
  void Start(AttemptOrder aParams) override { started.push_back(aParams); }
  void Accept(std::uint64_t aAttempt) override { accepted.push_back(aAttempt); }
  void Cancel(std::uint64_t aAttempt) override
  {
    cancelled.push_back(aAttempt);
  }

  std::vector<AttemptOrder> started;
  std::vector<std::uint64_t> accepted;
  std::vector<std::uint64_t> cancelled;
};

class NullCallerPort : public CallerPort
{
public:
  void Suspend() override {}
  void Resume() override {}
  bool IsClosed() const override { return false; }
};

class SessionFixture
{
protected:
  SessionFixture()
  {
    StartSecrets();
    SetLogSink([this](const std::string& aLine) { Record(aLine); });
    m_control.config.version = 1;
    m_control.config.services["s"] = { "s", 50 };
    for (const char* id : { "e1", "e2", "e3" }) {
      m_control.config.endpoints[id] = { id,  LifeState::InService,
                                         "s", "127.0.0.1:9001",
                                         2,   100 };
    }
    AddRoute("read", RouteMode::Safe);
    AddRoute("once", RouteMode::RunOnce);
    AddRoute("plain", RouteMode::Plain);
    m_control.config.accounts["a"] = { "a", 10, 20 };
    m_control.config.keys["k"] = { "k", "a", DigestOf("the key") };
    m_control.keys.Load(m_control.config);
    m_dispatcher = MakeDispatcher({}, m_control, m_upstreams, *m_metrics);
  }

  ~SessionFixture() { SetLogSink(nullptr); }

  void AddRoute(const std::string& aId, RouteMode aMode)
  {
    Route route;
    route.id = aId;
    route.path = "/" + aId;
    route.service = "s";
    route.mode = aMode;
    route.timeout = Milliseconds(2000);
    m_control.config.routes[aId] = route;
  }

  void Record(const std::string& aLine) { m_text += aLine + "\n"; }

  /// Passes a request to the dispatcher.
  /// @return Its exchange.
  ExchangePtr Send(const std::string& aMethod,
                   const std::string& aTarget,
                   Headers aHeaders = {})
  {
    RequestHead head;
    head.id = ++m_lastRequest;
    head.method = aMethod;
    head.target = aTarget;
    head.headers = std::move(aHeaders);
    head.headers.emplace_back(m_keyHeader, m_key);
    head.arrived = m_now;
    Record("> " + aMethod + " " + aTarget);
    auto exchange = std::make_shared<Exchange>(head, 65536);
    exchange->SetPort(std::make_unique<NullCallerPort>());
    m_dispatcher->OnRequest(exchange, m_now);
    return exchange;
  }

  /// Reports the response head of the attempt with the given number.
  void Head(std::uint64_t aAttempt, int aStatus, Headers aHeaders = {})
  {
    AttemptEvent event;
    event.id = aAttempt;
    event.kind = AttemptEvent::Kind::Head;
    event.head = { aStatus, std::move(aHeaders), std::nullopt };
    m_dispatcher->OnAttempt(event, m_now);
  }

  void End(std::uint64_t aAttempt,
           bool aWhole,
           bool aSent = true,
           const std::string& aError = "")
  {
    AttemptEvent event;
    event.id = aAttempt;
    event.whole = aWhole;
    event.sent = aSent;
    event.error = aError;
    event.body_kept = aWhole;
    event.kept_body = "the first answer";
    m_dispatcher->OnAttempt(event, m_now);
  }

  /// Ends an attempt that found the start of its body gone.
  void EndWithoutBody(std::uint64_t aAttempt)
  {
    AttemptEvent event;
    event.id = aAttempt;
    event.sent = false;
    event.body_gone = true;
    m_dispatcher->OnAttempt(event, m_now);
  }

  void AdvanceTime(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(10);
      m_dispatcher->OnTick(m_now);
    }
  }

  /// Records the response that the caller received.
  void RecordResponse(const ExchangePtr& aExchange)
  {
    const auto head = aExchange->CallerTakeHead();
    if (!head) {
      Record("< nothing yet");
      return;
    }
    const std::string* outcome =
      FindHeader(head->headers, HttpDialect{}.outcome);
    std::string line = "< " + std::to_string(head->status);
    if (outcome != nullptr) {
      line += " " + *outcome;
    }
    std::string body(1000, '\0');
    std::size_t read = 0;
    const StreamResult result =
      aExchange->CallerRead(body.data(), body.size(), read);
    body.resize(read);
    if (result == StreamResult::Broken) {
      line += " broken off";
    }
    Record(line + (read > 0 ? " " + body.substr(0, body.find('\n')) : ""));
  }

  /// Serves requests one after the other, each in the given time.
  void LearnLatency(Milliseconds aTime)
  {
    for (int i = 0; i < 60; ++i) {
      const auto attempt = m_upstreams.started.size() + 1;
      Send("POST", "/plain/warm");
      m_now += aTime;
      Head(attempt, 200);
      End(attempt, true);
    }
    m_started = m_upstreams.started.size();
  }

  /// Attempts that were started since LearnLatency.
  std::size_t CountSent() const
  {
    return m_upstreams.started.size() - m_started;
  }

  int Status(const ExchangePtr& aExchange)
  {
    const auto head = aExchange->CallerTakeHead();
    return head ? head->status : 0;
  }

  std::string Outcome(const ExchangePtr& aExchange)
  {
    const auto head = aExchange->CallerTakeHead();
    const std::string* outcome =
      head ? FindHeader(head->headers, HttpDialect{}.outcome) : nullptr;
    return outcome == nullptr ? "" : *outcome;
  }

  /// Compares the recorded session with its golden file.
  void CheckGolden(const std::string& aName)
  {
    const char* folder = std::getenv("GOLDEN_DIR");
    REQUIRE(folder != nullptr);
    const std::string path = std::string(folder) + "/" + aName + ".txt";
    if (std::getenv("GOLDEN_UPDATE") != nullptr) {
      std::ofstream(path) << m_text;
    }
    std::ifstream stream(path);
    std::ostringstream golden;
    golden << stream.rdbuf();
    CHECK(m_text == golden.str());
  }

  std::string m_keyHeader = "X-Api-Key";
  std::string m_key = "the key";
  std::string m_text;
  TimePoint m_now{ std::chrono::hours(100) };
  std::uint64_t m_lastRequest = 0;
  std::size_t m_started = 0; ///< See CountSent.
  std::unique_ptr<Metrics> m_metrics = MakeMetrics();
  FakeControl m_control;
  FakeUpstreams m_upstreams;
  std::unique_ptr<Dispatcher> m_dispatcher;
};

TEST_CASE_METHOD(SessionFixture,
                 "Session, typical requests, match the golden file")
{
  auto read = Send("GET", "/read/1");
  AdvanceTime(Milliseconds(20));
  Head(1, 200, { { "Content-Type", "text/plain" } });
  RecordResponse(read);
  End(1, true);
  auto once = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  Head(2, 200);
  End(2, true);
  RecordResponse(once);
  auto again = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  RecordResponse(again);
  auto other = Send("POST", "/once/2", { { "Idempotency-Key", "i1" } });
  RecordResponse(other);
  auto unnamed = Send("POST", "/once/3");
  RecordResponse(unnamed);
  m_control.tokens = 0;
  auto refused = Send("GET", "/read/2");
  RecordResponse(refused);
  auto unrouted = Send("GET", "/nowhere");
  RecordResponse(unrouted);
  CheckGolden("ordinary");
}

TEST_CASE_METHOD(SessionFixture,
                 "Session, key revoked with requests in flight, matches the "
                 "golden file")
{
  // Six requests occupy all slots, so that the seventh is queued.
  std::vector<ExchangePtr> running;
  for (int i = 0; i < 6; ++i) {
    running.push_back(Send("GET", "/read/" + std::to_string(i)));
  }
  auto queued = Send("GET", "/read/queued");
  AdvanceTime(Milliseconds(10));
  Record("# the key is withdrawn");
  m_control.keys.SetWithdrawn({ DigestOf("the key") });
  auto fresh = Send("GET", "/read/later");
  RecordResponse(fresh);
  Head(1, 200);
  RecordResponse(running[0]);
  End(1, true);
  RecordResponse(queued);
  CheckGolden("key_withdrawn");
}

TEST_CASE_METHOD(SessionFixture,
                 "Session, upstream fails during its response, matches the "
                 "golden file")
{
  auto read = Send("GET", "/read/1");
  End(1, false, true, "connection reset");
  Record("# the read is made again elsewhere");
  Head(2, 200);
  read->UpstreamWrite("half", 4);
  End(2, false, true, "partial file");
  RecordResponse(read);
  RecordResponse(read);
  auto once = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  End(3, false, true, "connection reset");
  RecordResponse(once);
  auto again = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  RecordResponse(again);
  auto unsent = Send("POST", "/once/2", { { "Idempotency-Key", "i2" } });
  End(4, false, false, "connection refused");
  Record("# no byte was sent, so it goes elsewhere");
  Head(5, 200);
  End(5, true);
  RecordResponse(unsent);
  CheckGolden("upstream_fails");
}

/// Guards against a part of an answer that is kept, and given as a whole one to
/// those who repeat the request.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, forwarded answer to a request with a key breaks "
                 "off, keeps no answer for a repeat",
                 "[reset]")
{
  const Headers key = { { "Idempotency-Key", "i1" } };
  auto once = Send("POST", "/once/1", key);
  Head(1, 200);
  once->UpstreamWrite("half", 4);
  End(1, false, true, "the connection ended before the answer did");
  char bytes[16];
  std::size_t read = 0;
  CHECK(once->CallerRead(bytes, sizeof bytes, read) == StreamResult::Some);
  CHECK(once->CallerRead(bytes, sizeof bytes, read) == StreamResult::Broken);
  auto repeat = Send("POST", "/once/1", key);
  CHECK(Status(repeat) == 409);
  CHECK(Outcome(repeat) == "unknown");
  CHECK(m_upstreams.started.size() == 1);
}

/// After a restart of all hosts, requests arrive before the configuration,
/// which follows within 0.15 s. They must not be refused in the meantime.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, request before the configuration is known, is "
                 "queued until it arrives")
{
  m_control.config_known = false;
  const auto exchange = Send("GET", "/read/1");
  CHECK(m_dispatcher->InFlight() == 1);
  AdvanceTime(Milliseconds(150));
  CHECK(Status(exchange) == 0);
  m_control.config_known = true;
  AdvanceTime(Milliseconds(10));
  CHECK(m_upstreams.started.size() == 1);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, configuration does not arrive in time, refuses "
                 "queued requests with Retry-After")
{
  m_control.config_known = false;
  const auto exchange = Send("POST", "/plain/1");
  AdvanceTime(Milliseconds(600));
  CHECK(Status(exchange) == 503);
  CHECK(Outcome(exchange) == "not-run");
  CHECK(FindHeader(exchange->CallerTakeHead()->headers, "Retry-After"));
  CHECK(Status(Send("POST", "/plain/2")) == 503); // Without a wait from now on.
  CHECK(m_dispatcher->InFlight() == 0);
  CHECK(m_upstreams.started.empty());
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, caller disconnects before the configuration is "
                 "known, sends nothing")
{
  m_control.config_known = false;
  Send("GET", "/read/1")->CallerLeave();
  m_control.config_known = true;
  AdvanceTime(Milliseconds(20));
  CHECK(m_upstreams.started.empty());
  CHECK(m_dispatcher->InFlight() == 0);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, run-once request after a byte was sent, is not "
                 "retried")
{
  auto once = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  End(1, false, true, "connection reset");
  CHECK(m_upstreams.started.size() == 1);
  CHECK(Outcome(once) == "unknown");
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, run-once or plain request, uses a new connection")
{
  Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  Send("POST", "/plain/1");
  Send("GET", "/read/1");
  REQUIRE(m_upstreams.started.size() == 3);
  CHECK(m_upstreams.started[0].new_connection);
  CHECK(m_upstreams.started[1].new_connection);
  CHECK_FALSE(m_upstreams.started[2].new_connection);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, claim no longer valid, sends nothing")
{
  m_control.may_send = false;
  auto once = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  CHECK(m_upstreams.started.empty());
  CHECK(Outcome(once) == "not-run");
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, upstreams shed load, retries elsewhere and then "
                 "reports not run")
{
  auto plain = Send("POST", "/plain/1");
  const Headers shed = { { HttpDialect{}.not_run, "not-run" } };
  Head(1, 503, shed);
  End(1, false, true, "cancelled");
  REQUIRE(m_upstreams.started.size() == 2);
  CHECK(m_upstreams.started[1].exchange == m_upstreams.started[0].exchange);
  for (std::uint64_t attempt : { 2, 3 }) {
    Head(attempt, 503, shed);
    End(attempt, false, true, "cancelled");
  }
  CHECK(m_upstreams.started.size() == 3);
  CHECK(Outcome(plain) == "not-run");
}

/// Guards against work for callers that a frozen daemon finds gone as it wakes.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, caller has left while its request waits, sends "
                 "nothing when its turn comes")
{
  constexpr std::size_t kSlots = 6;
  for (std::size_t i = 0; i < kSlots; ++i) {
    Send("POST", "/plain/busy");
  }
  const auto left = Send("POST", "/plain/left");
  left->CallerLeave();
  Head(1, 200);
  End(1, true);
  CHECK(m_upstreams.started.size() == kSlots);
  CHECK(m_dispatcher->InFlight() == kSlots - 1);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, caller has left before its attempt fails, makes "
                 "no further one")
{
  const auto left = Send("GET", "/read/1");
  left->CallerLeave();
  End(1, false);
  CHECK(m_upstreams.started.size() == 1);
  CHECK(m_dispatcher->InFlight() == 0);
}

/// Guards against an endpoint's answer behind a refusal of the session.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, session has refused the body, forwards no answer "
                 "of the endpoint")
{
  const auto exchange = Send("POST", "/plain/1");
  exchange->AnswerWhole({ 413, {}, std::nullopt }, "too large");
  Head(1, 200);
  CHECK(m_upstreams.accepted.empty());
  CHECK(m_upstreams.cancelled == std::vector<std::uint64_t>{ 1 });
  CHECK(m_dispatcher->InFlight() == 0);
  CHECK(Status(exchange) == 413);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, slow read, is hedged and the slower attempt is "
                 "cancelled")
{
  for (int i = 0; i < 60; ++i) {
    const auto attempt = m_upstreams.started.size() + 1;
    Send("GET", "/read/warm");
    m_now += Milliseconds(10);
    Head(attempt, 200);
    End(attempt, true);
  }
  const auto first = m_upstreams.started.size() + 1;
  auto read = Send("GET", "/read/slow");
  AdvanceTime(Milliseconds(60));
  REQUIRE(m_upstreams.started.size() == first + 1);
  Head(first + 1, 200);
  CHECK(Status(read) == 200);
  CHECK(m_upstreams.cancelled == std::vector<std::uint64_t>{ first });
}

TEST_CASE_METHOD(
  SessionFixture,
  "Dispatcher, outdated fleet state, refuses requests with a key")
{
  m_control.fresh = false;
  auto read = Send("GET", "/read/1");
  CHECK(Status(read) == 503);
  CHECK(Outcome(read) == "not-run");
  CHECK(m_upstreams.started.empty());
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, fleet state expires while a request is queued, "
                 "refuses it")
{
  std::vector<ExchangePtr> running;
  for (int i = 0; i < 6; ++i) {
    running.push_back(Send("GET", "/read/1"));
  }
  auto queued = Send("GET", "/read/queued");
  m_control.fresh = false;
  Head(1, 200);
  End(1, true);
  CHECK(Status(queued) == 503);
  CHECK(m_upstreams.started.size() == 6);
}

TEST_CASE_METHOD(
  SessionFixture,
  "Dispatcher, key of an account without access to the route, is "
  "answered 403")
{
  m_control.config.accounts["b"] = { "b", 10, 20 };
  m_control.config.routes["read"].callers = { "b" };
  auto read = Send("GET", "/read/1");
  CHECK(Status(read) == 403);
  CHECK(m_upstreams.started.empty());
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, endpoints in state Leaving, get no requests from "
                 "that configuration version on")
{
  m_control.config.endpoints["e1"].state = LifeState::Leaving;
  m_control.config.endpoints["e2"].state = LifeState::Leaving;
  m_control.config.version = 2;
  for (int i = 0; i < 3; ++i) {
    Send("GET", "/read/1");
  }
  // The third is queued: the only endpoint in service has two slots.
  CHECK(m_upstreams.started.size() == 2);
}

/// Guards against requests that wait until their deadline for endpoints which
/// the operator has taken out of use, and against cutting off those in flight.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, all data centres of a service are evacuated, "
                 "refuses new and waiting requests at once and completes those "
                 "in flight")
{
  for (auto& entry : m_control.config.endpoints) {
    entry.second.data_centre = entry.first == "e1" ? "north" : "south";
  }
  m_control.config.version = 2;
  std::vector<ExchangePtr> running;
  for (int i = 0; i < 6; ++i) {
    running.push_back(Send("GET", "/read/1"));
  }
  auto waiting = Send("GET", "/read/waiting");
  auto once = Send("POST", "/once/1", { { "Idempotency-Key", "i1" } });
  CHECK(m_upstreams.started.size() == 6);
  const int tokens = m_control.tokens;
  m_control.config.evacuated = { "north" };
  m_control.config.endpoint_revision = 1;
  AdvanceTime(Milliseconds(20));
  CHECK(Status(waiting) == 0);
  m_control.config.evacuated = { "north", "south" };
  m_control.config.endpoint_revision = 2;
  AdvanceTime(Milliseconds(20));
  auto late = Send("GET", "/read/late");
  for (const ExchangePtr& refused : { waiting, once, late }) {
    CHECK(Status(refused) == 503);
    CHECK(Outcome(refused) == "not-run");
  }
  CHECK(m_text.find("reason=evacuated") != std::string::npos);
  CHECK(m_text.find("retry_after_ms=5000") != std::string::npos);
  CHECK(m_control.tokens == tokens + 2); // Given back by those that waited.
  Head(1, 200);
  End(1, true);
  CHECK(Status(running[0]) == 200);
  CHECK(m_upstreams.started.size() == 6);
  m_control.config.evacuated = { "south" };
  m_control.config.endpoint_revision = 3;
  auto served = Send("GET", "/read/again");
  REQUIRE(m_upstreams.started.size() == 7);
  CHECK(m_upstreams.started.back().endpoint == "e1");
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, stop is about to end, refuses new requests and "
                 "completes those in flight")
{
  auto old = Send("GET", "/read/1");
  m_dispatcher->BeginStop(m_now + Milliseconds(100), m_now);
  auto late = Send("GET", "/read/2");
  CHECK(Outcome(late) == "not-run");
  Head(1, 200);
  End(1, true);
  CHECK(Status(old) == 200);
  CHECK(m_dispatcher->InFlight() == 0);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, stop has just begun, serves a new request")
{
  m_dispatcher->BeginStop(m_now + Milliseconds(5000), m_now);
  auto request = Send("GET", "/read/1");
  Head(1, 200);
  End(1, true);
  CHECK(Status(request) == 200);
}

/// Guards against waiting requests that a stop neither serves nor refuses.
TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, stop begins while requests wait, refuses at once "
                 "those whose turn would come too late")
{
  LearnLatency(Milliseconds(400));
  std::vector<ExchangePtr> requests;
  for (int i = 0; i < 24; ++i) {
    requests.push_back(Send("GET", "/read/" + std::to_string(i)));
  }
  const std::size_t running = CountSent();
  // Two turns of six slots fit before the last start 0.9 s before the end.
  m_dispatcher->BeginStop(m_now + Milliseconds(1800), m_now);
  std::size_t refused = 0;
  for (const ExchangePtr& request : requests) {
    refused += Status(request) == 503 ? 1 : 0;
  }
  CHECK(refused >= 4);
  CHECK(refused < requests.size() - running);
  for (std::size_t i = requests.size() - refused; i < requests.size(); ++i) {
    CHECK(Status(requests[i]) == 503); // The last ones were refused.
    CHECK(Outcome(requests[i]) == "not-run");
  }
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, waiting requests do not get their turn before "
                 "the end of a stop, refuses them in time")
{
  LearnLatency(Milliseconds(400));
  std::vector<ExchangePtr> requests;
  for (int i = 0; i < 12; ++i) {
    requests.push_back(Send("GET", "/read/" + std::to_string(i)));
  }
  const std::size_t running = CountSent();
  m_dispatcher->BeginStop(m_now + Milliseconds(1800), m_now);
  AdvanceTime(Milliseconds(1200)); // No attempt ends.
  std::size_t refused = 0;
  for (const ExchangePtr& request : requests) {
    refused += Status(request) == 503 ? 1 : 0;
  }
  CHECK(refused == requests.size() - running);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, attempt fails late in a stop, makes no further "
                 "one")
{
  LearnLatency(Milliseconds(400));
  auto request = Send("GET", "/read/1");
  const std::size_t sent = m_upstreams.started.size();
  m_dispatcher->BeginStop(m_now + Milliseconds(1000), m_now);
  AdvanceTime(Milliseconds(200));
  End(sent, false, true, "reset");
  CHECK(m_upstreams.started.size() == sent);
  CHECK(Status(request) == 502);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, deadline passes in the queue, reports not run")
{
  std::vector<ExchangePtr> running;
  for (int i = 0; i < 6; ++i) {
    running.push_back(Send("POST", "/plain/1"));
  }
  auto queued = Send("GET", "/read/1", { { HttpDialect{}.deadline, "100" } });
  AdvanceTime(Milliseconds(150));
  CHECK(Status(queued) == 504);
  CHECK(Outcome(queued) == "not-run");
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, answer says that its endpoint leaves, sends "
                 "nothing new there although the view has it in service")
{
  auto plain = Send("POST", "/plain/1");
  const std::string leaving = m_upstreams.started[0].endpoint;
  Head(1, 200, { { "X-Sapphirelane-Leaving", "1" } });
  End(1, true);
  CHECK(Status(plain) == 200);
  AdvanceTime(std::chrono::seconds(5));
  for (int i = 0; i < 4; ++i) {
    Send("GET", "/read/1");
  }
  REQUIRE(m_upstreams.started.size() == 5);
  for (std::size_t i = 1; i < m_upstreams.started.size(); ++i) {
    CHECK(m_upstreams.started[i].endpoint != leaving);
  }
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, endpoint that has said that it leaves answers "
                 "without it, still sends nothing new there")
{
  Send("POST", "/plain/1");
  Send("POST", "/plain/2");
  Send("POST", "/plain/3");
  Send("POST", "/plain/4");
  const std::string leaving = m_upstreams.started[0].endpoint;
  Head(1, 200, { { "X-Sapphirelane-Leaving", "1" } });
  End(1, true);
  for (std::uint64_t attempt : { 2, 3, 4 }) {
    Head(attempt, 200);
    End(attempt, true);
  }
  for (int i = 0; i < 4; ++i) {
    Send("GET", "/read/1");
    CHECK(m_upstreams.started.back().endpoint != leaving);
  }
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, shed answer with Retry-After, sends nothing to "
                 "its endpoint for that time")
{
  const Headers shed = { { HttpDialect{}.not_run, "not-run" },
                         { "Retry-After", "1.5" } };
  Send("POST", "/plain/1");
  const std::string resting = m_upstreams.started[0].endpoint;
  Head(1, 503, shed);
  End(1, false, true, "cancelled");
  std::size_t before = m_upstreams.started.size();
  for (int i = 0; i < 14; ++i) {
    Send("GET", "/read/1");
    const auto attempt = m_upstreams.started.size();
    AdvanceTime(Milliseconds(100));
    Head(attempt, 200);
    End(attempt, true);
  }
  for (std::size_t i = before; i < m_upstreams.started.size(); ++i) {
    CHECK(m_upstreams.started[i].endpoint != resting);
  }
  AdvanceTime(Milliseconds(200));
  before = m_upstreams.started.size();
  std::set<std::string> used;
  for (int i = 0; i < 6; ++i) {
    Send("GET", "/read/1");
  }
  for (std::size_t i = before; i < m_upstreams.started.size(); ++i) {
    used.insert(m_upstreams.started[i].endpoint);
  }
  CHECK(used.count(resting) == 1);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, all endpoints shed with Retry-After, refuses at "
                 "once and says when one takes requests again")
{
  const Headers shed = { { HttpDialect{}.not_run, "not-run" },
                         { "Retry-After", "3" } };
  Send("POST", "/plain/1");
  for (std::uint64_t attempt : { 1, 2, 3 }) {
    Head(attempt, 503, shed);
    End(attempt, false, true, "cancelled");
  }
  REQUIRE(m_upstreams.started.size() == 3);
  AdvanceTime(Milliseconds(500));
  const auto refused = Send("GET", "/read/1");
  REQUIRE(Status(refused) == 503);
  CHECK(Outcome(refused) == "not-run");
  const auto head = refused->CallerTakeHead();
  const std::string* retryAfter = FindHeader(head->headers, "Retry-After");
  REQUIRE(retryAfter != nullptr);
  CHECK(*retryAfter == "3"); // 2.5 s, in whole seconds.
  AdvanceTime(Milliseconds(2600));
  Send("GET", "/read/1");
  CHECK(m_upstreams.started.size() == 4);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, malformed statements of endpoints, are ignored "
                 "and counted")
{
  Send("POST", "/plain/1");
  Head(1, 200, { { "X-Sapphirelane-Leaving", "maybe" } });
  End(1, true);
  for (const char* time : { "soon", "-1", "nan", "", "1e400", "1;2" }) {
    Send("POST", "/plain/1");
    const auto attempt = m_upstreams.started.size();
    Head(attempt,
         503,
         { { HttpDialect{}.not_run, "not-run" }, { "Retry-After", time } });
    End(attempt, false, true, "cancelled");
    const auto retry = m_upstreams.started.size();
    Head(retry, 200);
    End(retry, true);
  }
  const std::size_t before = m_upstreams.started.size();
  std::set<std::string> used;
  for (int i = 0; i < 6; ++i) {
    Send("GET", "/read/1");
  }
  for (std::size_t i = before; i < m_upstreams.started.size(); ++i) {
    used.insert(m_upstreams.started[i].endpoint);
  }
  CHECK(used.size() == 3);
  const std::string metrics = m_metrics->Text();
  CHECK(metrics.find("upstream_headers_malformed_total") != std::string::npos);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, requests wait for a slot, serves the account's "
                 "priority before the route's")
{
  m_control.config.accounts["a"].priority = 5;
  m_control.config.accounts["b"] = { "b", 10, 20, 1 };
  m_control.config.keys["l"] = { "l", "b", DigestOf("other key") };
  m_control.config.routes["read"].priority = 0;
  m_control.config.routes["plain"].priority = 3;
  m_control.config.version = 2;
  m_control.keys.Load(m_control.config);
  for (int i = 0; i < 6; ++i) {
    Send("GET", "/read/" + std::to_string(i));
  }
  Send("GET", "/read/low");
  m_key = "other key";
  Send("POST", "/plain/high");
  REQUIRE(m_upstreams.started.size() == 6);
  for (std::uint64_t attempt : { 1, 2 }) {
    Head(attempt, 200);
    End(attempt, true);
  }
  REQUIRE(m_upstreams.started.size() == 8);
  CHECK(m_upstreams.started[6].target == "/plain/high");
  CHECK(m_upstreams.started[7].target == "/read/low");
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, waiting request can no longer be answered in "
                 "time, refuses it before its deadline and says when to return")
{
  LearnLatency(Milliseconds(400));
  for (int i = 0; i < 6; ++i) {
    Send("POST", "/plain/1");
  }
  auto queued = Send("GET", "/read/1", { { HttpDialect{}.deadline, "600" } });
  AdvanceTime(Milliseconds(400));
  CHECK(Status(queued) == 0);
  AdvanceTime(Milliseconds(150));
  REQUIRE(Status(queued) == 503);
  CHECK(Outcome(queued) == "not-run");
  CHECK(FindHeader(queued->CallerTakeHead()->headers, "Retry-After"));
}

/// Requests under which endpoints end.
class CrashFixture : public SessionFixture
{
protected:
  /// Ends the newest attempt with its endpoint's process.
  void Crash()
  {
    AdvanceTime(Milliseconds(40));
    AttemptEvent event;
    event.id = m_upstreams.started.back().id;
    event.error = "the connection ended before the answer did";
    event.endpoint_ended = true;
    m_dispatcher->OnAttempt(event, m_now);
  }
};

/// Guards against a returning request that takes down a service.
TEST_CASE_METHOD(
  CrashFixture,
  "Dispatcher, endpoints have ended under a request, refuses its "
  "return at once and serves other requests")
{
  const auto first = Send("GET", "/read/deadly");
  Crash();
  Crash();
  CHECK(Status(first) == 502);
  const std::size_t sent = m_upstreams.started.size();
  CHECK(sent == 2);
  const auto again = Send("GET", "/read/deadly");
  REQUIRE(Status(again) == 503);
  CHECK(Outcome(again) == "not-run");
  CHECK(FindHeader(again->CallerTakeHead()->headers, "Retry-After"));
  CHECK(m_upstreams.started.size() == sent);
  Send("GET", "/read/other");
  CHECK(m_upstreams.started.size() == sent + 1);
  CHECK(m_metrics->Text().find("requests_held_back_total") !=
        std::string::npos);
}

TEST_CASE_METHOD(CrashFixture,
                 "Dispatcher, endpoints have ended under a request, sends it "
                 "for a trial after a time, and normally once it was answered")
{
  Send("GET", "/read/beside");
  Crash();
  Crash();
  AdvanceTime(Milliseconds(6000));
  const auto trial = Send("GET", "/read/beside");
  Head(m_upstreams.started.back().id, 200);
  End(m_upstreams.started.back().id, true);
  CHECK(Status(trial) == 200);
  const std::size_t sent = m_upstreams.started.size();
  Send("GET", "/read/beside");
  CHECK(m_upstreams.started.size() == sent + 1);
}

TEST_CASE_METHOD(CrashFixture,
                 "Dispatcher, endpoints have ended under a request of another "
                 "account, serves the same request of this one")
{
  m_control.config.accounts["b"] = { "b", 10, 20 };
  m_control.config.keys["l"] = { "l", "b", DigestOf("other key") };
  m_control.keys.Load(m_control.config);
  Send("GET", "/read/same");
  Crash();
  Crash();
  m_key = "other key";
  const std::size_t sent = m_upstreams.started.size();
  Send("GET", "/read/same");
  CHECK(m_upstreams.started.size() == sent + 1);
}

TEST_CASE_METHOD(CrashFixture,
                 "Dispatcher, other daemons report crashes under a request, "
                 "holds it back")
{
  PendingRequest known;
  known.exchange = Send("GET", "/read/deadly");
  known.account = "a";
  Head(m_upstreams.started.back().id, 200);
  End(m_upstreams.started.back().id, true);
  CrashReport report;
  report.request = CrashGuard::FingerprintOf(known);
  report.worked = Milliseconds(30);
  for (report.process = 1; report.process <= 2; ++report.process) {
    AdvanceTime(Milliseconds(100));
    m_control.events.emplace_back(report);
    m_dispatcher->OnEvents(m_now);
  }
  const auto held = Send("GET", "/read/deadly");
  CHECK(Status(held) == 503);
}

TEST_CASE_METHOD(CrashFixture,
                 "Dispatcher, many endpoints end, tells the fleet a bounded "
                 "number of times")
{
  for (int i = 0; i < 200; ++i) {
    Send("POST", "/plain/" + std::to_string(i));
    Crash();
  }
  // 8 s have passed.
  CHECK(m_control.crashes.size() >= 2);
  CHECK(m_control.crashes.size() <= 10);
}

TEST_CASE_METHOD(CrashFixture,
                 "Dispatcher, malformed reports of crashes, are ignored and "
                 "counted")
{
  PendingRequest known;
  known.exchange = Send("GET", "/read/1");
  known.account = "a";
  CrashReport report;
  report.request = CrashGuard::FingerprintOf(known);
  for (report.process = 1; report.process <= 4; ++report.process) {
    AdvanceTime(Milliseconds(100));
    report.worked =
      report.process % 2 == 0 ? Duration(Milliseconds(-30)) : Duration::max();
    m_control.events.emplace_back(report);
    m_dispatcher->OnEvents(m_now);
  }
  const std::size_t sent = m_upstreams.started.size();
  Send("GET", "/read/1");
  CHECK(m_upstreams.started.size() == sent + 1);
  CHECK(m_metrics->Text().find("crash_reports_malformed_total") !=
        std::string::npos);
}

/// Session in the dialect of a platform whose callers set request ids and whose
/// requests name the expected endpoint.
class PlatformSessionFixture : public SessionFixture
{
protected:
  PlatformSessionFixture()
  {
    m_keyHeader = "Key";
    DispatcherOptions options;
    options.dialect.request_id = "Id";
    options.dialect.caller_names_requests = true;
    options.dialect.key = "Key";
    options.dialect.not_run = "Not-Run";
    options.dialect.not_run_value = "";
    options.dialect.not_run_status = 0;
    options.dialect.other_endpoint_status = 421;
    options.dialect.expected_endpoint = "Expected";
    options.dialect.receipt = "Receipt";
    options.policies.retry = "fixed-attempts";
    options.policies.balancer = "expected-cost";
    options.policies.ejector = "spells";
    m_control.config.routes["read"].attempts = 2;
    m_dispatcher = MakeDispatcher(options, m_control, m_upstreams, *m_metrics);
  }

  ExchangePtr SendNamed(const std::string& aMethod, const std::string& aTarget)
  {
    return Send(aMethod, aTarget, { { "Id", "r1" } });
  }
};

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, hedge fails while the first attempt is running, "
                 "waits for the first attempt")
{
  for (int i = 0; i < 60; ++i) {
    const auto attempt = m_upstreams.started.size() + 1;
    SendNamed("GET", "/read/warm");
    m_now += Milliseconds(10);
    Head(attempt, 200, { { "Receipt", "x" } });
    End(attempt, true);
  }
  const auto first = m_upstreams.started.size() + 1;
  auto read = SendNamed("GET", "/read/slow");
  AdvanceTime(Milliseconds(60));
  REQUIRE(m_upstreams.started.size() == first + 1);
  Head(first + 1, 500, { { "Receipt", "x" } });
  End(first + 1, true);
  CHECK(Status(read) == 0);
  Head(first, 200, { { "Receipt", "x" } });
  CHECK(Status(read) == 200);
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, address now belongs to another endpoint, gets no "
                 "further requests")
{
  SendNamed("POST", "/plain/1");
  const std::string replacedEndpoint = m_upstreams.started[0].endpoint;
  Head(1, 421);
  End(1, true);
  for (int i = 0; i < 4; ++i) {
    SendNamed("POST", "/plain/1");
  }
  for (std::size_t i = 1; i < m_upstreams.started.size(); ++i) {
    CHECK(m_upstreams.started[i].endpoint != replacedEndpoint);
  }
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, success without the receipt header, is not "
                 "forwarded")
{
  auto plain = SendNamed("POST", "/plain/1");
  Head(1, 200);
  CHECK(Status(plain) == 502);
  CHECK(Outcome(plain) == "unknown");
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, status that means not run but lacks the not-run "
                 "header, is not forwarded")
{
  for (const int status : { 408, 429, 503 }) {
    auto plain = SendNamed("POST", "/plain/1");
    Head(m_upstreams.started.size(), status, { { "Receipt", "x" } });
    CHECK(Status(plain) == 502);
  }
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, request id set by the caller, is forwarded with "
                 "the expected endpoint and without the key")
{
  SendNamed("GET", "/read/1");
  const AttemptOrder& params = m_upstreams.started.at(0);
  CHECK(*FindHeader(params.headers, "Id") == "r1");
  CHECK(*FindHeader(params.headers, "Expected") == params.endpoint);
  CHECK(FindHeader(params.headers, "Key") == nullptr);
  CHECK(params.echo == "r1");
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, route that allows two attempts, makes no third "
                 "for a failed read")
{
  auto read = SendNamed("GET", "/read/1");
  Head(1, 500, { { "Receipt", "x" } });
  End(1, true);
  Head(2, 500, { { "Receipt", "x" } });
  End(2, true);
  CHECK(m_upstreams.started.size() == 2);
  CHECK(Status(read) == 500);
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, endpoint that cannot be reached, does not use up "
                 "an attempt")
{
  m_control.config.routes["read"].attempts = 1;
  m_control.config.version = 2;
  SendNamed("GET", "/read/1");
  End(1, false, false, "no connection in time");
  CHECK(m_upstreams.started.size() == 2);
}

TEST_CASE_METHOD(PlatformSessionFixture,
                 "Dispatcher, service with an unused safe route, sends other "
                 "requests to idle endpoints while requests fail")
{
  // The unused safe route must not stop requests of other routes from being
  // spread over the idle endpoints.
  m_control.shortfall = 0.2;
  for (int i = 0; i < 6; ++i) {
    AdvanceTime(Milliseconds(600));
    const auto attempt = m_upstreams.started.size() + 1;
    SendNamed("POST", "/plain/1");
    const bool first = m_upstreams.started.back().endpoint == "e1";
    Head(attempt, first ? 200 : 500, { { "Receipt", "x" } });
    End(attempt, true);
  }
  std::set<std::string> used;
  for (const AttemptOrder& params : m_upstreams.started) {
    used.insert(params.endpoint);
  }
  CHECK(used.size() == 3);
}

/// A request with two attempts, of which the first one's answer is forwarded
/// and goes on; the other one's events were on their way at that moment. Guards
/// against an answer that ends with the other attempt.
class TwoAnswersFixture : public SessionFixture
{
protected:
  TwoAnswersFixture()
  {
    for (int i = 0; i < 60; ++i) {
      const auto attempt = m_upstreams.started.size() + 1;
      Send("GET", "/read/warm");
      m_now += Milliseconds(10);
      Head(attempt, 200);
      End(attempt, true);
    }
    m_first = m_upstreams.started.size() + 1;
    m_read = Send("GET", "/read/slow");
    AdvanceTime(Milliseconds(60));
    REQUIRE(m_upstreams.started.size() == m_first + 1);
    Head(m_first, 200);
    m_read->UpstreamWrite("half", 4);
    REQUIRE(Status(m_read) == 200);
  }

  /// Checks that the answer goes on and gets its end.
  void CheckAnswerGoesOn()
  {
    CHECK(m_upstreams.cancelled == std::vector<std::uint64_t>{ m_first + 1 });
    CHECK(m_dispatcher->InFlight() == 1);
    char bytes[16];
    std::size_t read = 0;
    CHECK(m_read->CallerRead(bytes, sizeof bytes, read) == StreamResult::Some);
    CHECK(m_read->CallerRead(bytes, sizeof bytes, read) == StreamResult::Wait);
  }

  std::uint64_t m_first = 0;
  ExchangePtr m_read;
};

TEST_CASE_METHOD(TwoAnswersFixture,
                 "Dispatcher, other attempt is answered before it is "
                 "cancelled, does not end the answer that is forwarded")
{
  Head(m_first + 1, 200);
  End(m_first + 1, true);
  CheckAnswerGoesOn();
}

TEST_CASE_METHOD(TwoAnswersFixture,
                 "Dispatcher, other attempt is shed before it is cancelled, "
                 "does not end the answer that is forwarded")
{
  Head(m_first + 1, 503, { { HttpDialect{}.not_run, "not-run" } });
  End(m_first + 1, true);
  CheckAnswerGoesOn();
}

TEST_CASE_METHOD(TwoAnswersFixture,
                 "Dispatcher, other attempt's answer is cut before it is "
                 "cancelled, does not break off the answer that is forwarded")
{
  Head(m_first + 1, 200);
  End(m_first + 1, false, true, "connection reset");
  CheckAnswerGoesOn();
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, body can no longer be sent again, tries and "
                 "blames no further endpoints")
{
  const auto exchange = Send("POST", "/read/1", { { "Content-Length", "9" } });
  End(1, false, true, "connection reset");
  REQUIRE(m_upstreams.started.size() == 2);
  const auto bad = m_control.bad;
  const auto extra = m_control.extra;
  EndWithoutBody(2);
  CHECK(m_upstreams.started.size() == 2);
  CHECK(Status(exchange) == 502);
  CHECK(m_control.bad == bad);
  CHECK(m_control.extra == extra);
}

/// A first attempt that has read past the buffer, then a hedge.
TEST_CASE_METHOD(
  TwoAnswersFixture,
  "Dispatcher, hedge finds the body's start gone, does not blame "
  "its endpoint")
{
  Head(m_first + 1, 500); // Ends the fixture's other attempt.
  const auto slow = m_upstreams.started.size() + 1;
  Send("POST", "/read/up", { { "Content-Length", "9" } });
  AdvanceTime(Milliseconds(60));
  REQUIRE(m_upstreams.started.size() == slow + 1);
  const auto bad = m_control.bad;
  EndWithoutBody(slow + 1);
  CHECK(m_control.bad == bad);
}

TEST_CASE_METHOD(SessionFixture,
                 "Dispatcher, start of a body is no longer held, makes no "
                 "further attempt and spends no retry",
                 "[body]")
{
  const auto exchange = Send("POST", "/read/1", { { "Content-Length", "9" } });
  exchange->CallerWrite("half", 4);
  exchange->AddAttempt([] {});
  std::string bytes(200000, 'x');
  for (int i = 0; i < 2; ++i) {
    std::size_t read = 0;
    exchange->CallerWrite(bytes.data(), 65536);
    exchange->UpstreamRead(1, bytes.data(), bytes.size(), read);
  }
  End(1, false, true, "connection reset");
  CHECK(m_upstreams.started.size() == 1);
  CHECK(Status(exchange) == 502);
}

/// Session whose requests wait after a shed response; routes allow two attempts
/// and have a target of 1 s and a deadline of 2 s.
class ShedWaitFixture : public SessionFixture
{
protected:
  ShedWaitFixture()
  {
    m_options.policies.retry = "fixed-attempts";
    m_options.policies.shed = "wait";
    m_options.limits.queue_per_account = 5;
    for (auto& route : m_control.config.routes) {
      route.second.attempts = 2;
      route.second.target = Milliseconds(1000);
    }
    m_dispatcher =
      MakeDispatcher(m_options, m_control, m_upstreams, *m_metrics);
  }

  /// Sends a request that is shed while the service sheds nearly all.
  ExchangePtr SendShed(const std::string& aTarget = "/plain/1")
  {
    FleetEvidence evidence;
    evidence.service = "s";
    evidence.endpoints.resize(1);
    evidence.endpoints[0].endpoint = "e1";
    evidence.endpoints[0].shed = 50;
    m_control.events.emplace_back(evidence);
    m_dispatcher->OnEvents(m_now);
    auto exchange = Send("POST", aTarget);
    Shed(m_upstreams.started.size());
    return exchange;
  }

  void Shed(std::uint64_t aAttempt)
  {
    Head(aAttempt, 503, { { HttpDialect{}.not_run, "not-run" } });
    End(aAttempt, false, true, "cancelled");
  }

  bool Has(const std::string& aText) const
  {
    return m_text.find(aText) != std::string::npos;
  }

  DispatcherOptions m_options;
};

/// Guards against refusals within milliseconds while the target is seconds
/// away.
TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, service sheds, sends the last attempt before "
                 "the target is missed")
{
  const auto exchange = SendShed();
  CHECK(Status(exchange) == 0);
  CHECK(m_upstreams.started.size() == 1);
  AdvanceTime(Milliseconds(500));
  CHECK(m_upstreams.started.size() == 1);
  // The evidence has decayed, or the target is near.
  AdvanceTime(Milliseconds(500));
  REQUIRE(m_upstreams.started.size() == 2);
  Head(2, 200);
  End(2, true);
  CHECK(Status(exchange) == 200);
  CHECK(Has("[retry] The request waits for a further attempt."));
  CHECK(Has("end=sent"));
}

/// Guards against a request that is held although nothing can serve it.
TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, last attempt is shed, refuses at once and tells "
                 "when the service is expected to recover")
{
  const auto exchange = SendShed();
  AdvanceTime(Milliseconds(1000));
  REQUIRE(m_upstreams.started.size() == 2);
  SendShed("/plain/2");
  Shed(2);
  CHECK(Status(exchange) == 503);
  CHECK(Outcome(exchange) == "not-run");
  const auto head = exchange->CallerTakeHead();
  const std::string* retryAfter = FindHeader(head->headers, "Retry-After");
  REQUIRE(retryAfter != nullptr);
  CHECK(std::stoi(*retryAfter) >= 2);
}

TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, stop leaves a waiting request no time, refuses "
                 "it as not run")
{
  const auto exchange = SendShed();
  m_dispatcher->BeginStop(m_now + Milliseconds(100), m_now);
  AdvanceTime(Milliseconds(10));
  CHECK(Status(exchange) == 503);
  CHECK(Outcome(exchange) == "not-run");
  CHECK(m_dispatcher->InFlight() == 0);
  CHECK(Has("end=stopping"));
}

TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, caller leaves while its request waits, sends "
                 "nothing further")
{
  const auto exchange = SendShed();
  exchange->CallerLeave();
  AdvanceTime(Milliseconds(10));
  CHECK(m_dispatcher->InFlight() == 0);
  AdvanceTime(Milliseconds(2000));
  CHECK(m_upstreams.started.size() == 1);
  CHECK(Has("end=abandoned"));
}

TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, key is withdrawn while a request waits, refuses "
                 "it at once")
{
  const auto exchange = SendShed();
  m_control.keys.SetWithdrawn({ DigestOf("the key") });
  AdvanceTime(Milliseconds(10));
  CHECK(Status(exchange) == 401);
  CHECK(Outcome(exchange) == "not-run");
}

TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, route is removed while a request waits, refuses "
                 "it at once")
{
  const auto exchange = SendShed();
  m_control.config.routes.erase("plain");
  m_control.config.version = 2;
  AdvanceTime(Milliseconds(10));
  CHECK(Status(exchange) == 404);
  CHECK(Outcome(exchange) == "not-run");
}

/// Guards against requests that are held past their deadline while the fleet's
/// budget refuses them.
TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, retry budget refuses until the deadline, refuses "
                 "the request by then as not run")
{
  m_control.retries_allowed = false;
  const auto exchange = SendShed();
  AdvanceTime(Milliseconds(1500));
  CHECK(Status(exchange) == 0);
  AdvanceTime(Milliseconds(500));
  CHECK(Status(exchange) == 503);
  CHECK(Outcome(exchange) == "not-run");
  CHECK(m_control.asked_for_retry > 1);
  CHECK(m_upstreams.started.size() == 1);
}

TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, budget refuses at first, sends the request when "
                 "it allows one")
{
  m_control.retries_allowed = false;
  const auto exchange = SendShed();
  AdvanceTime(Milliseconds(1200));
  m_control.retries_allowed = true;
  AdvanceTime(Milliseconds(790));
  CHECK(m_upstreams.started.size() == 2);
  CHECK(Status(exchange) == 0);
}

/// Guards against one account's requests that take up all places to wait.
TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, account has too many waiting requests, refuses "
                 "the next at once but not another account's")
{
  m_control.config.accounts["b"] = { "b", 10, 20 };
  m_control.config.keys["k2"] = { "k2", "b", DigestOf("another key") };
  m_control.keys.Load(m_control.config);
  for (int i = 0; i < 5; ++i) {
    CHECK(Status(SendShed()) == 0);
  }
  CHECK(Status(SendShed()) == 503);
  m_key = "another key";
  CHECK(Status(SendShed()) == 0);
}

/// Guards against slots that waiting requests would take from new ones.
TEST_CASE_METHOD(ShedWaitFixture,
                 "Dispatcher, requests wait, holds no slot and no token back "
                 "from a first attempt")
{
  const int tokens = m_control.tokens;
  for (int i = 0; i < 5; ++i) {
    SendShed();
  }
  CHECK(m_control.tokens == tokens - 5);
  for (std::size_t i = 1; i <= 6; ++i) {
    Send("GET", "/read/1");
    CHECK(m_upstreams.started.size() == 5 + i);
  }
}

} // namespace
} // namespace sapphirelane
