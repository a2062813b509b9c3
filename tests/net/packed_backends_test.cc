#include "net/packed_backends.h"

#include <boost/test/unit_test.hpp>

#include "net/peer_codec.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

std::vector<core::ViewBackend> makeBackends() {
  std::vector<core::ViewBackend> backends;
  for (std::uint64_t id = 10; id < 40; ++id) {
    core::ViewBackend backend;
    backend.key = "servers/i-" + std::to_string(id);
    backend.revision = 900 - id;
    backend.id = core::BackendId{id};
    backend.service = id % 3 == 0 ? "web" : "api";
    backend.endpoint = endpoint(1, 9, 8000);
    backend.zone = id % 2 == 0 ? "a" : "b";
    backend.softwareVersion = "v7";
    backend.capacity = 2;
    backend.draining = id % 5 == 0;
    backend.remainingWarmUpMs = static_cast<std::uint32_t>(id);
    backend.startedAtMs = 1'700'000'000'000 + id;
    backends.push_back(backend);
  }
  backends[4].revision = 3;
  backends[5].endpoint.address.isV6 = true;
  backends[5].endpoint.address.bytes.fill(0xfe);
  return backends;
}

void checkEqual(const core::ViewBackend& left, const core::ViewBackend& right) {
  BOOST_TEST(left.key == right.key);
  BOOST_TEST(left.revision == right.revision);
  BOOST_TEST((left.id == right.id));
  BOOST_TEST(left.service == right.service);
  BOOST_TEST((left.endpoint == right.endpoint));
  BOOST_TEST(left.zone == right.zone);
  BOOST_TEST(left.softwareVersion == right.softwareVersion);
  BOOST_TEST(left.capacity == right.capacity);
  BOOST_TEST(left.draining == right.draining);
  BOOST_TEST(left.remainingWarmUpMs == right.remainingWarmUpMs);
  BOOST_TEST(left.startedAtMs == right.startedAtMs);
}

BOOST_AUTO_TEST_SUITE(PackedBackendsTest)

BOOST_AUTO_TEST_CASE(packed_backends_round_trip) {
  const std::vector<core::ViewBackend> backends = makeBackends();
  const net::PackedBackends packed = net::packBackends(backends);
  BOOST_TEST(packed.keyPrefix == "servers/i-");
  BOOST_TEST(packed.names.size() == 5U);
  const auto unpacked = net::unpackBackends(packed);
  BOOST_REQUIRE(unpacked.has_value());
  BOOST_REQUIRE(unpacked->size() == backends.size());
  for (std::size_t i = 0; i < backends.size(); ++i) {
    checkEqual(unpacked->at(i), backends[i]);
  }
}

BOOST_AUTO_TEST_CASE(empty_and_single_lists_round_trip) {
  BOOST_TEST(net::unpackBackends(net::packBackends({}))->empty());
  const core::ViewBackend one = makeBackends().front();
  checkEqual(net::unpackBackends(net::packBackends({one}))->at(0), one);
}

BOOST_AUTO_TEST_CASE(invalid_indices_and_addresses_are_rejected) {
  const auto isRejected = [](auto change) {
    net::PackedBackends packed = net::packBackends(makeBackends());
    change(packed.backends[3]);
    return !net::unpackBackends(packed).has_value();
  };
  BOOST_TEST(isRejected([](net::PackedBackend& item) { item.service = 99; }));
  BOOST_TEST(isRejected([](net::PackedBackend& item) { item.zone = 99; }));
  BOOST_TEST(isRejected([](net::PackedBackend& item) { item.softwareVersion = 99; }));
  BOOST_TEST(isRejected([](net::PackedBackend& item) { item.address = {1, 2, 3}; }));
}

BOOST_AUTO_TEST_CASE(view_page_takes_at_most_50_bytes_per_backend) {
  constexpr std::size_t kBackends = 500;
  core::ViewPage page;
  for (std::uint64_t id = 0; id < kBackends; ++id) {
    core::ViewBackend backend = makeBackends().front();
    backend.key = "servers/i-1fa13cd" + std::to_string(100 + id);
    backend.id = core::BackendId{0x1fa13cd000 + id};
    backend.revision = 40'000 + id;
    backend.endpoint =
        endpoint(static_cast<std::uint8_t>(id / 200), static_cast<std::uint8_t>(id % 200), 8000);
    page.backends.push_back(backend);
  }
  net::PeerCodec codec("test", "key", core::MemberId{1});
  const std::vector<std::uint8_t> bytes = codec.encode(page);
  BOOST_TEST(bytes.size() <= kBackends * 50);
  const auto received = codec.decode(bytes);
  BOOST_REQUIRE(received.has_value());
  const auto& decodedPage = std::get<core::ViewPage>(received->frame);
  BOOST_REQUIRE(decodedPage.backends.size() == kBackends);
  checkEqual(decodedPage.backends.back(), page.backends.back());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
