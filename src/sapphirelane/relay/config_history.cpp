#include "sapphirelane/relay/config_history.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

/// Versions that are kept. Daemons are behind by few, unless they were cut off.
constexpr std::size_t kMaxVersions = 8;

const std::string kNoText;

} // namespace

void
ConfigHistory::Add(std::uint64_t aVersion, std::string aText)
{
  if (aVersion <= Version()) {
    return;
  }
  for (Entry& entry : m_entries) {
    entry.difference.clear();
  }
  m_entries.push_back({ aVersion, std::move(aText), {} });
  if (m_entries.size() > kMaxVersions) {
    m_entries.pop_front();
  }
}

std::uint64_t
ConfigHistory::Version() const
{
  return m_entries.empty() ? 0 : m_entries.back().version;
}

const std::string&
ConfigHistory::Text() const
{
  return m_entries.empty() ? kNoText : m_entries.back().text;
}

std::optional<std::string>
ConfigHistory::DifferenceFrom(std::uint64_t aBase)
{
  auto found = std::find_if(
    m_entries.begin(), m_entries.end(), [aBase](const Entry& aEntry) {
      return aEntry.version == aBase;
    });
  if (found == m_entries.end() || aBase == Version()) {
    return std::nullopt;
  }
  if (found->difference.empty()) {
    found->difference =
      json::diff(json::parse(found->text), json::parse(Text())).dump();
  }
  if (found->difference.size() >= Text().size()) {
    return std::nullopt;
  }
  return found->difference;
}

std::optional<std::string>
ConfigHistory::Apply(std::uint64_t aBase,
                     const std::string& aDifference,
                     std::uint64_t aHash) const
{
  if (aBase != Version() || m_entries.empty()) {
    return std::nullopt;
  }
  try {
    std::string text =
      json::parse(Text()).patch(json::parse(aDifference)).dump();
    return StableHash(text) == aHash ? std::optional(std::move(text))
                                     : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace sapphirelane
