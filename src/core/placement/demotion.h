/// @file
/// Interface for conditions that deprioritize backends for new flows.
#pragma once

#include <vector>

#include "core/backend_registry.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class Demotion
 * \brief A condition that deprioritizes backends for new flows.
 *
 * A deprioritized backend still gets flows if no other backend is available,
 * since the condition may be a false positive.
 */
class Demotion
{
public:
  virtual ~Demotion() = default;

  /// Set the candidates of the following calls of IsDeprioritized.
  virtual void Prepare(const std::vector<PlacementCandidate>& /*candidates*/,
                       Time /*now*/)
  {
  }

  virtual bool IsDeprioritized(const PlacementCandidate& candidate,
                               Time now) const = 0;
};

} // namespace cobaltgauge::core
