/// @file
/// Placement of openings while the preferred zone is overloaded.
#include "core/hashing.h"
#include "core/placement/placement_limits.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

/// Prefers zone "a" with eight times the weight of others.
struct PreferZoneA : core::PlacementWeights
{
  std::uint32_t weightOf(const core::Registration& registration) override
  {
    return registration.zone == "never" ? 0
      : registration.zone == "a"        ? 800
                                        : 100;
  }
};

struct FixedZoneCapacity : core::CapacityView
{
  std::map<core::ZoneId, core::ZoneCapacity> Zones;

  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
                                                    core::ZoneId zone,
                                                    core::Time) const override
  {
    const auto found = this->Zones.find(zone);
    return found == this->Zones.end() ? std::nullopt
                                      : std::optional(found->second);
  }
  void SetLoad(const std::string& zone, double inFlight)
  {
    this->Zones[core::zoneIdOf(zone)] = { inFlight, 0, 300ms };
  }
};

constexpr std::uint8_t kBackendsPerZone = 10;
constexpr double kLowLoad = 0.2;
constexpr double kOverload = 4;

struct SpillFixture
{
  sim::SeededRandom Random{ 1 };
  PreferZoneA Weights;
  core::TokenSteering Steering{ core::TokenSteeringOptions{},
                                Weights,
                                Random };
  FixedZoneCapacity Capacity;
  core::Time Now = 100s;
  core::Revision Revision = 0;
  std::uint16_t Port = 1000;
  std::map<std::string, int> Placed;

  SpillFixture()
  {
    this->Steering.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
    this->Steering.setViewState(true, true);
    this->Steering.spillover().AddSource(this->Capacity);
    for (const char* zone : { "a", "b", "c" }) {
      this->Put(zone);
      this->Capacity.SetLoad(zone, kLowLoad);
    }
  }

  void Put(const std::string& zone,
           std::chrono::milliseconds remainingWarmUp = 0ms)
  {
    for (std::uint8_t host = 0; host < kBackendsPerZone; ++host) {
      const std::uint64_t id = (++this->Revision).number;
      core::Registration item =
        makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id));
      item.zone = zone;
      item.remainingWarmUp = remainingWarmUp;
      this->Steering.backends().put(
        "servers/" + std::to_string(id), item, id, this->Now);
      this->Zones[item.id] = zone;
    }
  }

  /// Open flows that end at once for eight seconds, and count those of the
  /// last four by zone.
  void PlaceOpenings()
  {
    for (int opening = 0; opening < 800; ++opening) {
      if (opening == 400) {
        this->Placed.clear();
      }
      this->Now += 10ms;
      core::PacketSummary packet =
        TokenFixture::packet(++this->Port, core::PacketKind::kOpening);
      const core::Verdict verdict = this->Steering.onPacket(packet, this->Now);
      const core::BackendId backend = TokenFixture::backendOf(verdict);
      ++this->Placed[this->Zones.at(backend)];
      packet.token = core::HashTokenOf(backend);
      packet.kind = core::PacketKind::kContinuing;
      packet.acknowledgement = 1;
      this->Steering.onPacket(packet, this->Now);
      packet.kind = core::PacketKind::kClosing;
      this->Steering.onPacket(packet, this->Now);
    }
  }

  std::map<core::BackendId, std::string> Zones;
};

BOOST_FIXTURE_TEST_SUITE(SpilledOpeningsTest, SpillFixture)

BOOST_AUTO_TEST_CASE(PreferredZoneWithCapacityGetsMostOpenings)
{
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["a"] > 360);
  BOOST_TEST(this->Steering.spillover().CountSpilled() == 0);
}

BOOST_AUTO_TEST_CASE(OverloadedZoneSpillsToOthers)
{
  this->Capacity.SetLoad("a", kOverload);
  this->PlaceOpenings();
  // The zone stays overloaded, so its local share falls to the minimum.
  BOOST_TEST(this->Placed["a"] < 40);
  BOOST_TEST(this->Placed["a"] > 0);
  BOOST_TEST(this->Placed["b"] > 120);
  BOOST_TEST(this->Placed["c"] > 120);
  BOOST_TEST(this->Steering.spillover().CountSpilled() > 360);
}

BOOST_AUTO_TEST_CASE(OverloadedZoneReceivesNoSpillover)
{
  this->Capacity.SetLoad("a", kOverload);
  this->Capacity.SetLoad("b", kOverload);
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["b"] < 40);
  BOOST_TEST(this->Placed["c"] > 320);
}

BOOST_AUTO_TEST_CASE(ZoneWithoutStatisticsReceivesNoSpillover)
{
  this->Capacity.SetLoad("a", kOverload);
  this->Capacity.Zones.erase(core::zoneIdOf("b"));
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["b"] < 20);
  BOOST_TEST(this->Placed["c"] > 340);
}

BOOST_AUTO_TEST_CASE(WarmingUpZoneReceivesNoSpillover)
{
  this->Capacity.SetLoad("a", kOverload);
  this->Put("cold", 60000ms);
  this->Capacity.SetLoad("cold", 0);
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["cold"] < 20);
}

BOOST_AUTO_TEST_CASE(EvacuatedZoneReceivesNoOpenings)
{
  this->Capacity.SetLoad("a", kOverload);
  this->Steering.backends().putEvacuation("zones/b", "b", 1000);
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["b"] == 0);
  BOOST_TEST(this->Placed["c"] > 340);
}

BOOST_AUTO_TEST_CASE(ZeroWeightBackendsAreNeverChosen)
{
  this->Put("never");
  this->Capacity.SetLoad("never", 0);
  for (const char* zone : { "a", "b", "c" }) {
    this->Capacity.SetLoad(zone, kOverload);
  }
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["never"] == 0);
}

BOOST_AUTO_TEST_CASE(DeprioritizedBackendsReceiveNoSpillover)
{
  struct DemoteOtherZones : core::Demotion
  {
    bool IsDeprioritized(const core::PlacementCandidate& candidate,
                         core::Time) const override
    {
      return candidate.zone != core::zoneIdOf("a");
    }
  } demotion;
  this->Steering.addDemotion(demotion);
  this->Capacity.SetLoad("a", kOverload);
  this->PlaceOpenings();
  BOOST_TEST(this->Placed["a"] == 400);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
