/// Every way that an opening takes, while operators have taken zones out.
#include "core/constants.h"
#include "core/token_steering.h"
#include "core/view_conversion.h"
#include "core/view_updater.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;
using core::RefuseReason;
using core::RouteReason;

/// Back ends 1 to 3 of "web" in zone "a", and 11 to 13 in zone "b".
struct EvacuationFixture : TokenFixture
{
  core::ViewUpdater Updater{ this->steering.backends(),
                             this->steering.routes(),
                             [this](const core::ViewChange& change) {
                               this->Reports.push_back(change);
                             } };
  std::vector<core::ViewChange> Reports;

  EvacuationFixture()
  {
    for (std::uint8_t host = 11; host <= 13; ++host) {
      this->putInZone("b", host);
    }
  }

  void Evacuate(const std::string& zone)
  {
    this->Take("evacuate/" + zone, core::ZoneEvacuation{ zone });
  }
  void TakeBack(const std::string& zone)
  {
    this->Take("evacuate/" + zone, core::RemovedItem{});
  }
  void Take(const std::string& key, decltype(core::StoreChange::item) item)
  {
    this->Updater.onChange({ key, ++this->revision, std::move(item) },
                           this->now);
  }

  static bool IsInB(BackendId id)
  {
    return static_cast<std::uint64_t>(id) > 10;
  }

  /// Count openings of 60 that go to zone "b".
  int CountInB(std::uint16_t firstPort)
  {
    int count = 0;
    for (std::uint16_t port = firstPort; port < firstPort + 60; ++port) {
      this->now += 100ms;
      count += IsInB(this->openAndAnswer(port)) ? 1 : 0;
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(EvacuatedOpeningsTest, EvacuationFixture)

BOOST_AUTO_TEST_CASE(no_opening_goes_to_a_zone_until_it_is_taken_back)
{
  BOOST_TEST(this->CountInB(100) > 0);
  this->Evacuate("b");
  BOOST_TEST(this->CountInB(200) == 0);
  this->TakeBack("b");
  BOOST_TEST(this->CountInB(300) > 0);
  BOOST_TEST_REQUIRE(this->Reports.size() == 2U);
  BOOST_TEST(
    (this->Reports[0].kind == core::ViewChange::Kind::kEvacuationBegan));
  BOOST_TEST(
    (this->Reports[1].kind == core::ViewChange::Kind::kEvacuationEnded));
  BOOST_TEST(this->Reports[1].zone == "b");
}

BOOST_AUTO_TEST_CASE(open_flows_stay)
{
  std::uint16_t port = 100;
  while (!IsInB(this->openAndAnswer(++port))) {
    this->now += 100ms;
  }
  const BackendId backend = this->steering.lastDecision().backend;
  this->Evacuate("b");
  this->now += 1s;
  this->steering.onTick(this->now);
  BOOST_TEST((backendOf(this->send(port, backend, 2, 10)) == backend));
  BOOST_TEST(this->steering.takeResets().empty());
}

BOOST_AUTO_TEST_CASE(a_repeated_opening_leaves_the_zone)
{
  std::uint16_t port = 100;
  while (!IsInB(backendOf(this->open(++port)))) {
    this->now += 100ms;
  }
  this->Evacuate("b");
  // Not long enough for the first back end to be suspected.
  this->now += 100ms;
  const core::Verdict repeated = this->open(port, 1);
  BOOST_TEST(!IsInB(backendOf(repeated)));
  BOOST_TEST((ruleOf(repeated) == RouteReason::kReplaced));
}

BOOST_AUTO_TEST_CASE(a_back_end_that_registers_in_the_zone_gets_none)
{
  this->Evacuate("b");
  this->putInZone("b", 14);
  BOOST_TEST(this->CountInB(100) == 0);
}

BOOST_AUTO_TEST_CASE(lapsed_registrations_of_the_zone_get_none)
{
  this->Evacuate("b");
  for (const std::uint64_t id : { 1, 2, 3, 11, 12, 13 }) {
    this->steering.backends().remove(keyOf(id), ++this->revision, this->now);
  }
  int placed = 0;
  for (std::uint16_t port = 100; port < 115; ++port) {
    this->now += 100ms;
    const core::Verdict verdict = this->open(port);
    if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
      BOOST_TEST(!IsInB(forward->backend.id));
      ++placed;
    }
  }
  BOOST_TEST(placed > 0);
}

BOOST_AUTO_TEST_CASE(another_part_of_a_split_takes_over)
{
  core::RouteSet set;
  set.version = 2;
  set.routes.push_back(
    { "r", endpoint(90, 1, 443), { { "web", 1 }, { "api", 1 } } });
  this->steering.routes().offer(set, this->now);
  this->putInZone("b", 21, "api");
  this->Evacuate("b");
  BOOST_TEST(this->CountInB(100) == 0);
}

BOOST_AUTO_TEST_CASE(with_all_zones_out_an_opening_is_refused_at_once)
{
  this->Evacuate("a");
  this->Evacuate("b");
  BOOST_TEST((refusalOf(this->open(100)) == RefuseReason::kEvacuated));
  const core::Verdict refusal = this->open(101);
  BOOST_TEST((std::get<core::Refuse>(refusal).certainty ==
              core::RefusalCertainty::kNotRun));
}

// Its first copy may have been answered through another daemon: a reset would
// break the flow.
BOOST_AUTO_TEST_CASE(a_repeated_opening_is_not_refused_at_once)
{
  this->Evacuate("a");
  this->Evacuate("b");
  BOOST_TEST((dropOf(this->open(100, 1)) == DropReason::kEmptyService));
  this->now += core::kEmptyServicePatience;
  BOOST_TEST((refusalOf(this->open(101, 1)) == RefuseReason::kNoBackend));
}

BOOST_AUTO_TEST_CASE(a_view_that_may_be_old_refuses_nothing)
{
  this->Evacuate("a");
  this->Evacuate("b");
  this->steering.setViewState(true, false);
  BOOST_TEST((dropOf(this->open(100)) == DropReason::kStaleView));
}

// Changes of one batch may come in any order of their kinds.
BOOST_AUTO_TEST_CASE(a_zone_that_is_out_again_at_once_stays_out)
{
  core::ViewUpdate update;
  update.evacuations.push_back({ "evacuate/b", 100, "b" });
  update.removals.push_back({ "evacuate/b", 101 });
  for (const core::StoreChange& change : core::toStoreChanges(update)) {
    this->Updater.onChange(change, this->now);
  }
  BOOST_TEST(!this->steering.backends().evacuations().IsEvacuated("b"));
  update.evacuations.push_back({ "evacuate/b", 102, "b" });
  for (const core::StoreChange& change : core::toStoreChanges(update)) {
    this->Updater.onChange(change, this->now);
  }
  BOOST_TEST(this->steering.backends().evacuations().IsEvacuated("b"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
