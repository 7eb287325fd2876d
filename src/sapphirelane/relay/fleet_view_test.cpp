#include "sapphirelane/relay/fleet_view.h"

#include <algorithm>

#include <rapidcheck/catch.h>

namespace sapphirelane {
namespace {

class ViewFixture
{
protected:
  ViewFixture()
  {
    FleetConfig config;
    config.version = 5;
    config.services["s"] = { "s", 50, 330 };
    m_view.TakeConfig(config);
  }

  static EndpointChange There(const std::string& aId,
                              std::uint64_t aVersion,
                              LifeState aState = LifeState::InService)
  {
    Endpoint endpoint;
    endpoint.id = aId;
    endpoint.service = "s";
    endpoint.state = aState;
    endpoint.address = "10.0.0.1:80";
    return { aId, aVersion, endpoint };
  }

  static EndpointChange Gone(const std::string& aId, std::uint64_t aVersion)
  {
    return { aId, aVersion, std::nullopt };
  }

  bool Take(std::uint64_t aBase,
            std::uint64_t aVersion,
            const std::vector<EndpointChange>& aChanges)
  {
    return m_view.TakeEndpoints(aBase, aVersion, aChanges, Duration(0), m_now);
  }

  bool Has(const std::string& aId) const
  {
    return m_view.Config() != nullptr &&
           m_view.Config()->endpoints.count(aId) == 1;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  FleetView m_view{ {} };
};

TEST_CASE_METHOD(ViewFixture, "FleetView, older configuration, keeps its own")
{
  FleetConfig older;
  older.version = 4;
  CHECK_FALSE(m_view.TakeConfig(older));
  CHECK(m_view.ConfigVersion() == 5);
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, changes that do not follow, is not fresh by them")
{
  Take(0, 10, { There("a", 7) });
  m_now += Milliseconds(900);
  CHECK_FALSE(Take(12, 13, { There("b", 13) }));
  CHECK(m_view.Age(m_now) == Milliseconds(900));
  CHECK(m_view.Version() == 10);
  CHECK(Has("b")); // What is known is used at once.
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, changes in any order and doubled, ends the same")
{
  rc::prop("the entry of the highest version counts", [this] {
    const auto order =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    const std::vector<EndpointChange> all = {
      There("a", 11), Gone("a", 12),  There("b", 13),
      Gone("b", 14),  There("b", 15), There("c", 16, LifeState::Leaving)
    };
    FleetView view({});
    FleetConfig config;
    config.version = 1;
    view.TakeConfig(config);
    view.TakeEndpoints(0, 10, { There("a", 9) }, Duration(0), m_now);
    for (const int index : order) {
      const EndpointChange& one = all[static_cast<std::size_t>(index)];
      view.TakeEndpoints(10, 10, { one }, Duration(0), m_now);
    }
    for (const EndpointChange& one : all) {
      view.TakeEndpoints(10, 16, { one }, Duration(0), m_now);
    }
    const auto& endpoints = view.Config()->endpoints;
    RC_ASSERT(endpoints.count("a") == 0U);
    RC_ASSERT(endpoints.count("b") == 1U);
    RC_ASSERT(endpoints.at("c").state == LifeState::Leaving);
  });
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, whole table without an endpoint, drops it")
{
  Take(0, 10, { There("a", 7), There("b", 8) });
  Take(0, 20, { There("b", 8) });
  CHECK_FALSE(Has("a"));
  CHECK(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, older whole table, drops nothing newer")
{
  Take(0, 20, { There("a", 19) });
  Take(0, 10, {});
  CHECK(Has("a"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entries lapsed while the store was away, are used "
                 "until their time to come back is over")
{
  Take(0, 10, { There("a", 7), There("b", 8) });
  m_now += std::chrono::seconds(10);
  Take(10, 12, { Gone("a", 11), Gone("b", 12) });
  CHECK(Has("a"));
  m_now += Milliseconds(1900);
  Take(12, 13, { There("a", 13) });
  m_view.Tick(m_now);
  CHECK(Has("b"));
  m_now += Milliseconds(400);
  m_view.Tick(m_now);
  CHECK(Has("a"));
  CHECK_FALSE(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entry removed while the store answers, is dropped "
                 "at once")
{
  Take(0, 10, { There("a", 7) });
  m_now += Milliseconds(500);
  Take(10, 11, { Gone("a", 11) });
  CHECK_FALSE(Has("a"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, service that says its endpoints' connections, "
                 "gives them to each")
{
  Take(0, 10, { There("a", 7) });
  CHECK(m_view.Config()->endpoints.at("a").connections == 330);
}

} // namespace
} // namespace sapphirelane
