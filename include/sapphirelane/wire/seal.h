#ifndef SAPPHIRELANE_WIRE_SEAL_H
#define SAPPHIRELANE_WIRE_SEAL_H

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
/// An envelope holds the sender, its message counter, the wall-clock time, the
/// payload and a code of authentication over all of them. It is encrypted. A
/// counter seen before, or one that is older than the window, is refused, and
/// so is a time that is off by more than kMostClockSkew.
class Sealer
{
public:
  static constexpr std::chrono::seconds kMostClockSkew{ 30 };

  Sealer(const std::string& aSecret, NodeId aSelf);

  std::string Seal(std::string_view aPayload, WallTime aWall);

  /// @throws WireError if the envelope is cut off, forged, replayed or old.
  Opened Open(std::string_view aEnvelope, WallTime aWall);

private:
  struct Window
  {
    std::uint64_t newest = 0;
    std::uint64_t seen = 0; ///< Bit i: newest - i was seen.
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
