#include "sapphirelane/membership/evidence_asker.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/hash.h"
#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Number of recent rounds whose answers are still accepted.
constexpr std::size_t kMaxOpenRounds = 8;

/// Seed of the hash that orders the members of a data centre in the tree.
constexpr std::uint64_t kTreeHashSeed = 11;

/// Number of parents in the tree, and of random members, that are queried.
constexpr std::size_t kQueriedParents = 2;

/// Members of one data centre in tree order, the root level first.
std::vector<NodeId>
TreeOrder(const Head& aHead, const std::string& aDataCentre)
{
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const MemberInfo& member : aHead.members) {
    if (member.data_centre == aDataCentre) {
      ranked.emplace_back(StableHash(std::to_string(member.id), kTreeHashSeed),
                          member.id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<NodeId> order;
  order.reserve(ranked.size());
  for (const auto& entry : ranked) {
    order.push_back(entry.second);
  }
  return order;
}

} // namespace

EvidenceAsker::EvidenceAsker(HeadKeeper& aReplica,
                             StoreClient& aStore,
                             Peers& aPeers,
                             const WitnessSeat& aWitness,
                             std::vector<std::string> aSeeds,
                             NodeEnv& aEnv,
                             Random& aRandom)
  : m_replica(aReplica)
  , m_store(aStore)
  , m_peers(aPeers)
  , m_witness(aWitness)
  , m_seeds(std::move(aSeeds))
  , m_env(aEnv)
  , m_random(aRandom)
{
}

void
EvidenceAsker::Load(const Head& aHead)
{
  // Votes count only for the head for which they were given.
  for (Round& round : m_rounds) {
    round.votes.clear();
  }
  const auto order = TreeOrder(aHead, m_peers.Self().data_centre);
  const auto self = std::find(order.begin(), order.end(), m_peers.Self().id);
  m_parents.clear();
  m_pollsPlatform =
    self == order.end() ||
    self - order.begin() < static_cast<std::ptrdiff_t>(kPollersPerDataCentre);
  if (m_pollsPlatform) {
    return;
  }
  // Finds the parent level: each level is kEvidenceTreeFanOut times as large as
  // the one above.
  const auto position = static_cast<std::size_t>(self - order.begin());
  std::size_t begin = 0;
  std::size_t end = kPollersPerDataCentre;
  while (position >= end + (end - begin) * kEvidenceFanOut) {
    const std::size_t size = (end - begin) * kEvidenceFanOut;
    begin = end;
    end += size;
  }
  const std::size_t width = std::min(end, order.size()) - begin;
  for (std::size_t i = 0; i < std::min(kQueriedParents, width); ++i) {
    m_parents.push_back(order[begin + (position + i) % width]);
  }
}

void
EvidenceAsker::Tick(TimePoint aNow)
{
  const Duration age = m_replica.Lease().Age(aNow);
  const bool shouldRead = m_pollsPlatform || age > kStaleEvidence;
  const bool readDue = !m_lastRead || aNow - *m_lastRead >= kPollPeriod;
  if (shouldRead && readDue && !m_readInProgress) {
    ReadHead(aNow);
  }
  const Duration interval = age < kStaleEvidence
                              ? Duration(kQuestionPeriod)
                              : Duration(kQuestionPeriod) / 2;
  if (!m_lastRound || aNow - *m_lastRound >= interval) {
    StartRound(aNow);
  }
}

void
EvidenceAsker::ReadHead(TimePoint aNow)
{
  m_readInProgress = true;
  m_lastRead = aNow;
  StoreCall call;
  call.kind = StoreCall::Kind::ReadHead;
  m_store.Call(
    call, [this, aNow](const StoreResult& aResult, TimePoint aReplyTime) {
      m_readInProgress = false;
      m_platformAvailable = aResult.status != StoreResult::Status::Unavailable;
      if (aResult.status != StoreResult::Status::Ok) {
        return;
      }
      try {
        m_replica.OnRead(DecodeHead(aResult.text), aNow, aReplyTime);
      } catch (const WireError& error) {
        LogLine("member",
                std::string("Cannot use the head read from the platform: ") +
                  error.what());
      }
    });
}

void
EvidenceAsker::StartRound(TimePoint aNow)
{
  m_lastRound = aNow;
  Round round;
  round.nonce = m_random();
  round.sent = aNow;
  const HeadQuestion question{ round.nonce, m_replica.Seq() };
  std::set<NodeId> targets(m_parents.begin(), m_parents.end());
  const auto& head = m_replica.Current();
  const Duration age = m_replica.Lease().Age(aNow);
  const bool queriesWidely = age > kStaleEvidence;
  if (queriesWidely) {
    const auto randomMembers = m_peers.Draw(kQueriedParents);
    targets.insert(randomMembers.begin(), randomMembers.end());
  }
  if (head && (queriesWidely || (m_pollsPlatform && age > 2 * kPollPeriod))) {
    for (NodeId slot : head->witnesses) {
      targets.insert(m_witness.HolderOf(slot));
    }
    const auto ownVotes = m_witness.Vouching(*head);
    round.votes.insert(ownVotes.begin(), ownVotes.end());
  }
  targets.erase(m_peers.Self().id);
  m_rounds.push_back(round);
  if (m_rounds.size() > kMaxOpenRounds) {
    m_rounds.pop_front();
  }
  for (NodeId id : targets) {
    m_peers.Send(id, question);
  }
  if (!head) {
    for (const std::string& address : EntryPoints()) {
      m_env.Send(address, question);
    }
    return;
  }
  CountVotes(m_rounds.back(), {});
}

HeadAnswer
EvidenceAsker::Answer(const HeadQuestion& aQuestion, TimePoint aNow) const
{
  HeadAnswer answer;
  answer.nonce = aQuestion.nonce;
  answer.seq = m_replica.Seq();
  const auto& head = m_replica.Current();
  if (head) {
    answer.seats = m_witness.Vouching(*head);
  }
  if (m_replica.Lease().IsFresh(aNow)) {
    const auto age =
      std::chrono::ceil<Milliseconds>(m_replica.Lease().Age(aNow));
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
  if (aAnswer.seq > m_replica.Seq()) {
    m_replica.FetchFrom(aAddress, aNow);
    return;
  }
  if (aAnswer.seq != m_replica.Seq()) {
    return;
  }
  if (aAnswer.has_age) {
    m_replica.Lease().AddEvidence(round->sent - Milliseconds(aAnswer.age_ms));
  }
  CountVotes(*round, aAnswer.seats);
}

void
EvidenceAsker::CountVotes(Round& aRound, const std::vector<NodeId>& aSlots)
{
  const auto& head = m_replica.Current();
  for (NodeId slot : aSlots) {
    const bool isWitness =
      std::find(head->witnesses.begin(), head->witnesses.end(), slot) !=
      head->witnesses.end();
    if (isWitness) {
      aRound.votes.insert(slot);
    }
  }
  if (aRound.votes.size() * 2 > head->witnesses.size()) {
    m_replica.Lease().AddEvidence(aRound.sent);
  }
}

void
EvidenceAsker::SetHosts(std::vector<std::string> aAddresses)
{
  m_listedHosts = std::move(aAddresses);
}

std::vector<std::string>
EvidenceAsker::EntryPoints() const
{
  std::vector<std::string> addresses = m_seeds;
  addresses.insert(addresses.end(), m_listedHosts.begin(), m_listedHosts.end());
  const std::string& ownAddress = m_peers.Self().address;
  addresses.erase(std::remove(addresses.begin(), addresses.end(), ownAddress),
                  addresses.end());
  return addresses;
}

} // namespace sapphirelane
