/// Placement of connection attempts while zones are evacuated.
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

/// Backends 1 to 3 of "web" are in zone "a", 11 to 13 in zone "b".
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
      this->putBackendInZone("b", host);
    }
  }

  void Evacuate(const std::string& zone)
  {
    this->ApplyChange("evacuate/" + zone, core::ZoneEvacuation{ zone });
  }
  void Restore(const std::string& zone)
  {
    this->ApplyChange("evacuate/" + zone, core::RemovedItem{});
  }
  void ApplyChange(const std::string& key,
                   decltype(core::StoreChange::item) item)
  {
    this->Updater.onChange({ key, ++this->revision, std::move(item) },
                           this->now);
  }

  static bool IsInB(BackendId id)
  {
    return static_cast<std::uint64_t>(id) > 10;
  }

  /// Returns how many of 60 attempts go to zone "b".
  int CountInB(std::uint16_t firstPort)
  {
    int count = 0;
    for (std::uint16_t port = firstPort; port < firstPort + 60; ++port) {
      this->now += 100ms;
      count += IsInB(this->establishFlow(port)) ? 1 : 0;
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(EvacuatedOpeningsTest, EvacuationFixture)

BOOST_AUTO_TEST_CASE(evacuated_zone_gets_no_opening_until_restored)
{
  BOOST_TEST(this->CountInB(100) > 0);
  this->Evacuate("b");
  BOOST_TEST(this->CountInB(200) == 0);
  this->Restore("b");
  BOOST_TEST(this->CountInB(300) > 0);
  BOOST_TEST_REQUIRE(this->Reports.size() == 2U);
  BOOST_TEST(
    (this->Reports[0].kind == core::ViewChange::Kind::kEvacuationBegan));
  BOOST_TEST(
    (this->Reports[1].kind == core::ViewChange::Kind::kEvacuationEnded));
  BOOST_TEST(this->Reports[1].zone == "b");
}

BOOST_AUTO_TEST_CASE(established_flows_stay)
{
  std::uint16_t port = 100;
  while (!IsInB(this->establishFlow(++port))) {
    this->now += 100ms;
  }
  const BackendId backend = this->steering.lastDecision().backend;
  this->Evacuate("b");
  this->now += 1s;
  this->steering.onTick(this->now);
  BOOST_TEST((backendOf(this->send(port, backend, 2, 10)) == backend));
  BOOST_TEST(this->steering.takeResets().empty());
}

BOOST_AUTO_TEST_CASE(retransmitted_opening_moves_out_of_the_zone)
{
  std::uint16_t port = 100;
  while (!IsInB(backendOf(this->open(++port)))) {
    this->now += 100ms;
  }
  this->Evacuate("b");
  // Too short for the first backend to be suspected.
  this->now += 100ms;
  const core::Verdict repeated = this->open(port, 1);
  BOOST_TEST(!IsInB(backendOf(repeated)));
  BOOST_TEST((routeReasonOf(repeated) == RouteReason::kReplaced));
}

BOOST_AUTO_TEST_CASE(backend_registered_in_an_evacuated_zone_gets_no_opening)
{
  this->Evacuate("b");
  this->putBackendInZone("b", 14);
  BOOST_TEST(this->CountInB(100) == 0);
}

BOOST_AUTO_TEST_CASE(expired_registrations_in_an_evacuated_zone_get_no_opening)
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

BOOST_AUTO_TEST_CASE(other_service_of_a_split_takes_over)
{
  core::RouteSet set;
  set.version = 2;
  set.routes.push_back(
    { "r", endpoint(90, 1, 443), { { "web", 1 }, { "api", 1 } } });
  this->steering.routes().offer(set, this->now);
  this->putBackendInZone("b", 21, "api");
  this->Evacuate("b");
  BOOST_TEST(this->CountInB(100) == 0);
}

BOOST_AUTO_TEST_CASE(opening_is_refused_if_all_zones_are_evacuated)
{
  this->Evacuate("a");
  this->Evacuate("b");
  BOOST_TEST((refuseReasonOf(this->open(100)) == RefuseReason::kEvacuated));
  const core::Verdict refusal = this->open(101);
  BOOST_TEST((std::get<core::Refuse>(refusal).certainty ==
              core::RefusalCertainty::kNotRun));
}

// Another daemon may have forwarded the first transmission; a reset would
// break that flow.
BOOST_AUTO_TEST_CASE(retransmitted_opening_is_not_refused_immediately)
{
  this->Evacuate("a");
  this->Evacuate("b");
  BOOST_TEST((dropReasonOf(this->open(100, 1)) == DropReason::kEmptyService));
  this->now += core::kEmptyServiceGracePeriod;
  BOOST_TEST((refuseReasonOf(this->open(101, 1)) == RefuseReason::kNoBackend));
}

BOOST_AUTO_TEST_CASE(stale_view_refuses_nothing)
{
  this->Evacuate("a");
  this->Evacuate("b");
  this->steering.setViewState(true, false);
  BOOST_TEST((dropReasonOf(this->open(100)) == DropReason::kStaleView));
}

// An update groups its changes by kind, not by revision.
BOOST_AUTO_TEST_CASE(changes_in_one_update_apply_by_revision)
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
