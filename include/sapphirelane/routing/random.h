#ifndef SAPPHIRELANE_ROUTING_RANDOM_H
#define SAPPHIRELANE_ROUTING_RANDOM_H

#include <random>

namespace sapphirelane {

/// @brief Source of randomness that is passed to each decision.
using Random = std::mt19937_64;

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RANDOM_H
