/// Admin pages with text from outside the process.
#include <boost/test/unit_test.hpp>

#include "core/domains/serving_readiness.h"
#include "daemon/json_page.h"
#include "daemon/zone_page.h"

namespace cobaltgauge::tests {
namespace {

BOOST_AUTO_TEST_SUITE(PagesTest)

// Guards against the end of the process by the exception that strict output throws.
BOOST_AUTO_TEST_CASE(invalid_text_is_replaced) {
  const std::string page = daemon::renderJson(nlohmann::json{{"zone", "\xff\xfe"}});
  BOOST_TEST(page == "{\n  \"zone\": \"\xef\xbf\xbd\xef\xbf\xbd\"\n}\n");
}

BOOST_AUTO_TEST_CASE(zone_page_shows_zones_with_invalid_text) {
  core::ZoneEvacuations evacuations;
  evacuations.Put("op/evacuate/\xff", "\xff", 3);
  const core::ServingReadiness serving;
  const std::string page = daemon::zonePage(evacuations, 3, true, serving);
  BOOST_TEST(page.find("\"zone\": \"\xef\xbf\xbd\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
