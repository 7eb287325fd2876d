/// The planners' sheet: any text is read whole or refused with its faults.
#include "sapphirelane/config/change_set.h"
#include "sapphirelane/config/sheet.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  const std::string text(reinterpret_cast<const char*>(aBytes), aSize);
  try {
    const FleetConfig config = ReadSheet("sheet", text);
    const FleetConfig copy = DecodeFleet(EncodeFleet(config));
    if (!Difference(config, copy).empty()) {
      __builtin_trap();
    }
  } catch (const SheetError& error) {
    if (error.Faults().empty()) {
      __builtin_trap();
    }
  }
  return 0;
}
