#include "sapphirelane/config/change_set.h"

#include <set>

namespace sapphirelane {

using nlohmann::json;

namespace {

json
RowOrNull(const std::map<std::string, json>& aRows, const std::string& aKey)
{
  auto found = aRows.find(aKey);
  return found == aRows.end() ? json() : found->second;
}

} // namespace

std::vector<RowChange>
Difference(const FleetConfig& aBefore, const FleetConfig& aAfter)
{
  const auto before = RowsOf(aBefore);
  const auto after = RowsOf(aAfter);
  std::set<std::string> keys;
  for (const auto& entry : before) {
    keys.insert(entry.first);
  }
  for (const auto& entry : after) {
    keys.insert(entry.first);
  }
  std::vector<RowChange> changes;
  for (const std::string& key : keys) {
    RowChange change{ key, RowOrNull(before, key), RowOrNull(after, key) };
    if (change.before != change.after) {
      changes.push_back(change);
    }
  }
  return changes;
}

FleetConfig
Apply(const FleetConfig& aConfig, const ChangeSet& aChange)
{
  FleetConfig next = aConfig;
  for (const RowChange& change : aChange.rows) {
    const json current = RowOf(aConfig, change.key);
    if (current != change.before && current != change.after) {
      throw ChangeConflict(change.key);
    }
    SetRow(next, change.key, change.after);
  }
  const auto faults = FaultsOf(next);
  if (!faults.empty()) {
    throw ConfigError(faults.front());
  }
  ++next.version;
  return next;
}

std::string
Describe(const RowChange& aChange)
{
  if (aChange.before.is_null()) {
    return "+ " + aChange.key + " " + aChange.after.dump();
  }
  if (aChange.after.is_null()) {
    return "- " + aChange.key + " " + aChange.before.dump();
  }
  std::string text = "~ " + aChange.key;
  for (const auto& [field, value] : aChange.after.items()) {
    const json old = aChange.before.value(field, json());
    if (old != value) {
      text += " " + field + ": " + old.dump() + " -> " + value.dump();
    }
  }
  return text;
}

void
to_json(json& aJson, const ChangeSet& aChange)
{
  json rows = json::array();
  for (const RowChange& change : aChange.rows) {
    rows.push_back({ { "key", change.key },
                     { "before", change.before },
                     { "after", change.after } });
  }
  aJson = { { "id", aChange.id },
            { "author", aChange.author },
            { "rows", rows } };
}

void
from_json(const json& aJson, ChangeSet& aChange)
{
  aJson.at("id").get_to(aChange.id);
  aJson.at("author").get_to(aChange.author);
  aChange.rows.clear();
  for (const json& row : aJson.at("rows")) {
    aChange.rows.push_back(
      { row.at("key").get<std::string>(), row.at("before"), row.at("after") });
  }
}

} // namespace sapphirelane
