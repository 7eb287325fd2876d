#include "sapphirelane/config/sheet.h"

#include <csv.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace sapphirelane {

namespace {

const std::vector<std::string> kColumns = {
  "kind",  "id",          "state",  "service",    "address",
  "slots", "connections", "floor",  "rate",       "burst",
  "path",  "mode",        "access", "timeout_ms", "callers"
};

using Cells = std::vector<std::string>;

struct CsvRows
{
  std::vector<Cells> rows;
  Cells current;
};

void
OnCell(void* aText, std::size_t aSize, void* aRows)
{
  static_cast<CsvRows*>(aRows)->current.emplace_back(
    static_cast<const char*>(aText), aSize);
}

void
OnRow(int /*aEnd*/, void* aRows)
{
  auto* rows = static_cast<CsvRows*>(aRows);
  rows->rows.push_back(std::move(rows->current));
  rows->current.clear();
}

std::vector<Cells>
ParseCsv(const std::string& aName, const std::string& aText)
{
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL);
  CsvRows rows;
  const std::size_t read =
    csv_parse(&parser, aText.data(), aText.size(), OnCell, OnRow, &rows);
  const bool whole =
    read == aText.size() && csv_fini(&parser, OnCell, OnRow, &rows) == 0;
  csv_free(&parser);
  if (!whole) {
    throw SheetError({ aName + ": row " + std::to_string(rows.rows.size() + 1) +
                       ": quotes are not closed or stand within a cell" });
  }
  return std::move(rows.rows);
}

/// Reads the cells of one row and notes what is wrong with them.
class RowReader
{
public:
  RowReader(std::string aPlace,
            const std::map<std::string, std::size_t>& aColumns,
            const Cells& aCells,
            std::vector<std::string>& aFaults)
    : m_place(std::move(aPlace))
    , m_columns(aColumns)
    , m_cells(aCells)
    , m_faults(aFaults)
  {
  }

  std::string Text(const std::string& aColumn)
  {
    m_used.push_back(aColumn);
    auto found = m_columns.find(aColumn);
    if (found == m_columns.end() || found->second >= m_cells.size()) {
      return "";
    }
    return m_cells[found->second];
  }

  std::string Needed(const std::string& aColumn)
  {
    std::string text = Text(aColumn);
    if (text.empty()) {
      Refuse(aColumn, "a value", text);
    }
    return text;
  }

  std::uint32_t Whole(const std::string& aColumn,
                      std::uint32_t aLeast,
                      std::uint32_t aMost)
  {
    const std::string text = Text(aColumn);
    std::uint32_t number = 0;
    if (!absl::SimpleAtoi(text, &number) || number < aLeast || number > aMost) {
      Refuse(aColumn,
             "a whole number from " + std::to_string(aLeast) + " to " +
               std::to_string(aMost),
             text);
    }
    return number;
  }

  double Positive(const std::string& aColumn)
  {
    const std::string text = Text(aColumn);
    double number = 0;
    if (!absl::SimpleAtod(text, &number) || !(number > 0) || number > 1e9) {
      Refuse(aColumn, "a number above 0", text);
    }
    return number;
  }

  std::string OneOf(const std::string& aColumn,
                    const std::vector<std::string>& aChoices)
  {
    std::string text = Text(aColumn);
    for (const std::string& choice : aChoices) {
      if (text == choice) {
        return text;
      }
    }
    Refuse(aColumn, "one of " + absl::StrJoin(aChoices, ", "), text);
    return aChoices.front();
  }

  LifeState State()
  {
    return OneOf("state", { "in-service", "leaving" }) == "leaving"
             ? LifeState::Leaving
             : LifeState::InService;
  }

  void Refuse(const std::string& aColumn,
              const std::string& aExpected,
              const std::string& aFound)
  {
    m_faults.push_back(m_place + ", column \"" + aColumn + "\": expected " +
                       aExpected + ", found \"" + aFound + "\"");
  }

  /// Refuses values in columns that this kind of row does not have.
  void Finish()
  {
    for (const auto& [column, index] : m_columns) {
      const bool used =
        std::find(m_used.begin(), m_used.end(), column) != m_used.end();
      if (!used && index < m_cells.size() && !m_cells[index].empty()) {
        Refuse(column, "nothing in a row of this kind", m_cells[index]);
      }
    }
    if (m_cells.size() > m_columns.size()) {
      m_faults.push_back(m_place + ": expected " +
                         std::to_string(m_columns.size()) + " cells, found " +
                         std::to_string(m_cells.size()));
    }
  }

private:
  std::string m_place;
  const std::map<std::string, std::size_t>& m_columns;
  const Cells& m_cells;
  std::vector<std::string>& m_faults;
  std::vector<std::string> m_used;
};

constexpr std::uint32_t kMostSlots = 100000;
constexpr std::uint32_t kMostTimeoutMs = 600000;

Endpoint
ReadEndpoint(RowReader& aRow, const std::string& aId)
{
  Endpoint endpoint;
  endpoint.id = aId;
  endpoint.state = aRow.State();
  endpoint.service = aRow.Needed("service");
  endpoint.address = aRow.Needed("address");
  endpoint.slots = aRow.Whole("slots", 1, kMostSlots);
  endpoint.connections = aRow.Whole("connections", 1, kMostSlots);
  return endpoint;
}

Route
ReadRoute(RowReader& aRow, const std::string& aId)
{
  Route route;
  route.id = aId;
  route.service = aRow.Needed("service");
  route.path = aRow.Needed("path");
  const std::string mode = aRow.OneOf("mode", { "safe", "plain", "run-once" });
  route.mode = mode == "safe"       ? RouteMode::Safe
               : mode == "run-once" ? RouteMode::RunOnce
                                    : RouteMode::Plain;
  route.open = aRow.OneOf("access", { "keyed", "open" }) == "open";
  route.timeout = Milliseconds(aRow.Whole("timeout_ms", 1, kMostTimeoutMs));
  const std::string callers = aRow.Text("callers");
  for (absl::string_view caller :
       absl::StrSplit(callers, ' ', absl::SkipEmpty())) {
    route.callers.emplace_back(caller);
  }
  return route;
}

/// Adds one item unless its id is there already.
template<typename Item>
void
AddItem(RowReader& aRow, std::map<std::string, Item>& aItems, Item aItem)
{
  const std::string id = aItem.id;
  if (!aItems.emplace(id, std::move(aItem)).second) {
    aRow.Refuse("id", "an id not used above", id);
  }
}

void
ReadRow(RowReader& aRow, FleetConfig& aConfig)
{
  const std::string kind =
    aRow.OneOf("kind", { "service", "endpoint", "route", "account", "host" });
  const std::string id = aRow.Needed("id");
  if (kind == "service") {
    constexpr std::uint32_t kFullPercent = 100;
    AddItem(aRow,
            aConfig.services,
            Service{ id, aRow.Whole("floor", 0, kFullPercent) });
  } else if (kind == "endpoint") {
    AddItem(aRow, aConfig.endpoints, ReadEndpoint(aRow, id));
  } else if (kind == "route") {
    AddItem(aRow, aConfig.routes, ReadRoute(aRow, id));
  } else if (kind == "account") {
    const double rate = aRow.Positive("rate");
    AddItem(
      aRow, aConfig.accounts, Account{ id, rate, aRow.Positive("burst") });
  } else {
    AddItem(aRow, aConfig.hosts, Host{ id, aRow.State() });
  }
  aRow.Finish();
}

std::map<std::string, std::size_t>
ReadHeader(const std::string& aName,
           const Cells& aCells,
           std::vector<std::string>& aFaults)
{
  std::map<std::string, std::size_t> columns;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    const bool known =
      std::find(kColumns.begin(), kColumns.end(), aCells[i]) != kColumns.end();
    if (!known) {
      aFaults.push_back(aName + ": row 1: column \"" + aCells[i] +
                        "\" is not known");
    } else if (!columns.emplace(aCells[i], i).second) {
      aFaults.push_back(aName + ": row 1: column \"" + aCells[i] +
                        "\" stands twice");
    }
  }
  for (const std::string& column : kColumns) {
    if (columns.count(column) == 0) {
      aFaults.push_back("column \"" + column + "\" does not exist in sheet \"" +
                        aName + "\"");
    }
  }
  return columns;
}

} // namespace

SheetError::SheetError(std::vector<std::string> aFaults)
  : ConfigError(absl::StrJoin(aFaults, "\n"))
  , m_faults(std::move(aFaults))
{
}

FleetConfig
ReadSheet(const std::string& aName, const std::string& aText)
{
  // Spreadsheets write a byte order mark before the first column's name.
  constexpr absl::string_view kByteOrderMark = "\xEF\xBB\xBF";
  const bool marked = absl::StartsWith(aText, kByteOrderMark);
  const auto rows =
    ParseCsv(aName, marked ? aText.substr(kByteOrderMark.size()) : aText);
  std::vector<std::string> faults;
  FleetConfig config;
  if (rows.empty()) {
    throw SheetError({ aName + ": expected a row of column names" });
  }
  const auto columns = ReadHeader(aName, rows.front(), faults);
  if (!faults.empty()) {
    throw SheetError(faults);
  }
  for (std::size_t i = 1; i < rows.size(); ++i) {
    const bool blank = rows[i].size() == 1 && rows[i][0].empty();
    if (blank || rows[i][0].compare(0, 1, "#") == 0) {
      continue;
    }
    RowReader row(
      aName + ": row " + std::to_string(i + 1), columns, rows[i], faults);
    ReadRow(row, config);
  }
  if (faults.empty()) {
    // A faulty cell would be told of here once more, without its row.
    for (const std::string& fault : FaultsOf(config)) {
      faults.push_back(aName + ": " + fault);
    }
  }
  if (!faults.empty()) {
    throw SheetError(faults);
  }
  return config;
}

FleetConfig
Replace(const FleetConfig& aOld, FleetConfig aSheet)
{
  aSheet.version = aOld.version;
  // The sheet is planned ahead and must not end an operator's evacuation.
  aSheet.evacuated = aOld.evacuated;
  for (const auto& entry : aOld.keys) {
    if (aSheet.accounts.count(entry.second.account) == 1) {
      aSheet.keys.insert(entry);
    }
  }
  return aSheet;
}

} // namespace sapphirelane
