#include "sapphirelane/wire/seal.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <sodium.h>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kNonceBytes = crypto_secretbox_NONCEBYTES;
constexpr std::size_t kCodeBytes = crypto_secretbox_MACBYTES;

// The header stands in place of a random nonce: sender and counter occur
// together only once.
static_assert(kNonceBytes == 3 * sizeof(std::uint64_t));

void
PutNumber(std::string& aBytes, std::uint64_t aNumber)
{
  constexpr unsigned kByteBits = 8;
  for (unsigned i = 0; i < sizeof aNumber; ++i) {
    aBytes += static_cast<char>((aNumber >> (i * kByteBits)) & 0xffU);
  }
}

std::uint64_t
GetNumber(std::string_view aBytes, std::size_t aIndex)
{
  constexpr unsigned kByteBits = 8;
  std::uint64_t number = 0;
  for (unsigned i = 0; i < sizeof number; ++i) {
    const auto byte =
      static_cast<unsigned char>(aBytes[aIndex * sizeof number + i]);
    number |= static_cast<std::uint64_t>(byte) << (i * kByteBits);
  }
  return number;
}

const unsigned char*
Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::int64_t
WallMilliseconds(WallTime aWall)
{
  return std::chrono::duration_cast<Milliseconds>(aWall.time_since_epoch())
    .count();
}

} // namespace

Sealer::Sealer(const std::string& aSecret, NodeId aSelf)
  : m_key(crypto_secretbox_KEYBYTES, '\0')
  , m_self(aSelf)
{
  crypto_generichash(reinterpret_cast<unsigned char*>(m_key.data()),
                     m_key.size(),
                     Bytes(aSecret),
                     aSecret.size(),
                     nullptr,
                     0);
}

std::string
Sealer::Seal(std::string_view aPayload, WallTime aWall)
{
  std::string envelope;
  PutNumber(envelope, m_self);
  PutNumber(envelope, ++m_counter);
  PutNumber(envelope, static_cast<std::uint64_t>(WallMilliseconds(aWall)));
  envelope.resize(kNonceBytes + kCodeBytes + aPayload.size());
  auto* out = reinterpret_cast<unsigned char*>(envelope.data());
  crypto_secretbox_easy(
    out + kNonceBytes, Bytes(aPayload), aPayload.size(), out, Bytes(m_key));
  return envelope;
}

Opened
Sealer::Open(std::string_view aEnvelope, WallTime aWall)
{
  if (aEnvelope.size() < kNonceBytes + kCodeBytes) {
    throw WireError("envelope of " + std::to_string(aEnvelope.size()) +
                    " bytes is cut off");
  }
  std::string plain(aEnvelope.size() - kNonceBytes - kCodeBytes, '\0');
  const int failed =
    crypto_secretbox_open_easy(reinterpret_cast<unsigned char*>(plain.data()),
                               Bytes(aEnvelope) + kNonceBytes,
                               aEnvelope.size() - kNonceBytes,
                               Bytes(aEnvelope),
                               Bytes(m_key));
  if (failed != 0) {
    throw WireError("envelope is not authentic");
  }
  Opened opened;
  opened.sender = GetNumber(aEnvelope, 0);
  const std::uint64_t counter = GetNumber(aEnvelope, 1);
  const auto sent = static_cast<std::int64_t>(GetNumber(aEnvelope, 2));
  const std::int64_t off = std::llabs(WallMilliseconds(aWall) - sent);
  if (off > Milliseconds(kMostClockSkew).count()) {
    throw WireError("envelope is " + std::to_string(off) + " ms off the clock");
  }
  CheckReplay(opened.sender, counter, aWall);
  opened.payload = std::move(plain);
  return opened;
}

void
Sealer::CheckReplay(NodeId aSender, std::uint64_t aCounter, WallTime aWall)
{
  DropOldWindows(aWall);
  Window& window = m_windows[aSender];
  window.last = aWall;
  if (aCounter > window.newest) {
    window.seen <<= std::min(aCounter - window.newest, kWindowSize);
    window.seen.set(0);
    window.newest = aCounter;
    return;
  }
  const std::uint64_t back = window.newest - aCounter;
  if (back >= kWindowSize || window.seen.test(back)) {
    throw WireError("envelope was seen before");
  }
  window.seen.set(back);
}

void
Sealer::DropOldWindows(WallTime aWall)
{
  // A window may go once its messages are refused for their time alone.
  constexpr std::size_t kLooseLimit = 4096;
  if (m_windows.size() < kLooseLimit) {
    return;
  }
  for (auto it = m_windows.begin(); it != m_windows.end();) {
    const bool old = aWall - it->second.last > 2 * kMostClockSkew;
    it = old ? m_windows.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
