#ifndef SAPPHIRELANE_ROUTING_RANDOM_H
#define SAPPHIRELANE_ROUTING_RANDOM_H

#include <random>

namespace sapphirelane {

/// @brief Random generator passed to each randomised decision, so that tests
/// can seed it.
using Random = std::mt19937_64;

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RANDOM_H
