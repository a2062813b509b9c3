#include "core/zones/zone_evacuations.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

constexpr const char* kKey = "evacuate/a";

struct ZoneEvacuationsFixture
{
  core::ZoneEvacuations Zones;
};

BOOST_FIXTURE_TEST_SUITE(ZoneEvacuationsTest, ZoneEvacuationsFixture)

BOOST_AUTO_TEST_CASE(a_zone_is_out_until_its_item_is_removed)
{
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.Put(kKey, "a", 5));
  BOOST_TEST(this->Zones.IsEvacuated("a"));
  BOOST_TEST(!this->Zones.IsEvacuated("b"));
  BOOST_TEST(this->Zones.Remove(kKey, 6));
  BOOST_TEST(!this->Zones.IsEvacuated("a"));
  BOOST_TEST(this->Zones.Knows(kKey));
}

BOOST_AUTO_TEST_CASE(an_older_item_never_replaces_a_newer_one)
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

BOOST_AUTO_TEST_CASE(a_listing_ends_what_is_older_than_it_and_not_in_it)
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
