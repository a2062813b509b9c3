/// @file
/// Places in the history of the store.
///
/// A store that is restored from an older copy gives revisions out again, so that a bare number
/// names two writes. Nothing here compares bare numbers: a place is an era and a revision of it,
/// and everything of a later era comes after everything of an earlier one.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace cobaltgauge::core {

/// Number of a copy of the store; rises each time the store comes back from an older one. Zero
/// where the store does not tell.
enum class StoreEra : std::uint64_t {};

/// A change of the store, which rises with every change; zero means "none yet".
struct Revision {
  StoreEra era{0};
  std::uint64_t number = 0;  ///< The store's own, within the era.

  constexpr Revision() = default;
  constexpr Revision(StoreEra inEra, std::uint64_t revision) : era(inEra), number(revision) {}
  /// A revision of a store that tells no eras.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr Revision(std::uint64_t revision) : number(revision) {}

  /// Goes on to the next revision of the era.
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

/// @return `ERA:NUMBER`, or the number alone where the store tells no eras; for logs.
std::string toString(const Revision& revision);

inline std::ostream& operator<<(std::ostream& out, const Revision& revision) {
  return out << toString(revision);
}

}  // namespace cobaltgauge::core
