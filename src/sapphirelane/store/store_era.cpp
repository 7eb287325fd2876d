#include "sapphirelane/store/store_era.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

/// Longest era that is accepted. An era rises by one at a time, so that a
/// longer one is no count of rollbacks.
constexpr std::size_t kMaxDigits = 9;

/// Longest part of a malformed era that is shown.
constexpr std::size_t kMaxShown = 40;

bool
IsCount(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return absl::ascii_isdigit(aByte);
         });
}

} // namespace

std::uint64_t
StoreEra::Check(const std::optional<std::string>& aText)
{
  if (!aText && m_newest == 0) {
    return 0;
  }
  if (!aText) {
    throw PlatformUnavailable("the store's answer names no era any more");
  }
  std::uint64_t era = 0;
  if (!IsCount(*aText) || !absl::SimpleAtoi(*aText, &era)) {
    throw PlatformUnavailable("the store's era \"" +
                              aText->substr(0, kMaxShown) +
                              "\" is no number of up to 9 digits");
  }
  if (era < m_newest) {
    throw PlatformUnavailable("the store's answer is of era " + *aText +
                              ", which era " + std::to_string(m_newest) +
                              " has replaced");
  }
  if (era > m_newest) {
    LogLine("store",
            m_newest == 0 ? "The store names an era."
                          : "The store's era has risen.",
            LogFields().Add("era", era).Add("before", m_newest));
    m_newest = era;
  }
  return era;
}

} // namespace sapphirelane
