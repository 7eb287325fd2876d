#include "sapphirelane/base/bounded_ring.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class BoundedRingFixture
{
protected:
  BoundedRing<int> m_ring{ 2 };
};

TEST_CASE_METHOD(BoundedRingFixture,
                 "BoundedRing, when full, refuses the item and keeps the rest")
{
  REQUIRE(m_ring.TryPush(1));
  REQUIRE(m_ring.TryPush(2));
  REQUIRE_FALSE(m_ring.TryPush(3));
  REQUIRE(m_ring.TakeAll(Duration::zero()) == std::vector<int>{ 1, 2 });
  REQUIRE(m_ring.TryPush(3));
}

} // namespace
} // namespace sapphirelane
