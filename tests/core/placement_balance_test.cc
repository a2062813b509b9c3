// Balance of backend load across many daemons with few flows each.
#include <cmath>
#include <map>

#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;

constexpr std::size_t kZones = 5;

/// Assigns backends of the first zone eight times the weight of others, as daemons of that zone do.
class PreferFirstZoneWeights : public core::PlacementWeights {
 public:
  std::uint32_t weightOf(const core::Registration& registration) override {
    return registration.zone == "0" ? 800 : 100;
  }
};

/// Creates registrations in random zones, independent of the order of keys.
std::vector<core::Registration> makeBackends(std::size_t count, sim::SeededRandom& random) {
  std::vector<core::Registration> backends;
  for (std::size_t i = 0; i < count; ++i) {
    backends.push_back(makeRegistration(i + 1, "web", static_cast<std::uint8_t>(1 + i / 200),
                                        static_cast<std::uint8_t>(1 + i % 200)));
    backends.back().zone = std::to_string(random.below(kZones));
  }
  return backends;
}

/// Opens `flowsEach` flows at each of `daemons` daemons of the first zone. @return flows by
/// backend.
std::map<BackendId, double> openFlows(const std::vector<core::Registration>& backends,
                                      std::size_t daemons, std::size_t flowsEach) {
  std::map<BackendId, double> flows;
  PreferFirstZoneWeights weights;
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    sim::SeededRandom random(daemon);
    core::TokenSteering steering(core::TokenSteeringOptions{}, weights, random);
    core::Time now = 100s;
    steering.setViewState(true, true);
    steering.routes().offer(makeRoutes(1, {{1, "web"}}), now);
    core::Revision revision = 0;
    for (const core::Registration& backend : backends) {
      steering.backends().put(TokenFixture::keyOf(static_cast<std::uint64_t>(backend.id)), backend,
                              ++revision, now);
    }
    for (std::size_t flow = 0; flow < flowsEach; ++flow) {
      now += 200ms;
      const auto port = static_cast<std::uint16_t>(flow + 1);
      const core::Verdict verdict =
          steering.onPacket(TokenFixture::packet(port, core::PacketKind::kOpening), now);
      flows[TokenFixture::backendOf(verdict)] += 1;
    }
  }
  return flows;
}

BOOST_AUTO_TEST_SUITE(PlacementBalanceTest)

// Guards against imbalance from comparing backends with adjacent keys, which favors a backend whose
// neighbors are in other zones.
BOOST_AUTO_TEST_CASE(placement_is_independent_of_key_order) {
  sim::SeededRandom random(1);
  const std::vector<core::Registration> backends = makeBackends(480, random);
  const std::map<BackendId, double> flows = openFlows(backends, 60, 60);
  double count = 0;
  double mean = 0;
  for (const core::Registration& backend : backends) {
    if (backend.zone == "0") {
      count += 1;
      mean += flows.contains(backend.id) ? flows.at(backend.id) : 0;
    }
  }
  mean /= count;
  double variance = 0;
  for (const core::Registration& backend : backends) {
    if (backend.zone == "0") {
      const double own = flows.contains(backend.id) ? flows.at(backend.id) : 0;
      variance += (own - mean) * (own - mean) / count;
    }
  }
  // The variance of random placement equals the mean. The bound is three standard errors above.
  BOOST_TEST(variance < mean * (1 + 3 * std::sqrt(2 / count)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
