/// @file
/// Offsets of a revision within its era, for tests only.
#pragma once

#include "core/revision.h"

namespace cobaltgauge::core {

constexpr Revision operator+(Revision revision, std::uint64_t more) {
  return {revision.era, revision.number + more};
}

constexpr Revision operator-(Revision revision, std::uint64_t less) {
  return {revision.era, revision.number - less};
}

}  // namespace cobaltgauge::core
