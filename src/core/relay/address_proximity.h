/// @file
/// How near two daemons are, as far as their addresses tell.  Zones have
/// networks of their own; where they do not, every choice is as good.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace cobaltgauge::core {

/// Count the leading bytes that two addresses share; more means nearer.
inline std::size_t CountCommonPrefixBytes(const Endpoint& left,
                                          const Endpoint& right)
{
  std::size_t count = 0;
  while (count < left.address.bytes.size() &&
         left.address.bytes[count] == right.address.bytes[count]) {
    ++count;
  }
  return count;
}

} // namespace cobaltgauge::core
