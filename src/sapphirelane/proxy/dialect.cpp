#include "sapphirelane/proxy/dialect.h"

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace sapphirelane {

namespace {

constexpr const char* kBuiltInDialect = "sapphirelane";

constexpr std::size_t kMaxLoadParts = 3;

} // namespace

HttpDialect
DialectOf(const std::string& aName)
{
  return aName == kBuiltInDialect ? HttpDialect{}
                                  : DialectRegistry::Make(aName)->Get();
}

std::optional<LoadReport>
ParseLoad(const std::string& aText, LoadFormat aFormat)
{
  const bool hasWaiting = aFormat == LoadFormat::RunningWaitingSlots;
  const std::vector<std::string> parts =
    absl::StrSplit(aText, hasWaiting ? ',' : '/');
  if (parts.size() != (hasWaiting ? kMaxLoadParts : 2)) {
    return std::nullopt;
  }
  LoadReport report;
  const bool valid =
    absl::SimpleAtoi(parts.front(), &report.running) &&
    absl::SimpleAtoi(parts.back(), &report.slots) &&
    (!hasWaiting || absl::SimpleAtoi(parts[1], &report.waiting)) &&
    report.slots > 0;
  return valid ? std::optional<LoadReport>(report) : std::nullopt;
}

} // namespace sapphirelane
