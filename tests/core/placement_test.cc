/// Tests of placement tables and shard owners, mostly property-based.
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "core/constants.h"
#include "core/home_selector.h"
#include "core/maglev_table.h"
#include "core/service_placement.h"
#include "support/core_fixtures.h"

using namespace cobaltgauge;
using namespace cobaltgauge::core;
using namespace std::chrono_literals;

namespace {

std::vector<WeightedBackend> backends(std::size_t count, std::uint32_t weight = 100) {
  std::vector<WeightedBackend> result;
  for (std::uint64_t i = 1; i <= count; ++i) {
    result.push_back({BackendId{i * 7919}, weight});
  }
  return result;
}

std::map<BackendId, std::size_t> countBuckets(const std::vector<BackendId>& table) {
  std::map<BackendId, std::size_t> counts;
  for (const BackendId backend : table) {
    ++counts[backend];
  }
  return counts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

BOOST_AUTO_TEST_CASE(EqualWeightsDifferByAtMostOneBucket) {
  const bool ok = rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto counts = countBuckets(buildMaglevTable(backends(count)));
    const auto [least, most] =
        std::minmax_element(counts.begin(), counts.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
    RC_ASSERT(counts.size() == count);
    RC_ASSERT(most->second - least->second <= 1U);
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(TableDoesNotDependOnTheOrderOfItsInput) {
  const bool ok = rc::check([](std::uint32_t seed) {
    std::vector<WeightedBackend> shuffled = backends(12);
    sim::SeededRandom random(seed);
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[random.below(i)]);
    }
    RC_ASSERT(buildMaglevTable(shuffled) == buildMaglevTable(backends(12)));
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  std::vector<WeightedBackend> weighted = backends(4);
  weighted[0].weight = 300;
  weighted[3].weight = 0;
  const auto counts = countBuckets(buildMaglevTable(weighted));
  BOOST_TEST(counts.size() == 3U);
  const auto heavy = static_cast<double>(counts.at(weighted[0].id));
  const auto light = static_cast<double>(counts.at(weighted[1].id));
  BOOST_TEST(heavy / light == 3.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(RemovingOneBackendMovesFewOtherBuckets) {
  const std::vector<BackendId> before = buildMaglevTable(backends(15));
  const std::vector<BackendId> after = buildMaglevTable(backends(14));
  const BackendId removed{std::uint64_t{15} * 7919};
  std::size_t otherMoved = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const bool moved = before[bucket] != after[bucket];
    otherMoved += moved && before[bucket] != removed ? 1 : 0;
  }
  BOOST_TEST(otherMoved < kBucketCount / 8);
}

BOOST_AUTO_TEST_CASE(NoBackendLeavesEveryBucketEmpty) {
  const auto counts = countBuckets(buildMaglevTable({}));
  BOOST_TEST(counts.at(kNoBackend) == kBucketCount);
}

BOOST_AUTO_TEST_CASE(MovedBucketsAreUnsettled) {
  Service service = tests::makeService("web", 1, 4);
  ServicePlacement placement(service.id);
  placement.apply(service, 1, 1s);
  placement.settleAll();
  service.backends[0].state = BackendState::kDraining;
  const auto moved = placement.apply(service, 2, 2s);
  BOOST_TEST(moved.any());
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    BOOST_TEST_REQUIRE(placement.isSettled(bucket) == !moved[bucket]);
    BOOST_TEST_REQUIRE((placement.current(bucket) != service.backends[0].address.id));
  }
}

BOOST_AUTO_TEST_CASE(SkippedVersionMovesEveryBucket) {
  const Service service = tests::makeService("web", 1, 4);
  ServicePlacement placement(service.id);
  placement.apply(service, 1, 1s);
  placement.settleAll();
  BOOST_TEST(placement.apply(service, 3, 2s, true).all());
  BOOST_TEST(placement.settledCount() == 0U);
  BOOST_TEST((placement.previous(0) == kNoBackend));
}

BOOST_AUTO_TEST_CASE(IncrementalRankingEqualsFullRanking) {
  const bool ok = rc::check([](const std::vector<std::uint64_t>& names, std::uint16_t shard) {
    std::vector<MemberId> members;
    members.reserve(names.size());
    for (const std::uint64_t name : names) {
      members.push_back(MemberId{name | 1U});
    }
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    const ShardKey key{ServiceId{3}, shard};
    OwnerRanking incremental(key);
    std::for_each(members.rbegin(), members.rend(),
                  [&incremental](MemberId member) { incremental.add(member); });
    RC_ASSERT(incremental.owners() == rankOwners(key, members).owners());
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(ReplicaBecomesHomeWhenTheHomeIsRemoved) {
  const std::vector<MemberId> members{MemberId{1}, MemberId{3}, MemberId{5}, MemberId{7}};
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    const ShardKey key{ServiceId{9}, shard};
    const ShardOwners before = rankOwners(key, members).owners();
    std::vector<MemberId> remaining = members;
    std::erase(remaining, before.home);
    BOOST_TEST((rankOwners(key, remaining).owners().home == before.replica));
  }
}

BOOST_AUTO_TEST_SUITE_END()
