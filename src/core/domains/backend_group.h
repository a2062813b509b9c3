/// @file
/// Names back ends that may be gone together, here and between daemons.
#pragma once

#include <compare>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Back ends of one service in one zone.
struct BackendGroup
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;

  auto operator<=>(const BackendGroup&) const = default;
};

/// A daemon's own probes found these groups silent.  Whoever hears it probes
/// them as well, and believes its own probes only.
struct UnreachableGroupsNotice
{
  std::vector<BackendGroup> Groups;
};

} // namespace cobaltgauge::core
