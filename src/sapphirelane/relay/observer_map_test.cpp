#include "sapphirelane/relay/observer_map.h"

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "sapphirelane/relay/peer_book.h"

namespace sapphirelane {
namespace {

class ObserverMapFixture
{
protected:
  void Build(int aDaemons, int aEndpoints)
  {
    m_daemons.clear();
    m_endpoints.clear();
    for (int i = 0; i < aDaemons; ++i) {
      m_daemons.push_back(ShortHash("host-" + std::to_string(i)));
    }
    std::sort(m_daemons.begin(), m_daemons.end());
    for (int i = 0; i < aEndpoints; ++i) {
      m_endpoints[1].insert(ShortHash("endpoint-" + std::to_string(i)));
    }
    m_map.Update(m_endpoints, m_daemons);
  }

  std::size_t CountObserved(std::uint32_t aDaemon) const
  {
    return static_cast<std::size_t>(std::count_if(
      m_endpoints.at(1).begin(),
      m_endpoints.at(1).end(),
      [&](std::uint32_t aItem) { return m_map.Observes(aDaemon, aItem); }));
  }

  std::vector<std::uint32_t> m_daemons;
  ObserverMap::Endpoints m_endpoints;
  ObserverMap m_map;
};

TEST_CASE_METHOD(ObserverMapFixture,
                 "ObserverMap, small data centre, lets every daemon observe "
                 "all endpoints")
{
  Build(16, 60);
  for (std::uint32_t daemon : m_daemons) {
    CHECK(CountObserved(daemon) == 60);
  }
}

TEST_CASE_METHOD(ObserverMapFixture,
                 "ObserverMap, fleets of 50 to 770 hosts, gives each endpoint "
                 "about as many observers and each daemon enough endpoints")
{
  for (int daemons : { 30, 89, 154, 770 }) {
    for (int endpoints : { 8, 57, 280, 1400 }) {
      INFO(daemons << " daemons, " << endpoints << " endpoints");
      Build(daemons, endpoints);
      for (std::uint32_t daemon : m_daemons) {
        CHECK(CountObserved(daemon) >= 6);
      }
      const std::size_t perDaemon = CountObserved(m_daemons.front());
      const double mean = static_cast<double>(perDaemon) * daemons / endpoints;
      for (std::uint32_t endpoint : m_endpoints.at(1)) {
        const auto observers =
          static_cast<double>(m_map.ObserversOf(endpoint).size());
        CHECK(observers >= 3);
        CHECK(observers <= 3 * mean);
      }
    }
  }
}

TEST_CASE_METHOD(ObserverMapFixture,
                 "ObserverMap, one daemon is lost, changes few other sets")
{
  Build(90, 60);
  const ObserverMap before = m_map;
  std::vector<std::uint32_t> left = m_daemons;
  left.erase(left.begin() + 40);
  CHECK(m_map.Update(m_endpoints, left));
  CHECK_FALSE(m_map.Update(m_endpoints, left));
  std::size_t changed = 0;
  for (std::uint32_t daemon : left) {
    for (std::uint32_t endpoint : m_endpoints.at(1)) {
      const bool same =
        before.Observes(daemon, endpoint) == m_map.Observes(daemon, endpoint);
      changed += same ? 0 : 1;
    }
  }
  CHECK(changed <= left.size());
}

} // namespace
} // namespace sapphirelane
