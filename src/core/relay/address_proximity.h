/// @file
/// Estimates network proximity from address prefixes.  Each zone is expected
/// to have its own network; otherwise all peers rank equally.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace cobaltgauge::core {

/// Count the leading bytes that two addresses share; more means closer.
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
