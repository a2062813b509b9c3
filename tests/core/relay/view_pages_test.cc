#include "core/relay/view_pages.h"

#include <boost/test/unit_test.hpp>

#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

std::vector<core::StoreChange> SomeBackends()
{
  std::vector<core::StoreChange> backends;
  for (std::uint64_t id = 10; id < 40; ++id) {
    core::Registration registration =
      makeRegistration(id, id % 3 == 0 ? "web" : "api", 1, 9);
    registration.zone = id % 2 == 0 ? "a" : "b";
    registration.softwareVersion = "v7";
    registration.warmUpLeft = std::chrono::milliseconds(id);
    registration.startedAtMs = 1'700'000'000'000 + id;
    registration.state =
      id % 5 == 0 ? core::BackendState::kLeaving : core::BackendState::kActive;
    backends.push_back(
      { "servers/i-" + std::to_string(id), 900 - id, registration });
  }
  return backends;
}

BOOST_AUTO_TEST_SUITE(ViewPagesTest)

BOOST_AUTO_TEST_CASE(what_is_packed_is_unpacked)
{
  std::vector<core::StoreChange> backends = SomeBackends();
  backends[4].revision = 3;
  auto& v6 = std::get<core::Registration>(backends[5].item).endpoint.address;
  v6.isV6 = true;
  v6.bytes.fill(0xfe);
  core::ViewPage page;
  core::PackBackends(backends, page);
  BOOST_TEST(page.names.size() == 5U);
  const std::vector<core::StoreChange> unpacked = core::UnpackBackends(page);
  BOOST_REQUIRE(unpacked.size() == backends.size());
  for (std::size_t i = 0; i < backends.size(); ++i) {
    BOOST_TEST(unpacked[i].key == backends[i].key);
    BOOST_TEST(unpacked[i].revision == backends[i].revision);
    BOOST_TEST((std::get<core::Registration>(unpacked[i].item) ==
                std::get<core::Registration>(backends[i].item)));
  }
  BOOST_TEST(core::GetLastKey(page) == backends.back().key);
}

BOOST_AUTO_TEST_CASE(an_empty_page_ends_where_it_began)
{
  core::ViewPage page;
  page.afterKey = "servers/i-7";
  core::PackBackends({}, page);
  BOOST_TEST(core::UnpackBackends(page).empty());
  BOOST_TEST(core::GetLastKey(page) == "servers/i-7");
}

BOOST_AUTO_TEST_CASE(one_back_end_alone_keeps_its_key)
{
  core::ViewPage page;
  core::PackBackends({ SomeBackends().front() }, page);
  BOOST_TEST(core::UnpackBackends(page).at(0).key == "servers/i-10");
}

BOOST_AUTO_TEST_CASE(what_makes_no_sense_is_left_out)
{
  core::ViewPage page;
  core::PackBackends(SomeBackends(), page);
  page.backends[0].service = 99;
  page.backends[1].zone = 99;
  page.backends[2].softwareVersion = 99;
  page.backends[3].address = { 1, 2, 3 };
  BOOST_TEST(core::UnpackBackends(page).size() == page.backends.size() - 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
