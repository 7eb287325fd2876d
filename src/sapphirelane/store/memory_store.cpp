#include <map>

#include "sapphirelane/store/store.h"

namespace sapphirelane {

namespace {

/// Platform in the daemon's own memory, for a fleet of one daemon.
class MemoryPlatform
  : public Platform
  , public TableService
  , public ObjectStore
  , public HostList
{
public:
  TableService& Table() override { return *this; }
  ObjectStore& Objects() override { return *this; }
  HostList& Hosts() override { return *this; }

  TableRow Read(const std::string& aRow) override { return m_rows[aRow]; }

  SwapResult Swap(const std::string& aRow,
                  std::uint64_t aVersion,
                  const std::string& aValue) override
  {
    TableRow& row = m_rows[aRow];
    if (row.version != aVersion) {
      return SwapResult::Conflict;
    }
    row = { aVersion + 1, aValue };
    return SwapResult::Written;
  }

  void Put(const std::string& aName, const std::string& aText) override
  {
    m_objects[aName] = aText;
  }

  std::optional<std::string> Get(const std::string& aName) override
  {
    auto found = m_objects.find(aName);
    if (found == m_objects.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  std::vector<ListedHost> List() override { return {}; }

  void Announce(const ListedHost& /*aHost*/) override {}

private:
  std::map<std::string, TableRow> m_rows;
  std::map<std::string, std::string> m_objects;
};

const PlatformRegistry::Registration kMemory(
  "memory",
  [](const PlatformSettings& /*aSettings*/) {
    return std::make_unique<MemoryPlatform>();
  });

} // namespace

} // namespace sapphirelane
