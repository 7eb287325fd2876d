/// Peer messages and envelopes: any bytes decode or are refused.
#include "sapphirelane/base/error.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/wire/codec.h"
#include "sapphirelane/wire/seal.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  StartSecrets();
  const std::string_view bytes(reinterpret_cast<const char*>(aBytes), aSize);
  try {
    const PeerMessage message = DecodeMessage(bytes);
    if (EncodeMessage(message) != bytes) {
      __builtin_trap();
    }
  } catch (const WireError&) {
  }
  try {
    DecodeBulk(bytes);
  } catch (const WireError&) {
  }
  try {
    Sealer sealer("secret", 1);
    sealer.Open(bytes, WallTime{});
    __builtin_trap();
  } catch (const WireError&) {
  }
  return 0;
}
