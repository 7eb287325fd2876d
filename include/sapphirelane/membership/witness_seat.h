#ifndef SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H
#define SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/head.h"

namespace sapphirelane {

/// @brief The witness seats that this daemon holds, and their write intents.
///
/// A seat bears the id of the daemon that the head names as a witness. Before a
/// head is written, its writer has the intent recorded by a majority of the
/// seats of the head to be replaced. A seat with an open intent does not vouch.
/// An intent closes when a newer head is known, or when its writer says that
/// the write was never sent; never by age.
///
/// A daemon that stops as planned hands its seats with their intents to one
/// other daemon, and neither vouches nor records from then on. So each seat has
/// one holder at the most, and no intent is forgotten.
class WitnessSeat
{
public:
  explicit WitnessSeat(NodeId aSelf);

  /// @brief Seats of a head that this daemon holds.
  std::vector<NodeId> Seats(const Head& aHead) const;

  /// @brief Seats that vouch for a head: those held, unless an intent is open.
  std::vector<NodeId> Vouching(const Head& aHead) const;

  /// @brief Records an intent to replace the head that is held.
  void Record(std::uint64_t aNonce, TimePoint aNow);

  /// @brief Takes back an intent whose write was never sent.
  void Release(std::uint64_t aNonce);

  /// @brief Notes that a newer head is held, which closes all intents.
  void OnNewHead(const Head& aHead);

  /// @brief Age of the oldest open intent.
  std::optional<Duration> OldestAge(TimePoint aNow) const;

  /// @brief Gives all seats up for good.
  /// @return What to hand to one other daemon; no seats if there are none.
  SeatTransfer GiveUp(const Head& aHead);

  /// @brief Takes seats over from a daemon that has given them up.
  /// @param aHead The head that this daemon holds.
  /// @return False if nothing was taken: this daemon knows less than the giver,
  /// or has given its own seats up.
  bool Take(const SeatTransfer& aTransfer, const Head& aHead, TimePoint aNow);

  /// @brief Daemon that holds a seat, as far as this one has heard.
  NodeId HolderOf(NodeId aSeat) const;

  /// @brief Seats that were handed over, to be told to others.
  std::vector<MovedSeat> Moved() const;

  /// @brief Learns of seats that were handed over.
  void Learn(const std::vector<MovedSeat>& aMoved);

private:
  NodeId m_self;
  bool m_gaveUp = false;
  std::set<NodeId> m_taken;
  std::map<std::uint64_t, TimePoint> m_open;
  std::map<NodeId, MovedSeat> m_moved; ///< By seat.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H
