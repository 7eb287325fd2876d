#ifndef SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
#define SAPPHIRELANE_RELAY_EXTRA_BUDGET_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Options of the budget.
struct ExtraBudgetOptions
{
  double share = 0.2; ///< Extra attempts for each request in the window.
  double slack = 50;  ///< Extra attempts beyond that, over all daemons.
  Duration window = Milliseconds(10000);
  double margin = 0.8; ///< Part of the budget used, as others' news is late.
};

/// @brief Keeps attempts beyond the first within a share of requests, for each
/// service, counted over all daemons in any window.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetOptions aOptions);

  /// @brief Notes first attempts.
  void NoteRequests(const std::string& aService,
                    std::uint32_t aCount,
                    TimePoint aNow);

  /// @brief Notes further attempts that other daemons made.
  void NoteExtras(const std::string& aService,
                  std::uint32_t aCount,
                  TimePoint aNow);

  /// @brief Sets the share of the fleet that this daemon hears.
  void SetShare(double aShare) { m_share = aShare; }

  /// @brief Spends one further attempt if the budget has it.
  bool Take(const std::string& aService, TimePoint aNow);

private:
  struct Slice
  {
    TimePoint begun{};
    double requests = 0;
    double extras = 0;
  };
  using Slices = std::deque<Slice>;

  Slice& Now(Slices& aSlices, TimePoint aNow) const;

  ExtraBudgetOptions m_options;
  double m_share = 1;
  std::map<std::string, Slices> m_services;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_EXTRA_BUDGET_H
