/// @file
/// Seam to all that knows of back ends which new flows should go to only
/// where no other is left.
#pragma once

#include <vector>

#include "core/backend_registry.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class Demotion
 * \brief One reason for a back end to come last for new flows.
 *
 * A back end that comes last still gets flows where all others come last as
 * well, or are full: signs may be wrong, and a refusal serves nobody.
 */
class Demotion
{
public:
  virtual ~Demotion() = default;

  /// Take the back ends that the next answers are about.
  virtual void Prepare(const std::vector<PlacementCandidate>& /*candidates*/,
                       Time /*now*/)
  {
  }

  /// Tell whether a back end comes last.
  virtual bool IsDeprioritized(const PlacementCandidate& candidate,
                               Time now) const = 0;
};

} // namespace cobaltgauge::core
