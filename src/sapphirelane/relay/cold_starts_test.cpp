#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <variant>

#include "sapphirelane/relay/fleet_world.h"

namespace sapphirelane {
namespace {

constexpr std::size_t kOwners = 6;

class ColdFleetFixture
{
protected:
  ColdFleetFixture() { m_world.Advance(std::chrono::seconds(6)); }

  static std::string Id(int aIndex) { return "cold-" + std::to_string(aIndex); }

  bool Owns(int aDaemon, const std::string& aEndpoint)
  {
    return m_world.At(aDaemon)
      .ColdOwnerRank(aEndpoint, kOwners, m_world.Now())
      .has_value();
  }

  std::set<int> Owners(const std::string& aEndpoint)
  {
    std::set<int> owners;
    for (int i = 0; i < m_world.Size(); ++i) {
      if (Owns(i, aEndpoint)) {
        owners.insert(i);
      }
    }
    return owners;
  }

  FleetWorld m_world{ 18, 3 };
};

TEST_CASE_METHOD(ColdFleetFixture,
                 "StoreFleet, all hosts are known, daemons agree on the owners "
                 "of each cold endpoint")
{
  std::set<std::set<int>> different;
  for (int i = 0; i < 20; ++i) {
    const std::set<int> owners = Owners(Id(i));
    CHECK(owners.size() == kOwners);
    different.insert(owners);
  }
  CHECK(different.size() > 15);
}

/// Guards against more owners than the bound allows for: those that are cut off
/// must not take over what the others still own, and the other way round.
TEST_CASE_METHOD(ColdFleetFixture,
                 "StoreFleet, daemons are cut off, owners of cold endpoints "
                 "stay the same")
{
  std::vector<std::set<int>> before;
  for (int i = 0; i < 20; ++i) {
    before.push_back(Owners(Id(i)));
  }
  m_world.Partition(3);
  m_world.Partition(8);
  m_world.Advance(std::chrono::seconds(40));
  for (int i = 0; i < 20; ++i) {
    CHECK(Owners(Id(i)) == before[static_cast<std::size_t>(i)]);
  }
}

/// Guards against two runs on one host that send in the same second, and
/// against a new run that owns everything as it knows no other host.
TEST_CASE_METHOD(ColdFleetFixture,
                 "StoreFleet, daemons restart at once, own no cold endpoint "
                 "until they know the hosts")
{
  const std::set<int> before = Owners(Id(0));
  for (int i = 0; i < m_world.Size(); ++i) {
    m_world.Kill(i);
  }
  for (int i = 0; i < m_world.Size(); ++i) {
    m_world.Restart(i);
  }
  for (int step = 0; step < 15; ++step) {
    m_world.Advance(Milliseconds(100));
    CHECK(Owners(Id(0)).empty());
  }
  m_world.Advance(std::chrono::seconds(10));
  CHECK(Owners(Id(0)) == before);
}

TEST_CASE_METHOD(ColdFleetFixture,
                 "StoreFleet, endpoint says that it is cold, tells the others")
{
  for (int i = 0; i < m_world.Size(); ++i) {
    m_world.At(i).TakeEvents();
  }
  m_world.At(0).ShareCold({ "s", "e1", 0, Milliseconds(5000) }, m_world.Now());
  m_world.Advance(Milliseconds(500));
  int told = 0;
  for (int i = 1; i < m_world.Size(); ++i) {
    const auto events = m_world.At(i).TakeEvents();
    told += std::any_of(events.begin(),
                        events.end(),
                        [](const ControlEvent& aEvent) {
                          const auto* report = std::get_if<ColdReport>(&aEvent);
                          return report != nullptr &&
                                 report->endpoint == "e1" &&
                                 report->service == "s" &&
                                 report->left == Milliseconds(5000);
                        })
              ? 1
              : 0;
  }
  CHECK(told == m_world.Size() - 1);
}

} // namespace
} // namespace sapphirelane
