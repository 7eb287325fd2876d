#include "sapphirelane/routing/shortfall.h"

namespace sapphirelane {

namespace {

/// Buckets that the window is divided into.
constexpr int kBucketCount = 8;

/// Requests below which the share is too noisy to be used.
constexpr double kMinRequests = 8;

} // namespace

ShortfallMeter::ShortfallMeter(Duration aWindow)
  : m_window(aWindow)
{
}

void
ShortfallMeter::DropExpiredBuckets(TimePoint aNow)
{
  while (!m_buckets.empty() && aNow - m_buckets.front().start > m_window) {
    m_buckets.pop_front();
  }
}

void
ShortfallMeter::Note(std::uint32_t aFinished,
                     std::uint32_t aUnserved,
                     TimePoint aNow)
{
  DropExpiredBuckets(aNow);
  const bool needsNewBucket =
    m_buckets.empty() ||
    aNow - m_buckets.back().start >= m_window / kBucketCount;
  if (needsNewBucket) {
    m_buckets.push_back({ aNow, 0, 0 });
  }
  m_buckets.back().finished += aFinished;
  m_buckets.back().unserved += aUnserved;
}

double
ShortfallMeter::Share(TimePoint aNow)
{
  DropExpiredBuckets(aNow);
  double finished = 0;
  double unserved = 0;
  for (const Bucket& bucket : m_buckets) {
    finished += bucket.finished;
    unserved += bucket.unserved;
  }
  return finished < kMinRequests ? 0 : unserved / finished;
}

} // namespace sapphirelane
