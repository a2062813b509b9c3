/// @file
/// Positions in the history of the store.
///
/// A store that is restored from an older copy assigns revisions again, so that the same number may
/// name two different writes. A position is therefore an era and a revision within it; every
/// position of a later era is after all positions of earlier eras.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace cobaltgauge::core {

/// Number of a copy of the store; incremented each time the store is restored from an older copy.
/// Zero if the store does not report eras.
enum class StoreEra : std::uint64_t {};

/// Identifies a change in the store and increases with every change; zero means "none yet".
struct Revision {
  StoreEra era{0};
  std::uint64_t number = 0;  ///< The store's revision within the era.

  constexpr Revision() = default;
  constexpr Revision(StoreEra inEra, std::uint64_t revision) : era(inEra), number(revision) {}
  /// A revision of a store that does not report eras.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr Revision(std::uint64_t revision) : number(revision) {}

  /// Advances to the next revision of the era.
  constexpr Revision& operator++() {
    ++number;
    return *this;
  }
  constexpr Revision operator++(int) {
    const Revision before = *this;
    ++number;
    return before;
  }

  constexpr auto operator<=>(const Revision&) const = default;
};

/// @return `ERA:NUMBER`, or only the number if the store does not report eras; for logs.
std::string toString(const Revision& revision);

inline std::ostream& operator<<(std::ostream& out, const Revision& revision) {
  return out << toString(revision);
}

}  // namespace cobaltgauge::core
