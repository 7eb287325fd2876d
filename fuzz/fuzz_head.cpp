/// Request heads: headers and targets of any shape never forward a key.
#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/http.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  StartSecrets();
  const std::string text(reinterpret_cast<const char*>(aBytes), aSize);
  RequestHead head;
  head.method = "GET";
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find('\n', at), text.size());
    const std::string line = text.substr(at, end - at);
    const std::size_t colon = std::min(line.find(':'), line.size());
    if (head.target.empty()) {
      head.target = line;
    } else {
      head.headers.emplace_back(line.substr(0, colon),
                                colon < line.size() ? line.substr(colon + 1)
                                                    : std::string());
    }
    at = end + 1;
  }
  const CheckedHead checked = CheckHead(head, {});
  ParseLoad(text, LoadFormat::UsedOfSlots);
  ParseLoad(text, LoadFormat::RunningWaitingSlots);
  for (const Header& header : checked.forward) {
    if (checked.fault.empty() && HoldsKey(header.second)) {
      __builtin_trap();
    }
  }
  return 0;
}
