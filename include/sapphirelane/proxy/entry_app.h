#ifndef SAPPHIRELANE_PROXY_ENTRY_APP_H
#define SAPPHIRELANE_PROXY_ENTRY_APP_H

#include <memory>

#include "sapphirelane/config/settings.h"

namespace sapphirelane {

/// @brief One entry daemon: all its duties and listeners.
class EntryApp
{
public:
  virtual ~EntryApp() = default;

  /// @brief Starts the duties and listeners.
  virtual void Start() = 0;

  /// @brief Stops as planned: finishes what is in flight, then returns.
  /// @return True if nothing was cut off.
  virtual bool StopPlanned() = 0;
};

/// @throws Error if a listener or a plug-in cannot be made.
std::unique_ptr<EntryApp>
MakeEntryApp(const EntrySettings& aSettings);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_ENTRY_APP_H
