#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {

namespace {

/// Slices that a window is counted in.
constexpr int kSlices = 8;

/// Requests below which a share tells nothing.
constexpr double kFewRequests = 8;

} // namespace

ShortfallMeter::ShortfallMeter(Duration aWindow)
  : m_window(aWindow)
{
}

void
ShortfallMeter::DropOld(TimePoint aNow)
{
  while (!m_slices.empty() && aNow - m_slices.front().begun > m_window) {
    m_slices.pop_front();
  }
}

void
ShortfallMeter::Note(std::uint32_t aEnded,
                     std::uint32_t aUnserved,
                     TimePoint aNow)
{
  DropOld(aNow);
  const bool old =
    m_slices.empty() || aNow - m_slices.back().begun >= m_window / kSlices;
  if (old) {
    m_slices.push_back({ aNow, 0, 0 });
  }
  m_slices.back().ended += aEnded;
  m_slices.back().unserved += aUnserved;
}

double
ShortfallMeter::Share(TimePoint aNow)
{
  DropOld(aNow);
  double ended = 0;
  double unserved = 0;
  for (const Slice& slice : m_slices) {
    ended += slice.ended;
    unserved += slice.unserved;
  }
  return ended < kFewRequests ? 0 : unserved / ended;
}

} // namespace sapphirelane
