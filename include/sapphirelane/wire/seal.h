#ifndef SAPPHIRELANE_WIRE_SEAL_H
#define SAPPHIRELANE_WIRE_SEAL_H

#include <bitset>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief What an opened envelope held.
struct Opened
{
  NodeId sender = 0;
  std::string payload;
};

/// @brief Wall-clock time that a sealed message carries.
using WallTime = std::chrono::system_clock::time_point;

/// @brief Seals messages under the fleet's secret and opens those of others.
///
/// An envelope holds the sender, its message counter, the wall-clock time, a
/// code of authentication and the encrypted payload. The first three are the
/// nonce of the cipher, so that no two messages share one as long as a sender's
/// id is not used again under the same secret. A counter seen before, or one
/// older than the window, is refused, and so is a time that is off by more than
/// kMostClockSkew.
class Sealer
{
public:
  static constexpr std::chrono::seconds kMostClockSkew{ 30 };

  Sealer(const std::string& aSecret, NodeId aSelf);

  std::string Seal(std::string_view aPayload, WallTime aWall);

  /// @throws WireError if the envelope is cut off, forged, replayed or old.
  Opened Open(std::string_view aEnvelope, WallTime aWall);

private:
  /// Counters behind the newest one that may still come in. Threads that share
  /// a sealer, and large messages, bring envelopes far out of their order.
  static constexpr std::uint64_t kWindowSize = 4096;

  struct Window
  {
    std::uint64_t newest = 0;
    std::bitset<kWindowSize> seen; ///< Bit i: newest - i was seen.
    WallTime last{};
  };

  void CheckReplay(NodeId aSender, std::uint64_t aCounter, WallTime aWall);
  void DropOldWindows(WallTime aWall);

  std::string m_key;
  NodeId m_self;
  std::uint64_t m_counter = 0;
  std::map<NodeId, Window> m_windows;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_SEAL_H
