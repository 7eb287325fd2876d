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

/// @brief Row of a TableService.
struct TableRow
{
  std::uint64_t version = 0; ///< Increases with each write; 0 if no row exists.
  std::string value;
};

/// @brief Result of a conditional write.
enum class SwapResult
{
  Written,
  Conflict, ///< The row has another version; nothing was written.
};

/// @brief Key-value table of the platform with compare-and-swap.
///
/// Each call throws PlatformUnavailable if no answer arrives; a write may still
/// take effect in that case, also later.
class TableService
{
public:
  virtual ~TableService() = default;

  /// @brief Reads a row; its version is 0 if it does not exist.
  virtual TableRow Read(const std::string& aRow) = 0;

  /// @brief Writes a row if it still has the expected version.
  /// @param aVersion Expected version; 0 if the row must not exist.
  virtual SwapResult Swap(const std::string& aRow,
                          std::uint64_t aVersion,
                          const std::string& aValue) = 0;
};

/// @brief Object store of the platform; objects are immutable.
///
/// Each call throws PlatformUnavailable if no answer arrives.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual void Put(const std::string& aName, const std::string& aText) = 0;

  /// @return The object, or nothing if it does not exist.
  virtual std::optional<std::string> Get(const std::string& aName) = 0;
};

/// @brief Entry of the platform's host list.
struct ListedHost
{
  std::string id;
  std::string address; ///< "ip:port" that it listens on for other daemons.
  bool leaving = false;
};

/// @brief The platform's list of hosts, which is eventually consistent.
class HostList
{
public:
  virtual ~HostList() = default;

  /// @throws PlatformUnavailable if no answer arrives.
  virtual std::vector<ListedHost> List() = 0;

  /// @brief Adds or refreshes the entry of this host, or marks it as leaving.
  virtual void Announce(const ListedHost& aHost) = 0;
};

/// @brief Adapter for the platform's table, object store and host list.
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

/// @brief Creates the adapter that uses HTTP and JSON. Not thread-safe.
std::unique_ptr<Platform>
MakeHttpPlatform(const PlatformSettings& aSettings);

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_STORE_H
