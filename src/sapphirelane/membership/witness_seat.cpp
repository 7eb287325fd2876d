#include "sapphirelane/membership/witness_seat.h"

#include <algorithm>

namespace sapphirelane {

namespace {

bool
IsSeat(const Head& aHead, NodeId aSeat)
{
  return std::find(aHead.witnesses.begin(), aHead.witnesses.end(), aSeat) !=
         aHead.witnesses.end();
}

} // namespace

WitnessSeat::WitnessSeat(NodeId aSelf)
  : m_self(aSelf)
{
}

std::vector<NodeId>
WitnessSeat::Seats(const Head& aHead) const
{
  std::vector<NodeId> seats;
  if (m_gaveUp) {
    return seats;
  }
  for (NodeId seat : aHead.witnesses) {
    if (seat == m_self || m_taken.count(seat) == 1) {
      seats.push_back(seat);
    }
  }
  return seats;
}

std::vector<NodeId>
WitnessSeat::Vouching(const Head& aHead) const
{
  return m_open.empty() ? Seats(aHead) : std::vector<NodeId>();
}

void
WitnessSeat::Record(std::uint64_t aNonce, TimePoint aNow)
{
  m_open.emplace(aNonce, aNow);
}

void
WitnessSeat::Release(std::uint64_t aNonce)
{
  m_open.erase(aNonce);
}

void
WitnessSeat::OnNewHead(const Head& aHead)
{
  m_open.clear();
  for (auto it = m_moved.begin(); it != m_moved.end();) {
    it = IsSeat(aHead, it->first) ? std::next(it) : m_moved.erase(it);
  }
  for (auto it = m_taken.begin(); it != m_taken.end();) {
    it = IsSeat(aHead, *it) ? std::next(it) : m_taken.erase(it);
  }
}

std::optional<Duration>
WitnessSeat::OldestAge(TimePoint aNow) const
{
  std::optional<Duration> oldest;
  for (const auto& entry : m_open) {
    const Duration age = aNow - entry.second;
    oldest = oldest ? std::max(*oldest, age) : age;
  }
  return oldest;
}

SeatTransfer
WitnessSeat::GiveUp(const Head& aHead)
{
  SeatTransfer transfer;
  transfer.seq = aHead.seq;
  for (NodeId seat : Seats(aHead)) {
    auto moved = m_moved.find(seat);
    const std::uint32_t hops = moved == m_moved.end() ? 0 : moved->second.hops;
    transfer.seats.push_back({ seat, 0, hops + 1 });
  }
  for (const auto& entry : m_open) {
    transfer.intents.push_back(entry.first);
  }
  m_gaveUp = true;
  return transfer;
}

bool
WitnessSeat::Take(const SeatTransfer& aTransfer,
                  const Head& aHead,
                  TimePoint aNow)
{
  if (m_gaveUp || aHead.seq < aTransfer.seq) {
    return false;
  }
  for (MovedSeat moved : aTransfer.seats) {
    if (IsSeat(aHead, moved.seat)) {
      moved.holder = m_self;
      m_taken.insert(moved.seat);
      m_moved[moved.seat] = moved;
    }
  }
  // A newer head has closed them.
  if (aHead.seq == aTransfer.seq) {
    for (std::uint64_t intent : aTransfer.intents) {
      m_open.emplace(intent, aNow);
    }
  }
  return true;
}

NodeId
WitnessSeat::HolderOf(NodeId aSeat) const
{
  auto moved = m_moved.find(aSeat);
  return moved == m_moved.end() ? aSeat : moved->second.holder;
}

std::vector<MovedSeat>
WitnessSeat::Moved() const
{
  std::vector<MovedSeat> moved;
  moved.reserve(m_moved.size());
  for (const auto& entry : m_moved) {
    moved.push_back(entry.second);
  }
  return moved;
}

void
WitnessSeat::Learn(const std::vector<MovedSeat>& aMoved)
{
  for (const MovedSeat& moved : aMoved) {
    MovedSeat& known = m_moved[moved.seat];
    if (moved.hops > known.hops) {
      known = moved;
    }
  }
}

} // namespace sapphirelane
