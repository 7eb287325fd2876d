#include "sapphirelane/membership/evidence_asker.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Rounds whose answers may still come in.
constexpr std::size_t kOpenRounds = 8;

constexpr std::uint64_t kTreeSeed = 11;
constexpr std::size_t kParentsAsked = 2;

/// Members of one data centre in the order of the tree.
std::vector<NodeId>
TreeOrder(const Head& aHead, const std::string& aDataCentre)
{
  std::vector<std::pair<std::uint64_t, NodeId>> placed;
  for (const MemberInfo& member : aHead.members) {
    if (member.data_centre == aDataCentre) {
      placed.emplace_back(StableHash(std::to_string(member.id), kTreeSeed),
                          member.id);
    }
  }
  std::sort(placed.begin(), placed.end());
  std::vector<NodeId> order;
  order.reserve(placed.size());
  for (const auto& entry : placed) {
    order.push_back(entry.second);
  }
  return order;
}

} // namespace

EvidenceAsker::EvidenceAsker(HeadKeeper& aKeeper,
                             StoreClient& aStore,
                             Peers& aPeers,
                             const WitnessSeat& aSeat,
                             std::vector<std::string> aSeeds,
                             NodeEnv& aEnv,
                             Random& aRandom)
  : m_keeper(aKeeper)
  , m_store(aStore)
  , m_peers(aPeers)
  , m_seat(aSeat)
  , m_seeds(std::move(aSeeds))
  , m_env(aEnv)
  , m_random(aRandom)
{
}

void
EvidenceAsker::Load(const Head& aHead)
{
  // A vouch counts for the head that it was given for.
  for (Round& round : m_rounds) {
    round.vouchers.clear();
  }
  const auto order = TreeOrder(aHead, m_peers.Self().data_centre);
  const auto self = std::find(order.begin(), order.end(), m_peers.Self().id);
  m_parents.clear();
  m_polls =
    self == order.end() ||
    self - order.begin() < static_cast<std::ptrdiff_t>(kPollersPerDataCentre);
  if (m_polls) {
    return;
  }
  // Level by level: each level is kEvidenceFanOut times as large.
  const auto place = static_cast<std::size_t>(self - order.begin());
  std::size_t begin = 0;
  std::size_t end = kPollersPerDataCentre;
  while (place >= end + (end - begin) * kEvidenceFanOut) {
    const std::size_t size = (end - begin) * kEvidenceFanOut;
    begin = end;
    end += size;
  }
  const std::size_t width = std::min(end, order.size()) - begin;
  for (std::size_t i = 0; i < std::min(kParentsAsked, width); ++i) {
    m_parents.push_back(order[begin + (place + i) % width]);
  }
}

void
EvidenceAsker::Tick(TimePoint aNow)
{
  const Duration age = m_keeper.Lease().Age(aNow);
  const bool reads = m_polls || age > kStaleEvidence;
  const bool readDue = !m_lastRead || aNow - *m_lastRead >= kPollPeriod;
  if (reads && readDue && !m_reading) {
    ReadHead(aNow);
  }
  const Duration period = age < kStaleEvidence ? Duration(kQuestionPeriod)
                                               : Duration(kQuestionPeriod) / 2;
  if (!m_lastRound || aNow - *m_lastRound >= period) {
    AskRound(aNow);
  }
}

void
EvidenceAsker::ReadHead(TimePoint aNow)
{
  m_reading = true;
  m_lastRead = aNow;
  StoreCall call;
  call.kind = StoreCall::Kind::ReadHead;
  m_store.Call(call, [this, aNow](const StoreResult& aResult, TimePoint aThen) {
    m_reading = false;
    m_storeAnswers = aResult.status != StoreResult::Status::Unavailable;
    if (aResult.status != StoreResult::Status::Ok) {
      return;
    }
    try {
      m_keeper.OnRead(DecodeHead(aResult.text), aNow, aThen);
    } catch (const WireError& error) {
      LogLine("member", std::string("The head is not usable: ") + error.what());
    }
  });
}

void
EvidenceAsker::AskRound(TimePoint aNow)
{
  m_lastRound = aNow;
  Round round;
  round.nonce = m_random();
  round.sent = aNow;
  const HeadQuestion question{ round.nonce, m_keeper.Seq() };
  std::set<NodeId> asked(m_parents.begin(), m_parents.end());
  const auto& head = m_keeper.Current();
  const Duration age = m_keeper.Lease().Age(aNow);
  const bool widely = age > kStaleEvidence;
  if (widely) {
    const auto drawn = m_peers.Draw(kParentsAsked);
    asked.insert(drawn.begin(), drawn.end());
  }
  if (head && (widely || (m_polls && age > 2 * kPollPeriod))) {
    for (NodeId seat : head->witnesses) {
      asked.insert(m_seat.HolderOf(seat));
    }
    const auto own = m_seat.Vouching(*head);
    round.vouchers.insert(own.begin(), own.end());
  }
  asked.erase(m_peers.Self().id);
  m_rounds.push_back(round);
  if (m_rounds.size() > kOpenRounds) {
    m_rounds.pop_front();
  }
  for (NodeId id : asked) {
    m_peers.Send(id, question);
  }
  if (!head) {
    for (const std::string& address : EntryPoints()) {
      m_env.Send(address, question);
    }
    return;
  }
  CountVouches(m_rounds.back(), {});
}

HeadAnswer
EvidenceAsker::Answer(const HeadQuestion& aQuestion, TimePoint aNow) const
{
  HeadAnswer answer;
  answer.nonce = aQuestion.nonce;
  answer.seq = m_keeper.Seq();
  const auto& head = m_keeper.Current();
  if (head) {
    answer.seats = m_seat.Vouching(*head);
  }
  if (m_keeper.Lease().IsFresh(aNow)) {
    const auto age =
      std::chrono::ceil<Milliseconds>(m_keeper.Lease().Age(aNow));
    answer.has_age = true;
    answer.age_ms = static_cast<std::uint32_t>(age.count());
  }
  return answer;
}

void
EvidenceAsker::OnAnswer(const std::string& aAddress,
                        const HeadAnswer& aAnswer,
                        TimePoint aNow)
{
  auto round =
    std::find_if(m_rounds.begin(), m_rounds.end(), [&](const Round& aRound) {
      return aRound.nonce == aAnswer.nonce;
    });
  if (round == m_rounds.end()) {
    return;
  }
  if (aAnswer.seq > m_keeper.Seq()) {
    m_keeper.FetchFrom(aAddress, aNow);
    return;
  }
  if (aAnswer.seq != m_keeper.Seq()) {
    return;
  }
  if (aAnswer.has_age) {
    m_keeper.Lease().AddEvidence(round->sent - Milliseconds(aAnswer.age_ms));
  }
  CountVouches(*round, aAnswer.seats);
}

void
EvidenceAsker::CountVouches(Round& aRound, const std::vector<NodeId>& aSeats)
{
  const auto& head = m_keeper.Current();
  for (NodeId seat : aSeats) {
    const bool named =
      std::find(head->witnesses.begin(), head->witnesses.end(), seat) !=
      head->witnesses.end();
    if (named) {
      aRound.vouchers.insert(seat);
    }
  }
  if (aRound.vouchers.size() * 2 > head->witnesses.size()) {
    m_keeper.Lease().AddEvidence(aRound.sent);
  }
}

void
EvidenceAsker::SetHosts(std::vector<std::string> aAddresses)
{
  m_hosts = std::move(aAddresses);
}

std::vector<std::string>
EvidenceAsker::EntryPoints() const
{
  std::vector<std::string> addresses = m_seeds;
  addresses.insert(addresses.end(), m_hosts.begin(), m_hosts.end());
  const std::string& own = m_peers.Self().address;
  addresses.erase(std::remove(addresses.begin(), addresses.end(), own),
                  addresses.end());
  return addresses;
}

} // namespace sapphirelane
