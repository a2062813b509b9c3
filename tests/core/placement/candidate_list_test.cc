#include "core/placement/candidate_list.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "sim/seeded_random.h"

namespace cobaltgauge::tests {
namespace {

core::PlacementCandidate MakeCandidate(std::uint64_t id,
                                       std::uint32_t capacity)
{
  core::PlacementCandidate candidate;
  candidate.id = core::BackendId{ id };
  candidate.capacity = capacity;
  return candidate;
}

BOOST_AUTO_TEST_SUITE(CandidateListTest)

BOOST_AUTO_TEST_CASE(put_replaces_an_existing_candidate)
{
  core::CandidateList list;
  list.Put(MakeCandidate(1, 2));
  list.Put(MakeCandidate(1, 7));
  BOOST_REQUIRE(list.Find(core::BackendId{ 1 }) != nullptr);
  BOOST_TEST(list.Find(core::BackendId{ 1 })->capacity == 7U);
  BOOST_TEST(list.GetAll().size() == 1U);
  BOOST_TEST(list.Find(core::BackendId{ 2 }) == nullptr);
}

BOOST_AUTO_TEST_CASE(find_works_after_random_changes)
{
  core::CandidateList list;
  std::set<std::uint64_t> expected;
  sim::SeededRandom random{ 5 };
  for (int step = 0; step < 5000; ++step) {
    const std::uint64_t id = 1 + random.below(60);
    if (random.below(2) == 0) {
      list.Put(MakeCandidate(id, 2));
      expected.insert(id);
    } else {
      list.Remove(core::BackendId{ id });
      expected.erase(id);
    }
    BOOST_REQUIRE(list.GetAll().size() == expected.size());
    for (const std::uint64_t known : expected) {
      BOOST_REQUIRE(list.Find(core::BackendId{ known }) != nullptr);
      BOOST_REQUIRE(
        (list.Find(core::BackendId{ known })->id == core::BackendId{ known }));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
