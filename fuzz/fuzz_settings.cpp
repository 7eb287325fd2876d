/// Settings: any YAML text is read or refused as a ConfigError.
#include "sapphirelane/base/error.h"
#include "sapphirelane/config/settings.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aBytes), aSize);
  try {
    sapphirelane::ReadEntrySettings("settings", text);
  } catch (const sapphirelane::ConfigError&) {
  }
  return 0;
}
