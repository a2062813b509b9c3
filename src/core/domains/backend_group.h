/// @file
/// Groups of backends that may fail together, and the notice about them that
/// daemons exchange.
#pragma once

#include <compare>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Backends of one service in one zone.
struct BackendGroup
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;

  auto operator<=>(const BackendGroup&) const = default;
};

/// Groups that are unreachable according to the sender's own probes.  The
/// receiver probes them itself and relies only on its own results.
struct UnreachableGroupsNotice
{
  std::vector<BackendGroup> Groups;
};

} // namespace cobaltgauge::core
