#include "sapphirelane/relay/transfer_budget.h"

#include <algorithm>

namespace sapphirelane {

bool
TransferBudget::TryTake(std::size_t aBytes, TimePoint aNow)
{
  if (m_refilledAt != TimePoint{}) {
    const double refill =
      ToSeconds(aNow - m_refilledAt) * m_options.bytes_per_second;
    m_level = std::min(m_options.burst_bytes, m_level + refill);
  }
  m_refilledAt = aNow;
  if (m_level <= 0) {
    return false;
  }
  m_level -= static_cast<double>(aBytes);
  return true;
}

} // namespace sapphirelane
