#include "core/addresses/address_claim.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cobaltgauge::tests {
namespace {

using core::AddressClaim;
using core::AddressClaimant;
using core::AddressClaims;
using core::Revision;
using core::StoreEra;

AddressClaimant Registered(std::uint64_t startedAtMs, Revision write)
{
  return { startedAtMs, true, write };
}

AddressClaimant Removed(std::uint64_t startedAtMs, Revision removal)
{
  return { startedAtMs, false, removal };
}

AddressClaim ClaimAmong(const AddressClaimant& claimant,
                        const std::vector<AddressClaimant>& others)
{
  AddressClaims claims;
  claims.Add(claimant);
  for (const AddressClaimant& other : others) {
    claims.Add(other);
  }
  return claims.GetClaim(claimant);
}

BOOST_AUTO_TEST_SUITE(AddressClaimTest)

BOOST_AUTO_TEST_CASE(sole_backend_is_undisputed)
{
  BOOST_TEST((ClaimAmong(Registered(0, 5), {}) == AddressClaim::kUndisputed));
  BOOST_TEST(
    (ClaimAmong(Registered(700, 5), {}) == AddressClaim::kUndisputed));
  BOOST_TEST((ClaimAmong(Removed(0, 5), {}) == AddressClaim::kUndisputed));
}

BOOST_AUTO_TEST_CASE(later_start_supersedes_whatever_the_order_of_writes)
{
  for (const std::uint64_t write : { 1U, 9U }) {
    BOOST_TEST((ClaimAmong(Registered(700, 5), { Registered(800, write) }) ==
                AddressClaim::kSuperseded));
    BOOST_TEST((ClaimAmong(Registered(800, write), { Registered(700, 5) }) ==
                AddressClaim::kUndisputed));
    BOOST_TEST((ClaimAmong(Removed(700, 5), { Registered(800, write) }) ==
                AddressClaim::kSuperseded));
  }
}

// A write may be delayed, so its revision proves nothing about the backends.
BOOST_AUTO_TEST_CASE(later_write_without_start_times_only_contests)
{
  BOOST_TEST((ClaimAmong(Registered(0, 5), { Registered(0, 9) }) ==
              AddressClaim::kContested));
  BOOST_TEST((ClaimAmong(Registered(0, 9), { Registered(0, 5) }) ==
              AddressClaim::kUndisputed));
  BOOST_TEST((ClaimAmong(Registered(700, 5), { Registered(0, 9) }) ==
              AddressClaim::kContested));
  BOOST_TEST((ClaimAmong(Registered(0, 5), { Registered(700, 9) }) ==
              AddressClaim::kContested));
}

BOOST_AUTO_TEST_CASE(removed_backend_contests_nothing)
{
  BOOST_TEST((ClaimAmong(Registered(0, 5), { Removed(0, 9) }) ==
              AddressClaim::kUndisputed));
  BOOST_TEST((ClaimAmong(Registered(700, 5), { Removed(800, 9) }) ==
              AddressClaim::kUndisputed));
  BOOST_TEST((ClaimAmong(Removed(0, 9), { Registered(0, 5) }) ==
              AddressClaim::kContested));
}

// A restore keeps the revision numbers of unchanged items; daemons that
// started later know them by the later era.
BOOST_AUTO_TEST_CASE(writes_of_kept_items_are_compared_across_eras)
{
  const AddressClaimant kept = Registered(0, { StoreEra{ 1 }, 40 });
  const AddressClaimant written = Registered(0, { StoreEra{ 2 }, 36 });
  BOOST_TEST((ClaimAmong(kept, { written }) == AddressClaim::kUndisputed));
  BOOST_TEST((ClaimAmong(written, { kept }) == AddressClaim::kContested));
}

BOOST_AUTO_TEST_CASE(claims_are_independent_of_order)
{
  const std::vector<AddressClaimant> all{
    Registered(800, 3), Registered(700, 9), Registered(0, 5), Removed(900, 11)
  };
  for (const AddressClaimant& claimant : all) {
    AddressClaims forward;
    AddressClaims backward;
    for (std::size_t i = 0; i < all.size(); ++i) {
      forward.Add(all[i]);
      backward.Add(all[all.size() - 1 - i]);
    }
    BOOST_TEST((forward.GetClaim(claimant) == backward.GetClaim(claimant)));
  }
}

BOOST_AUTO_TEST_CASE(later_claimant_is_by_start_then_by_presence_and_write)
{
  BOOST_TEST(core::IsLaterClaimant(Registered(800, 1), Registered(700, 9)));
  BOOST_TEST(core::IsLaterClaimant(Removed(800, 1), Registered(700, 9)));
  BOOST_TEST(core::IsLaterClaimant(Registered(0, 1), Removed(700, 9)));
  BOOST_TEST(core::IsLaterClaimant(Registered(0, 9), Registered(0, 1)));
  BOOST_TEST(!core::IsLaterClaimant(Registered(0, 1), Registered(0, 9)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
