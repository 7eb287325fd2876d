/// One decision class driven by hand: time is an argument, so nothing waits.
#include <iostream>

#include "sapphirelane/routing/ejector.h"

int
main()
{
  using namespace sapphirelane; // NOLINT(google-build-using-namespace)
  auto ejector = MakePeerComparison({});
  const std::vector<JudgedEndpoint> endpoints = {
    { "good", 2, true, std::chrono::hours(1) },
    { "stalls", 2, true, std::chrono::hours(1) }
  };
  TimePoint now{ std::chrono::hours(1) };
  for (int step = 0; step < 20; ++step) {
    now += Milliseconds(100);
    ejector->Observe("good", { WorkResult::Answered, Milliseconds(20) }, now);
    ejector->Observe("stalls", { WorkResult::Stalled, Milliseconds(200) }, now);
    for (const EjectionChange& change : ejector->Judge(endpoints, 50, now)) {
      std::cout << change.endpoint << " ejected after " << (step + 1) * 100
                << " ms: " << change.reason << "\n";
    }
  }
  return 0;
}
