/// What the platform or a peer may hand over: heads, configurations, changes.
#include "sapphirelane/base/error.h"
#include "sapphirelane/config/change_set.h"
#include "sapphirelane/membership/head.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  const std::string text(reinterpret_cast<const char*>(aBytes), aSize);
  try {
    DecodeHead(text);
  } catch (const WireError&) {
  }
  try {
    DecodeFleet(text);
  } catch (const ConfigError&) {
  }
  try {
    const auto change = nlohmann::json::parse(text).get<ChangeSet>();
    Apply(FleetConfig{}, change);
  } catch (const nlohmann::json::exception&) {
  } catch (const Error&) {
  }
  return 0;
}
