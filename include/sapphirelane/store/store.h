#ifndef SAPPHIRELANE_STORE_STORE_H
#define SAPPHIRELANE_STORE_STORE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/config/settings.h"

namespace sapphirelane {

/// @brief A row of the table service.
struct TableRow
{
  std::uint64_t version = 0; ///< Grows with each write; 0: no row.
  std::string value;
};

/// @brief How a conditional write ended.
enum class SwapResult
{
  Written,
  Conflict, ///< The row had another version.
};

/// @brief Transactional table of the platform.
///
/// Each call throws PlatformUnavailable if no answer comes; a write may then
/// have taken effect, now or later.
class TableService
{
public:
  virtual ~TableService() = default;

  /// @brief Reads a row; its version is 0 if there is none.
  virtual TableRow Read(const std::string& aRow) = 0;

  /// @brief Writes a row if it still has a version.
  /// @param aVersion 0 if the row must not exist.
  virtual SwapResult Swap(const std::string& aRow,
                          std::uint64_t aVersion,
                          const std::string& aValue) = 0;
};

/// @brief Object store of the platform; objects are never changed.
///
/// Each call throws PlatformUnavailable if no answer comes.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual void Put(const std::string& aName, const std::string& aText) = 0;

  /// @return The object, or nothing if there is none.
  virtual std::optional<std::string> Get(const std::string& aName) = 0;
};

/// @brief A host that the platform believes to be there.
struct ListedHost
{
  std::string id;
  std::string address; ///< "ip:port" of its peers' listener.
  bool leaving = false;
};

/// @brief The platform's list of hosts, which lags.
class HostList
{
public:
  virtual ~HostList() = default;

  /// @throws PlatformUnavailable if no answer comes.
  virtual std::vector<ListedHost> List() = 0;

  /// @brief Adds or refreshes this host, or marks it as leaving.
  virtual void Announce(const ListedHost& aHost) = 0;
};

/// @brief The three services behind one adapter.
class Platform
{
public:
  static constexpr const char* kKind = "platform adapter";

  virtual ~Platform() = default;

  virtual TableService& Table() = 0;
  virtual ObjectStore& Objects() = 0;
  virtual HostList& Hosts() = 0;
};

using PlatformRegistry = Registry<Platform, PlatformSettings>;

/// @brief Makes the adapter that speaks HTTP and JSON; used by one thread.
std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings);

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_STORE_H
