/// @file
/// Which of the backends that are registered at one address may still run
/// there.  See docs/design/014-reassigned-addresses.md.
#pragma once

#include <cstdint>

#include "core/revision.h"

namespace cobaltgauge::core {

/// What the registrations at the address of a backend tell about it.
enum class AddressClaim : std::uint8_t
{
  kUndisputed, ///< No later registration is at its address.
  /// The latest write at its address is of another backend.  That may be a
  /// delayed write of a backend that has ended.
  kContested,
  kSuperseded, ///< A backend that started later is registered at its address.
};

/// The properties of a backend that order it among those of its address.
struct AddressClaimant
{
  std::uint64_t StartedAtMs = 0; ///< Unix time of its start; zero: unknown.
  bool IsRegistered = false;     ///< Its item is in the store.
  Revision LastWrite;            ///< Of its item or the removal of its item.
};

/// Check whether the start times of two backends tell which one is later.
inline bool AreOrderedByStart(const AddressClaimant& left,
                              const AddressClaimant& right)
{
  return left.StartedAtMs != 0 && right.StartedAtMs != 0 &&
    left.StartedAtMs != right.StartedAtMs;
}

/// Check whether the first of two backends is more likely to run at their
/// address.
bool IsLaterClaimant(const AddressClaimant& left,
                     const AddressClaimant& right);

/** \class AddressClaims
 * \brief Evaluates the claims of all backends of one address.
 *
 * The result depends only on the items in the store, not on the order in which
 * they became known.  Revisions order writes, which the store may apply late;
 * only start times prove that a backend has ended.
 */
class AddressClaims
{
public:
  /// Add a backend of the address.
  void Add(const AddressClaimant& claimant);

  /// Get the claim of a backend, after all backends have been added.
  AddressClaim GetClaim(const AddressClaimant& claimant) const;

private:
  std::uint64_t LatestStart = 0;
  // All items in the store have revision numbers of its current era, or kept
  // theirs when it was restored.
  std::uint64_t LatestWrite = 0;
  std::uint64_t LatestWriteWithoutStart = 0;
};

} // namespace cobaltgauge::core
