#ifndef SAPPHIRELANE_PROXY_ENTRY_APP_H
#define SAPPHIRELANE_PROXY_ENTRY_APP_H

#include <memory>

#include "sapphirelane/config/settings.h"

namespace sapphirelane {

/// @brief The entry daemon with all its threads and listeners.
class EntryApp
{
public:
  virtual ~EntryApp() = default;

  /// @brief Starts the threads and listeners.
  virtual void Start() = 0;

  /// @brief Shuts down gracefully: drains requests in flight, then returns.
  /// @return True if all of them completed within the drain time.
  virtual bool StopPlanned() = 0;
};

/// @throws Error if a listener or a plug-in cannot be created.
std::unique_ptr<EntryApp>
MakeEntryApp(const EntrySettings& aSettings);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_ENTRY_APP_H
