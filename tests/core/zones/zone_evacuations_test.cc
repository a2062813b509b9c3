#include "core/zones/zone_evacuations.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

constexpr const char* kKey = "evacuate/a";

struct ZoneEvacuationsFixture
{
  core::ZoneEvacuations Zones;
};

BOOST_FIXTURE_TEST_SUITE(ZoneEvacuationsTest, ZoneEvacuationsFixture)

BOOST_AUTO_TEST_CASE(zone_is_evacuated_until_its_item_is_removed)
{
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.Put(kKey, "a", 5));
  BOOST_TEST(this->Zones.IsEvacuated("a"));
  BOOST_TEST(!this->Zones.IsEvacuated("b"));
  BOOST_TEST(this->Zones.Remove(kKey, 6));
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.HasSeen(kKey));
}

BOOST_AUTO_TEST_CASE(older_revision_never_replaces_a_newer_one)
{
  this->Zones.Put(kKey, "a", 5);
  BOOST_TEST(!this->Zones.Remove(kKey, 5));
  BOOST_TEST(!this->Zones.Remove(kKey, 4));
  BOOST_TEST(this->Zones.IsEvacuated("a"));
  this->Zones.Remove(kKey, 8);
  BOOST_TEST(!this->Zones.Put(kKey, "a", 7));
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.Put(kKey, "a", 9));
  BOOST_TEST(this->Zones.IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(listing_ends_older_evacuations_missing_from_it)
{
  this->Zones.Put("evacuate/a", "a", 5);
  this->Zones.Put("evacuate/b", "b", 6);
  this->Zones.Put("evacuate/c", "c", 20);
  const auto ended = this->Zones.RetainOnly({ "evacuate/b" }, 10);
  BOOST_TEST(ended == std::vector<std::string>{ "evacuate/a" },
             boost::test_tools::per_element());
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.IsEvacuated("b"));
  BOOST_TEST(this->Zones.IsEvacuated("c"));
  BOOST_TEST(!this->Zones.Put("evacuate/a", "a", 9));
  BOOST_TEST(this->Zones.GetContents().size() == 2U);
}

/// Revisions before and after the store was restored from an older copy.
constexpr core::Revision kBefore{ core::StoreEra{ 1 }, 46 };
constexpr core::Revision kAfter{ core::StoreEra{ 2 }, 40 };
constexpr core::Time kNow = std::chrono::seconds(100);

BOOST_AUTO_TEST_CASE(
  zone_stays_evacuated_for_the_hold_time_after_a_store_restore)
{
  this->Zones.Put(kKey, "a", kBefore);
  BOOST_TEST(this->Zones.RetainOnly({}, kAfter).size() == 1U);
  BOOST_TEST(this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.IsLost(kKey));
  BOOST_TEST(this->Zones.GetContents().empty());
  BOOST_TEST(this->Zones.ExpireLost(kNow).empty());
  const auto later = kNow + core::kLostEvacuationHoldTime;
  BOOST_TEST(this->Zones.ExpireLost(later - 1us).empty());
  BOOST_TEST(this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.ExpireLost(later).size() == 1U);
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.ExpireLost(later).empty());
}

BOOST_AUTO_TEST_CASE(item_written_again_keeps_the_zone_evacuated)
{
  this->Zones.Put(kKey, "a", kBefore);
  this->Zones.Remove(kKey, kAfter);
  this->Zones.ExpireLost(kNow);
  BOOST_TEST(this->Zones.Put(kKey, "a", { core::StoreEra{ 2 }, 45 }));
  BOOST_TEST(this->Zones.ExpireLost(kNow + 1h).empty());
  BOOST_TEST(this->Zones.IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(removal_after_a_store_restore_takes_effect_immediately)
{
  this->Zones.Put(kKey, "a", kBefore);
  this->Zones.Put(kKey, "a", kAfter);
  this->Zones.Remove(kKey, { core::StoreEra{ 2 }, 47 });
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
}

BOOST_AUTO_TEST_CASE(evacuation_ended_before_the_restore_is_not_lost)
{
  this->Zones.Put(kKey, "a", { core::StoreEra{ 1 }, 45 });
  this->Zones.Remove(kKey, kBefore);
  this->Zones.Remove(kKey, kAfter);
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(!this->Zones.IsLost(kKey));
}

// Two restores in a row without a write in between.
BOOST_AUTO_TEST_CASE(lost_evacuation_survives_a_second_store_restore)
{
  this->Zones.Put(kKey, "a", kBefore);
  this->Zones.RetainOnly({}, kAfter);
  this->Zones.Remove(kKey, { core::StoreEra{ 3 }, 39 });
  BOOST_TEST(this->Zones.IsEvacuated("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
