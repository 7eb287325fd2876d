#include "sapphirelane/membership/head_writer.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/log.h"
#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

/// Longest time for one write, then its outcome is reported as it stands.
constexpr Milliseconds kWritePatience{ 8000 };

/// Longest wait for a newer head to be taken over.
constexpr Milliseconds kAdoptPatience{ 2000 };

constexpr Milliseconds kResolvePeriod{ 200 };
constexpr std::uint64_t kMostRetryMs = 100;

/// A snapshot is kept whenever this many versions have passed.
constexpr std::uint64_t kSnapshotEvery = 32;

constexpr const char* kNoPlatform = "the platform's table cannot be reached";

} // namespace

HeadWriter::HeadWriter(HeadKeeper& aKeeper,
                       StoreClient& aStore,
                       Peers& aPeers,
                       WitnessSeat& aSeat,
                       Random& aRandom)
  : m_keeper(aKeeper)
  , m_store(aStore)
  , m_peers(aPeers)
  , m_seat(aSeat)
  , m_random(aRandom)
{
}

void
HeadWriter::WriteChange(const ChangeSet& aChange, TimePoint aNow, Done aDone)
{
  Job job;
  job.change = aChange;
  job.done = std::move(aDone);
  Begin(std::move(job), aNow);
}

void
HeadWriter::WriteHead(MakeNext aMake, TimePoint aNow, Done aDone)
{
  Job job;
  job.make = std::move(aMake);
  job.done = std::move(aDone);
  Begin(std::move(job), aNow);
}

void
HeadWriter::Begin(Job aJob, TimePoint aNow)
{
  if (m_job) {
    m_waiting.push_back(std::move(aJob));
    return;
  }
  aJob.begun = aNow;
  m_job = std::move(aJob);
  ++m_jobNumber;
  Read(aNow);
}

void
HeadWriter::SetStep(Step aStep, TimePoint aNow)
{
  m_job->step = aStep;
  m_job->step_since = aNow;
}

void
HeadWriter::Read(TimePoint aNow)
{
  m_job->retry_at = TimePoint::max();
  SetStep(m_job->swapped ? Step::Resolving : Step::Reading, aNow);
  StoreCall call;
  call.kind = StoreCall::Kind::ReadHead;
  const std::uint64_t number = m_jobNumber;
  m_store.Call(
    call, [this, number, aNow](const StoreResult& aResult, TimePoint aThen) {
      if (m_job && number == m_jobNumber) {
        OnRead(aResult, aNow, aThen);
      }
    });
}

void
HeadWriter::OnRead(const StoreResult& aResult, TimePoint aSent, TimePoint aNow)
{
  if (aResult.status == StoreResult::Status::Unavailable) {
    if (m_job->maybe) {
      Retry(kResolvePeriod, aNow);
    } else {
      Finish(WriteVerdict::Unreached, kNoPlatform, aNow);
    }
    return;
  }
  Head read;
  if (aResult.status == StoreResult::Status::Ok) {
    try {
      read = DecodeHead(aResult.text);
    } catch (const WireError& error) {
      Finish(WriteVerdict::Refused, error.what(), aNow);
      return;
    }
  }
  m_job->row_version = aResult.version;
  m_keeper.OnRead(read, aSent, aNow);
  if (!m_job) {
    return;
  }
  if (m_job->swapped) {
    Resolve(read, aSent, aNow);
    return;
  }
  if (read.seq > m_keeper.Seq()) {
    SetStep(Step::AwaitHead, aNow);
    return;
  }
  if (read.seq < m_keeper.Seq()) {
    Finish(WriteVerdict::Refused,
           "the platform's table went back from head " +
             std::to_string(m_keeper.Seq()) + " to " + std::to_string(read.seq),
           aNow);
    return;
  }
  Build(aNow);
}

void
HeadWriter::Resolve(const Head& aRead, TimePoint aSent, TimePoint aNow)
{
  if (aRead.seq < m_job->next.seq) {
    // Not written so far; the same swap can only take effect once.
    Swap(aNow);
    return;
  }
  if (aRead.write_id == m_job->next.write_id) {
    std::vector<KeptChange> changes;
    if (m_job->change) {
      changes.push_back({ m_job->config.version, *m_job->change });
    }
    m_keeper.OnWritten(m_job->next, m_job->config, changes, aSent, aNow);
    Finish(WriteVerdict::Accepted, "", aNow);
    return;
  }
  // Another write came after or instead; the changes tell which.
  m_job->swapped = false;
  SetStep(Step::AwaitHead, aNow);
}

void
HeadWriter::Build(TimePoint aNow)
{
  m_job->config = m_keeper.Config() ? *m_keeper.Config() : FleetConfig{};
  if (m_job->change) {
    if (BuildChange(aNow)) {
      PutObject(aNow);
    }
    return;
  }
  const Head base = m_keeper.Current().value_or(Head{});
  const auto next = m_job->make(base, aNow);
  if (!next) {
    Finish(WriteVerdict::Unchanged, "", aNow);
    return;
  }
  m_job->next = *next;
  m_job->next.seq = base.seq + 1;
  m_job->next.write_id = RandomName();
  AskIntents(aNow);
}

bool
HeadWriter::BuildChange(TimePoint aNow)
{
  const auto& head = m_keeper.Current();
  if (!head) {
    Finish(WriteVerdict::Unreached, "this host has no head yet", aNow);
    return false;
  }
  if (m_keeper.HasChange(m_job->change->id)) {
    Finish(WriteVerdict::Accepted, "", aNow);
    return false;
  }
  try {
    FleetConfig next = Apply(m_job->config, *m_job->change);
    if (Difference(m_job->config, next).empty()) {
      Finish(m_job->maybe ? WriteVerdict::Accepted : WriteVerdict::Unchanged,
             m_job->maybe ? "" : "nothing would change",
             aNow);
      return false;
    }
    // The newest configuration lacks the change, and an earlier swap can no
    // longer take effect.
    m_job->maybe = false;
    m_job->config = std::move(next);
  } catch (const Error& error) {
    Finish(m_job->maybe ? WriteVerdict::Unknown : WriteVerdict::Refused,
           error.what(),
           aNow);
    return false;
  }
  m_job->next = *head;
  m_job->next.seq = head->seq + 1;
  m_job->next.write_id = RandomName();
  m_job->next.config_version = m_job->config.version;
  m_job->next.config_object = "config-" +
                              std::to_string(m_job->config.version) + "-" +
                              m_job->next.write_id;
  return true;
}

void
HeadWriter::PutObject(TimePoint aNow)
{
  SetStep(Step::Putting, aNow);
  const auto& head = m_keeper.Current();
  const bool snapshot = m_job->config.version % kSnapshotEvery == 1;
  StoreCall call;
  call.kind = StoreCall::Kind::PutObject;
  call.name = m_job->next.config_object;
  call.text =
    EncodeVersionObject(m_job->config,
                        *m_job->change,
                        snapshot ? std::string() : head->config_object);
  const std::uint64_t number = m_jobNumber;
  m_store.Call(call,
               [this, number](const StoreResult& aResult, TimePoint aThen) {
                 if (!m_job || number != m_jobNumber) {
                   return;
                 }
                 if (aResult.status == StoreResult::Status::Ok) {
                   AskIntents(aThen);
                 } else {
                   Finish(WriteVerdict::Unreached,
                          "the platform's object store cannot be reached",
                          aThen);
                 }
               });
}

void
HeadWriter::AskIntents(TimePoint aNow)
{
  SetStep(Step::Intents, aNow);
  m_job->nonce = m_random();
  m_job->recorded.clear();
  if (!m_keeper.Current()) {
    // The first head replaces none, so nobody acts on an older one.
    Swap(aNow);
    return;
  }
  if (m_job->next.seq != m_keeper.Seq() + 1) {
    Retry(Duration::zero(), aNow);
    return;
  }
  SendIntents(aNow);
  CheckMajority(aNow);
}

void
HeadWriter::SendIntents(TimePoint aNow)
{
  m_job->intents_sent = aNow;
  const Head& head = *m_keeper.Current();
  const auto own = m_seat.Seats(head);
  if (!own.empty()) {
    m_seat.Record(m_job->nonce, aNow);
    m_job->recorded.insert(own.begin(), own.end());
  }
  std::set<NodeId> asked;
  for (NodeId seat : head.witnesses) {
    if (m_job->recorded.count(seat) == 0) {
      asked.insert(m_seat.HolderOf(seat));
    }
  }
  asked.erase(m_peers.Self().id);
  for (NodeId witness : asked) {
    m_peers.Send(witness, IntentAsk{ m_job->nonce, m_keeper.Seq() });
  }
}

void
HeadWriter::OnIntentAnswer(const IntentAnswer& aAnswer, TimePoint aNow)
{
  const bool asked =
    m_job && m_job->step == Step::Intents && m_job->nonce == aAnswer.nonce;
  if (!asked) {
    return;
  }
  if (!aAnswer.seats.empty()) {
    m_job->recorded.insert(aAnswer.seats.begin(), aAnswer.seats.end());
    CheckMajority(aNow);
  } else if (aAnswer.seq > m_keeper.Seq()) {
    ReleaseIntents();
    Retry(kResolvePeriod, aNow);
  }
}

void
HeadWriter::CheckMajority(TimePoint aNow)
{
  const auto& head = m_keeper.Current();
  if (m_job->next.seq != head->seq + 1) {
    ReleaseIntents();
    Retry(Duration::zero(), aNow);
    return;
  }
  std::size_t seats = 0;
  for (NodeId witness : head->witnesses) {
    seats += m_job->recorded.count(witness);
  }
  if (seats * 2 > head->witnesses.size()) {
    Swap(aNow);
  }
}

void
HeadWriter::ReleaseIntents()
{
  const auto& head = m_keeper.Current();
  // A late answer must not lead to a write that nobody expects any more.
  const std::uint64_t nonce = std::exchange(m_job->nonce, 0);
  m_seat.Release(nonce);
  for (NodeId seat : head->witnesses) {
    const NodeId holder = m_seat.HolderOf(seat);
    if (holder != m_peers.Self().id) {
      m_peers.Send(holder, IntentRelease{ nonce });
    }
  }
}

void
HeadWriter::Swap(TimePoint aNow)
{
  SetStep(Step::Swapping, aNow);
  m_job->swapped = true;
  m_job->maybe = true;
  StoreCall call;
  call.kind = StoreCall::Kind::SwapHead;
  call.version = m_job->row_version;
  call.text = EncodeHead(m_job->next);
  const std::uint64_t number = m_jobNumber;
  m_store.Call(
    call, [this, number, aNow](const StoreResult& aResult, TimePoint aThen) {
      if (m_job && number == m_jobNumber) {
        OnSwapped(aResult, aNow, aThen);
      }
    });
}

void
HeadWriter::OnSwapped(const StoreResult& aResult,
                      TimePoint aSent,
                      TimePoint aNow)
{
  if (aResult.status == StoreResult::Status::Ok) {
    std::vector<KeptChange> changes;
    if (m_job->change) {
      changes.push_back({ m_job->config.version, *m_job->change });
    }
    m_keeper.OnWritten(m_job->next, m_job->config, changes, aSent, aNow);
    Finish(WriteVerdict::Accepted, "", aNow);
    return;
  }
  const bool conflict = aResult.status == StoreResult::Status::Conflict;
  m_job->lost = m_job->lost || !conflict;
  if (!m_job->lost) {
    // Another write came first, and no swap of this job can still land.
    m_job->swapped = false;
    m_job->maybe = false;
  }
  // After a conflict or no answer, the head read back tells who won.
  Retry(conflict ? Duration::zero() : Duration(kResolvePeriod), aNow);
}

void
HeadWriter::Retry(Duration aAfter, TimePoint aNow)
{
  const Milliseconds jitter(m_random() % kMostRetryMs);
  m_job->retry_at = aNow + aAfter + jitter;
}

void
HeadWriter::Tick(TimePoint aNow)
{
  if (!m_job) {
    return;
  }
  if (aNow - m_job->begun > kWritePatience && m_job->step != Step::Swapping) {
    const bool unknown = m_job->maybe;
    if (!unknown && m_keeper.Current()) {
      ReleaseIntents();
    }
    Finish(unknown ? WriteVerdict::Unknown : WriteVerdict::Unreached,
           unknown ? "the platform did not say whether it was written"
                   : "it could not be written in time",
           aNow);
    return;
  }
  if (aNow >= m_job->retry_at) {
    Read(aNow);
    return;
  }
  if (m_job->retry_at != TimePoint::max()) {
    return;
  }
  if (m_job->step == Step::AwaitHead) {
    // Read anew as soon as the newer head is there.
    const bool late = aNow - m_job->step_since > kAdoptPatience;
    Retry(late ? kAdoptPatience : kResolvePeriod / 4, aNow);
    return;
  }
  if (m_job->step != Step::Intents) {
    return;
  }
  if (aNow - m_job->step_since > kIntentPatience) {
    ReleaseIntents();
    Finish(WriteVerdict::Unreached,
           "no majority of the witnesses can be reached",
           aNow);
    return;
  }
  if (aNow - m_job->intents_sent >= 2 * kResendAfter) {
    SendIntents(aNow);
    CheckMajority(aNow);
  }
}

void
HeadWriter::Finish(WriteVerdict aVerdict,
                   const std::string& aDetail,
                   TimePoint aNow)
{
  Job job = std::move(*m_job);
  m_job.reset();
  WriteResult result;
  result.verdict = aVerdict;
  result.detail = aDetail;
  result.config_version = m_keeper.Config() ? m_keeper.Config()->version : 0;
  if (!m_waiting.empty()) {
    Job next = std::move(m_waiting.front());
    m_waiting.pop_front();
    Begin(std::move(next), aNow);
  }
  job.done(result, aNow);
}

std::string
HeadWriter::RandomName()
{
  constexpr std::uint64_t kBase = 36;
  constexpr std::size_t kLength = 12;
  constexpr const char* kDigits = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::string name;
  for (std::size_t i = 0; i < kLength; ++i) {
    name += kDigits[m_random() % kBase];
  }
  return name;
}

} // namespace sapphirelane
