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

  static EndpointChange Listed(const std::string& aId,
                               StoreVersion aVersion,
                               LifeState aState = LifeState::InService)
  {
    Endpoint endpoint;
    endpoint.id = aId;
    endpoint.service = "s";
    endpoint.state = aState;
    endpoint.address = "10.0.0.1:80";
    endpoint.lifetime = 1;
    return { aId, aVersion, endpoint };
  }

  static EndpointChange Removed(const std::string& aId, StoreVersion aVersion)
  {
    return { aId, aVersion, std::nullopt };
  }

  bool Apply(StoreVersion aBase,
             StoreVersion aVersion,
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

TEST_CASE_METHOD(ViewFixture, "FleetView, older configuration, is ignored")
{
  FleetConfig older;
  older.version = 4;
  CHECK_FALSE(m_view.TakeConfig(older));
  CHECK(m_view.ConfigVersion() == 5);
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, changes after a gap, are applied but refresh "
                 "neither version nor age")
{
  Apply(0, 10, { Listed("a", 7) });
  m_now += Milliseconds(900);
  CHECK_FALSE(Apply(12, 13, { Listed("b", 13) }));
  CHECK(m_view.Age(m_now) == Milliseconds(900));
  CHECK(m_view.Version() == 10);
  CHECK(Has("b")); // The change itself is applied at once.
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, changes reordered and duplicated, converges")
{
  rc::prop("the entry with the highest version wins", [this] {
    const auto order =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    const std::vector<EndpointChange> all = {
      Listed("a", 11),  Removed("a", 12), Listed("b", 13),
      Removed("b", 14), Listed("b", 15),  Listed("c", 16, LifeState::Leaving)
    };
    FleetView view({});
    FleetConfig config;
    config.version = 1;
    view.TakeConfig(config);
    view.TakeEndpoints(0, 10, { Listed("a", 9) }, Duration(0), m_now);
    for (const int index : order) {
      const EndpointChange& change = all[static_cast<std::size_t>(index)];
      view.TakeEndpoints(10, 10, { change }, Duration(0), m_now);
    }
    for (const EndpointChange& change : all) {
      view.TakeEndpoints(10, 16, { change }, Duration(0), m_now);
    }
    const auto& endpoints = view.Config()->endpoints;
    RC_ASSERT(endpoints.count("a") == 0U);
    RC_ASSERT(endpoints.count("b") == 1U);
    RC_ASSERT(endpoints.at("c").state == LifeState::Leaving);
  });
}

/// Guards against entries that are ignored after a rollback of the store, as
/// their version numbers were given out before.
TEST_CASE_METHOD(ViewFixture,
                 "FleetView, store is rolled back, entries of the new era "
                 "replace those of the old one",
                 "[era]")
{
  Apply({ 1, 0 }, { 1, 100 }, { Listed("a", { 1, 90 }) });
  Apply({}, { 2, 50 }, { Listed("a", { 2, 50 }, LifeState::Leaving) });
  CHECK(m_view.Version() == StoreVersion(2, 50));
  CHECK(m_view.Config()->endpoints.at("a").state == LifeState::Leaving);
  // What another daemon read before the rollback changes nothing any more.
  Apply({ 1, 100 }, { 1, 120 }, { Listed("a", { 1, 110 }) });
  CHECK(m_view.Config()->endpoints.at("a").state == LifeState::Leaving);
}

/// Guards against requests to an endpoint that has left: the copy that the
/// store came back from is older than its departure.
TEST_CASE_METHOD(ViewFixture,
                 "FleetView, store is rolled back to before a departure, keeps "
                 "the endpoint out",
                 "[era]")
{
  Apply(
    {}, { 1, 100 }, { Listed("leaves", { 1, 90 }), Listed("ends", { 1, 91 }) });
  Apply({ 1, 100 },
        { 1, 110 },
        { Listed("leaves", { 1, 105 }, LifeState::Leaving),
          Removed("ends", { 1, 106 }) });
  const std::vector<EndpointChange> copy = { Listed("leaves", { 2, 90 }),
                                             Listed("ends", { 2, 91 }) };
  Apply({}, { 2, 100 }, copy);
  CHECK(m_view.Config()->endpoints.at("leaves").state == LifeState::Leaving);
  CHECK_FALSE(Has("ends"));
  // The same entries, as another daemon sends them again.
  Apply({}, { 2, 104 }, copy);
  CHECK(m_view.Config()->endpoints.at("leaves").state == LifeState::Leaving);
  CHECK_FALSE(Has("ends"));
  // Equal views of the store have equal digests, whatever is trusted.
  FleetView other({});
  other.TakeEndpoints({}, { 2, 104 }, copy, Duration(0), m_now);
  CHECK(other.Digest() == m_view.Digest());

  SECTION("an entry that stays is trusted after a while")
  {
    m_now += std::chrono::seconds(7);
    m_view.Tick(m_now);
    CHECK(m_view.Config()->endpoints.at("leaves").state ==
          LifeState::InService);
    CHECK(Has("ends"));
  }
  SECTION("an entry that ends meanwhile does not come back")
  {
    Apply({ 2, 104 }, { 2, 106 }, { Removed("ends", { 2, 105 }) });
    m_now += std::chrono::seconds(7);
    m_view.Tick(m_now);
    CHECK_FALSE(Has("ends"));
  }
  SECTION("a later start of the endpoint is trusted at once")
  {
    EndpointChange restarted = Listed("ends", { 2, 105 });
    restarted.endpoint->lifetime = 2;
    Apply({ 2, 104 }, { 2, 106 }, { restarted });
    CHECK(Has("ends"));
  }
}

/// Guards against endpoints that get no requests because their entries, written
/// since the copy was made, are not written again yet.
TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entry is missing after a rollback of the store, "
                 "stays in use for the hold time",
                 "[era]")
{
  Apply({}, { 1, 100 }, { Listed("a", { 1, 90 }), Listed("b", { 1, 95 }) });
  Apply({}, { 2, 92 }, { Listed("a", { 2, 90 }) });
  CHECK(Has("b"));
  m_now += Milliseconds(2300);
  m_view.Tick(m_now);
  CHECK(Has("a"));
  CHECK_FALSE(Has("b"));
  // It was only late.
  Apply({ 2, 92 }, { 2, 99 }, { Listed("b", { 2, 99 }) });
  CHECK(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, full snapshot without an endpoint, removes it")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8) });
  Apply(0, 20, { Listed("b", 8) });
  CHECK_FALSE(Has("a"));
  CHECK(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, older full snapshot, removes no newer entry")
{
  Apply(0, 20, { Listed("a", 19) });
  Apply(0, 10, {});
  CHECK(Has("a"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entries expired during an outage of the store, "
                 "stay in use for the hold time")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8) });
  m_now += std::chrono::seconds(10);
  Apply(10, 12, { Removed("a", 11), Removed("b", 12) });
  CHECK(Has("a"));
  m_now += Milliseconds(1900);
  Apply(12, 13, { Listed("a", 13) });
  m_view.Tick(m_now);
  CHECK(Has("b"));
  m_now += Milliseconds(400);
  m_view.Tick(m_now);
  CHECK(Has("a"));
  CHECK_FALSE(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entry removed while the store is reachable, is "
                 "removed at once")
{
  Apply(0, 10, { Listed("a", 7) });
  m_now += Milliseconds(500);
  Apply(10, 11, { Removed("a", 11) });
  CHECK_FALSE(Has("a"));
}

/// Guards against taking an own late update for an outage of the store, after
/// which endpoints that have left got requests for the hold time.
TEST_CASE_METHOD(ViewFixture,
                 "FleetView, entry removed after updates were late, is removed "
                 "at once")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8) });
  m_now += Milliseconds(2000);
  Apply(10, 12, { Removed("a", 11) });
  CHECK_FALSE(Has("a"));
  m_now += Milliseconds(2900);
  m_view.TakeUpdate(13, 0, { Removed("b", 13) }, Duration(0), m_now);
  CHECK_FALSE(Has("b"));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, service with a connection limit, applies it to "
                 "each endpoint")
{
  Apply(0, 10, { Listed("a", 7) });
  CHECK(m_view.Config()->endpoints.at("a").connections == 330);
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, endpoints leave or are removed, returns each "
                 "departure once")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8), Listed("c", 9) });
  CHECK(m_view.TakeDepartures().empty());
  Apply(
    10,
    13,
    { Listed("a", 11, LifeState::Leaving), Removed("b", 12), Listed("c", 13) });
  const auto departures = m_view.TakeDepartures();
  REQUIRE(departures.size() == 2);
  CHECK(departures[0].id == "a");
  CHECK(departures[0].version == 11);
  CHECK(departures[0].endpoint.has_value());
  CHECK(departures[1].id == "b");
  CHECK_FALSE(departures[1].endpoint.has_value());
  Apply(13, 14, { Listed("a", 14, LifeState::Leaving) });
  CHECK(m_view.TakeDepartures().empty());
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, update with a change missing, takes over neither "
                 "version nor age")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8) });
  FleetView sender({});
  sender.TakeEndpoints(0,
                       12,
                       { Listed("a", 11, LifeState::Leaving),
                         Listed("b", 12, LifeState::Leaving) },
                       Duration(0),
                       m_now);
  m_now += Milliseconds(900);
  const auto take = [&](const std::vector<EndpointChange>& aChanges) {
    return m_view.TakeUpdate(
      12, sender.Digest(), aChanges, Milliseconds(4), m_now);
  };
  CHECK_FALSE(take({}));
  CHECK_FALSE(take({ Listed("a", 11, LifeState::Leaving) }));
  CHECK(m_view.Version() == 10);
  CHECK(m_view.Age(m_now) == Milliseconds(900));
  CHECK(take({ Listed("b", 12, LifeState::Leaving) }));
  CHECK(m_view.Version() == 12);
  CHECK(m_view.Age(m_now) == Milliseconds(4));
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, update lacks only heartbeats, is complete")
{
  Apply(0, 10, { Listed("a", 7) });
  FleetView sender({});
  sender.TakeEndpoints(0, 12, { Listed("a", 12) }, Duration(0), m_now);
  CHECK(m_view.TakeUpdate(12, sender.Digest(), {}, Duration(0), m_now));
  CHECK(m_view.Version() == 12);
}

TEST_CASE_METHOD(ViewFixture,
                 "FleetView, endpoint held after an outage, is sent as removed")
{
  Apply(0, 10, { Listed("a", 7), Listed("b", 8) });
  m_now += std::chrono::seconds(10);
  Apply(10, 12, { Removed("a", 11) });
  REQUIRE(Has("a"));
  FleetView fetcher({});
  FleetConfig config;
  config.version = 1;
  fetcher.TakeConfig(config);
  fetcher.TakeEndpoints(0, 12, m_view.Endpoints(), Duration(0), m_now);
  CHECK(fetcher.Config()->endpoints.count("a") == 0);
  CHECK(fetcher.Config()->endpoints.count("b") == 1);
}

class ColdViewFixture : public ViewFixture
{
protected:
  static EndpointChange Cold(std::uint64_t aVersion, Milliseconds aCold)
  {
    EndpointChange change = Listed("e", aVersion);
    change.endpoint->cold = aCold;
    return change;
  }

  const Endpoint& Held() const { return m_view.Config()->endpoints.at("e"); }
};

/// Guards against daemons that never learn that an endpoint which they know as
/// cold has turned cold again.
TEST_CASE_METHOD(ColdViewFixture,
                 "FleetView, endpoint turns cold again while it is cold, is a "
                 "change that others are told")
{
  Apply(0, 10, { Cold(10, Milliseconds(8000)) });
  const std::uint64_t revision = m_view.Config()->endpoint_revision;
  m_now += Milliseconds(1500);
  Apply(10, 11, { Cold(11, Milliseconds(6500)) });
  CHECK(m_view.Config()->endpoint_revision == revision);
  CHECK(m_view.ChangesAfter(10).empty());
  m_now += Milliseconds(1500);
  Apply(11, 12, { Cold(12, Milliseconds(30000)) });
  CHECK(m_view.Config()->endpoint_revision > revision);
  CHECK(Held().cold_until == m_now + Milliseconds(30000));
  CHECK(m_view.ChangesAfter(11).size() == 1);
  CHECK(m_view.ChangesSince(m_now).size() == 1);
}

/// Guards against a cold time that begins anew at each daemon that it reaches.
TEST_CASE_METHOD(ColdViewFixture,
                 "FleetView, cold time, is aged when it is passed on")
{
  Apply(0, 10, { Cold(10, Milliseconds(8000)) });
  m_now += Milliseconds(5000);
  m_view.Tick(m_now);
  CHECK(m_view.Endpoints().front().endpoint->cold == Milliseconds(3000));
  m_now += Milliseconds(9000);
  m_view.Tick(m_now);
  // It stays cold to others until the store says otherwise.
  CHECK(m_view.Endpoints().front().endpoint->cold == Milliseconds(1));
}

} // namespace
} // namespace sapphirelane
