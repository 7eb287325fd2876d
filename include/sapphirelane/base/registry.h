#ifndef SAPPHIRELANE_BASE_REGISTRY_H
#define SAPPHIRELANE_BASE_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

/// @brief Plug-ins of one interface, registered by name at start-up.
///
/// A plug-in registers itself with a static Registration object:
///
///     const Registry<Balancer>::Registration kRegistered(
///       "least-loaded", [] { return MakeLeastLoaded({}); });
template<typename Interface, typename... Arguments>
class Registry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  /// @brief Registers a factory when constructed.
  class Registration
  {
  public:
    Registration(const std::string& aName, Factory aFactory)
    {
      Factories()[aName] = std::move(aFactory);
    }
  };

  /// @brief Makes the plug-in registered under a name.
  /// @throws UnknownPlugin if the name is not registered.
  static std::unique_ptr<Interface> Make(const std::string& aName,
                                         Arguments... aArguments)
  {
    auto found = Factories().find(aName);
    if (found == Factories().end()) {
      throw UnknownPlugin(Interface::kKind, aName);
    }
    return found->second(aArguments...);
  }

  /// @brief Lists the registered names in order.
  static std::vector<std::string> Names()
  {
    std::vector<std::string> names;
    for (const auto& entry : Factories()) {
      names.push_back(entry.first);
    }
    return names;
  }

private:
  static std::map<std::string, Factory>& Factories()
  {
    static std::map<std::string, Factory> factories;
    return factories;
  }
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_REGISTRY_H
