#include "sapphirelane/admission/request_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

class PriorityQueueFixture
{
protected:
  QueuedRequest Add(const std::string& aAccount,
                    std::uint32_t aPriority,
                    Duration aTarget = std::chrono::hours(1),
                    Duration aDeadline = std::chrono::hours(2))
  {
    QueuedRequest request;
    request.id = ++m_lastId;
    request.account = aAccount;
    request.priority = aPriority;
    request.deadline = m_now + aDeadline;
    request.start_for_target = m_now + aTarget;
    request.start_for_deadline = m_now + aDeadline;
    m_accepted = m_queue->Push(request);
    return request;
  }

  std::uint64_t Next()
  {
    const auto next = m_queue->Pop(m_now);
    return next ? next->id : 0;
  }

  std::unique_ptr<RequestQueue> m_queue = MakePriorityQueue({});
  std::uint64_t m_lastId = 0;
  bool m_accepted = false;
  TimePoint m_now{ std::chrono::hours(1) };
};

TEST_CASE_METHOD(PriorityQueueFixture,
                 "PriorityQueue, requests of two priorities, serves the higher "
                 "one first")
{
  const auto low = Add("a", 2);
  const auto high = Add("a", 1);
  CHECK(m_queue->SizeAhead(high) == 1);
  CHECK(m_queue->SizeAhead(low) == 2);
  CHECK(Next() == high.id);
  CHECK(Next() == low.id);
  CHECK(Next() == 0);
}

TEST_CASE_METHOD(PriorityQueueFixture,
                 "PriorityQueue, requests of two accounts, serves them in turn")
{
  const auto first = Add("a", 1);
  const auto second = Add("a", 1);
  const auto other = Add("b", 1);
  CHECK(Next() == first.id);
  CHECK(Next() == other.id);
  CHECK(Next() == second.id);
}

TEST_CASE_METHOD(PriorityQueueFixture,
                 "PriorityQueue, request that is late already, is served after "
                 "one that can meet its target")
{
  const auto late = Add("a", 1, Milliseconds(100));
  m_now += Milliseconds(200);
  const auto inTime = Add("a", 1, Milliseconds(100));
  CHECK(Next() == inTime.id);
  CHECK(Next() == late.id);
}

TEST_CASE_METHOD(PriorityQueueFixture,
                 "PriorityQueue, request that cannot be answered any more, is "
                 "taken out")
{
  const auto late = Add("a", 1, Milliseconds(100), Milliseconds(200));
  const auto other = Add("a", 1);
  m_now += Milliseconds(200);
  const auto taken = m_queue->TakeLate(m_now);
  REQUIRE(taken.size() == 1);
  CHECK(taken.front().id == late.id);
  CHECK(m_queue->Size() == 1);
  CHECK(Next() == other.id);
}

TEST_CASE_METHOD(PriorityQueueFixture,
                 "PriorityQueue, account with too many waiting requests, is "
                 "refused while others are not")
{
  for (std::uint32_t i = 0; i < 64; ++i) {
    Add("a", i % 3);
    CHECK(m_accepted);
  }
  Add("a", 0);
  CHECK_FALSE(m_accepted);
  Add("b", 2);
  CHECK(m_accepted);
  m_queue->Remove(1);
  Add("a", 0);
  CHECK(m_accepted);
}

/// One kind of request in a simulated overload.
struct LoadKind
{
  std::string account;
  std::uint32_t priority = 0;
  double per_second = 0;
  double worth = 1;
  double late_worth = 0.5;
  Duration target = Milliseconds(800);
  Duration deadline = Milliseconds(2000);
};

/// What became of the requests of one kind.
struct KindResult
{
  double arrived = 0;
  double served = 0;
  double earned = 0;

  double ServedShare() const { return served / arrived; }
  double EarnedShare() const { return earned / arrived; }
};

/// Simulates a service with some slots behind one queue, in virtual time.
class OverloadSimulation
{
public:
  OverloadSimulation(const std::string& aQueue, std::vector<LoadKind> aKinds)
    : m_queue(QueueRegistry::Make(aQueue, 64))
    , m_kinds(std::move(aKinds))
    , m_results(m_kinds.size())
  {
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
      ScheduleArrival(i);
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_agenda.begin()->first <= end) {
      m_now = m_agenda.begin()->first;
      const auto action = m_agenda.begin()->second;
      m_agenda.erase(m_agenda.begin());
      action();
    }
  }

  const KindResult& Of(std::size_t aKind) const { return m_results[aKind]; }

  double Earned() const
  {
    double earned = 0;
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
      earned += m_results[i].earned * m_kinds[i].worth;
    }
    return earned;
  }

  static constexpr double kSlots = 12;
  static constexpr double kWorkSeconds = 0.22;
  static constexpr double kCapacity = kSlots / kWorkSeconds;

private:
  void At(Duration aTime, std::function<void()> aAction)
  {
    m_agenda.emplace(m_now + aTime, std::move(aAction));
  }

  Duration Draw(double aMeanSeconds)
  {
    std::exponential_distribution<double> draw(1 / aMeanSeconds);
    return std::chrono::duration_cast<Duration>(Seconds(draw(m_random)));
  }

  void ScheduleArrival(std::size_t aKind)
  {
    At(Draw(1 / m_kinds[aKind].per_second), [this, aKind] {
      Arrive(aKind);
      ScheduleArrival(aKind);
    });
  }

  void Arrive(std::size_t aKind)
  {
    const LoadKind& kind = m_kinds[aKind];
    const auto work =
      std::chrono::duration_cast<Duration>(Seconds(kWorkSeconds));
    QueuedRequest request;
    request.id = ++m_lastId;
    request.account = kind.account;
    request.priority = kind.priority;
    request.deadline = m_now + kind.deadline;
    request.start_for_target = m_now + kind.target - work;
    request.start_for_deadline = request.deadline - work / 3;
    ++m_results[aKind].arrived;
    if (m_queue->Push(request)) {
      m_waiting[request.id] = { aKind, m_now };
    }
    Serve();
  }

  void Serve()
  {
    for (const QueuedRequest& late : m_queue->TakeLate(m_now)) {
      m_waiting.erase(late.id);
    }
    while (m_busy < kSlots) {
      const auto next = m_queue->Pop(m_now);
      if (!next) {
        return;
      }
      ++m_busy;
      const auto [kind, arrivedAt] = m_waiting.at(next->id);
      m_waiting.erase(next->id);
      At(Draw(kWorkSeconds), [this, kind = kind, arrivedAt = arrivedAt] {
        --m_busy;
        Finish(kind, m_now - arrivedAt);
        Serve();
      });
    }
  }

  void Finish(std::size_t aKind, Duration aElapsed)
  {
    const LoadKind& kind = m_kinds[aKind];
    if (aElapsed <= kind.deadline) {
      ++m_results[aKind].served;
      m_results[aKind].earned += aElapsed <= kind.target ? 1 : kind.late_worth;
    }
  }

  std::unique_ptr<RequestQueue> m_queue;
  std::vector<LoadKind> m_kinds;
  std::vector<KindResult> m_results;
  std::map<std::uint64_t, std::pair<std::size_t, TimePoint>> m_waiting;
  std::multimap<TimePoint, std::function<void()>> m_agenda;
  std::mt19937_64 m_random{ 7 };
  double m_busy = 0;
  std::uint64_t m_lastId = 0;
  TimePoint m_now{ std::chrono::hours(1) };
};

/// Load of two priorities from many accounts.
/// @param aLoad Share of the capacity that arrives.
std::vector<LoadKind>
TwoPriorities(double aLoad)
{
  std::vector<LoadKind> kinds;
  constexpr int kAccounts = 8;
  for (int i = 0; i < kAccounts; ++i) {
    LoadKind urgent;
    urgent.account = "account-" + std::to_string(i);
    urgent.priority = 1;
    urgent.worth = 2;
    urgent.per_second =
      OverloadSimulation::kCapacity * aLoad * 0.75 / kAccounts;
    LoadKind other = urgent;
    other.priority = 2;
    other.worth = 1;
    other.deadline = Milliseconds(1500);
    other.per_second = OverloadSimulation::kCapacity * aLoad * 0.25 / kAccounts;
    kinds.push_back(urgent);
    kinds.push_back(other);
  }
  return kinds;
}

/// Sum of the shares of all kinds with an index of the same parity.
double
MeanServed(const OverloadSimulation& aSimulation, std::size_t aFirst)
{
  double sum = 0;
  for (std::size_t i = aFirst; i < 16; i += 2) {
    sum += aSimulation.Of(i).ServedShare();
  }
  return sum / 8;
}

TEST_CASE("PriorityQueue, 1.5 times the capacity arrives, serves urgent "
          "requests more often, starves no kind and earns more than taking "
          "turns")
{
  OverloadSimulation fair("fair", TwoPriorities(1.5));
  OverloadSimulation priority("priority", TwoPriorities(1.5));
  for (OverloadSimulation* simulation : { &fair, &priority }) {
    simulation->Run(std::chrono::seconds(60));
  }
  CHECK(MeanServed(priority, 0) >= MeanServed(priority, 1));
  const double all =
    0.75 * MeanServed(priority, 0) + 0.25 * MeanServed(priority, 1);
  CHECK(MeanServed(priority, 1) >= 0.25 * all);
  CHECK(priority.Earned() >= 1.2 * fair.Earned());
}

TEST_CASE("PriorityQueue, urgent requests alone exceed the capacity, starves "
          "no kind")
{
  OverloadSimulation priority("priority", TwoPriorities(3));
  priority.Run(std::chrono::seconds(60));
  const double all =
    0.75 * MeanServed(priority, 0) + 0.25 * MeanServed(priority, 1);
  CHECK(MeanServed(priority, 1) >= 0.25 * all);
  CHECK(MeanServed(priority, 0) >= MeanServed(priority, 1));
}

TEST_CASE("PriorityQueue, one account sends eight times its rate, serves the "
          "others as before")
{
  std::vector<LoadKind> kinds;
  for (int i = 0; i < 8; ++i) {
    LoadKind kind;
    kind.account = "account-" + std::to_string(i);
    kind.priority = 1;
    kind.per_second = OverloadSimulation::kCapacity / 9 * (i == 0 ? 8 : 0.9);
    kinds.push_back(kind);
  }
  OverloadSimulation priority("priority", kinds);
  priority.Run(std::chrono::seconds(60));
  for (std::size_t i = 1; i < 8; ++i) {
    CHECK(priority.Of(i).EarnedShare() >= 0.95);
  }
  // What is left of the capacity serves the first account, mostly in time.
  CHECK(priority.Of(0).EarnedShare() >= 0.2);
}

} // namespace
} // namespace sapphirelane
