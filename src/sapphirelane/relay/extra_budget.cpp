#include "sapphirelane/relay/extra_budget.h"

namespace sapphirelane {

namespace {

/// Slices that a window is counted in.
constexpr int kSlices = 20;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetOptions aOptions)
  : m_options(aOptions)
{
}

ExtraBudget::Slice&
ExtraBudget::Now(Slices& aSlices, TimePoint aNow) const
{
  // A slice counts until all of it has left the window.
  while (!aSlices.empty() && aNow - aSlices.front().begun >
                               m_options.window + m_options.window / kSlices) {
    aSlices.pop_front();
  }
  const bool old = aSlices.empty() ||
                   aNow - aSlices.back().begun >= m_options.window / kSlices;
  if (old) {
    aSlices.push_back({ aNow, 0, 0 });
  }
  return aSlices.back();
}

void
ExtraBudget::NoteRequests(const std::string& aService,
                          std::uint32_t aCount,
                          TimePoint aNow)
{
  Now(m_services[aService], aNow).requests += aCount;
}

void
ExtraBudget::NoteExtras(const std::string& aService,
                        std::uint32_t aCount,
                        TimePoint aNow)
{
  Now(m_services[aService], aNow).extras += aCount;
}

bool
ExtraBudget::Take(const std::string& aService, TimePoint aNow)
{
  Slices& slices = m_services[aService];
  Slice& now = Now(slices, aNow);
  double requests = 0;
  double extras = 0;
  for (const Slice& slice : slices) {
    requests += slice.requests;
    extras += slice.extras;
  }
  const double budget =
    (requests * m_options.share + m_options.slack * m_share) * m_options.margin;
  if (extras + 1 > budget) {
    return false;
  }
  now.extras += 1;
  return true;
}

} // namespace sapphirelane
