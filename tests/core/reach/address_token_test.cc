#include "core/reach/address_token.h"

#include <boost/test/unit_test.hpp>

#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::uint64_t kSeed = 42;

core::Endpoint At(std::uint8_t first,
                  std::uint8_t second,
                  std::uint8_t third,
                  std::uint8_t fourth,
                  std::uint16_t port)
{
  core::Endpoint endpoint;
  endpoint.address.bytes = { first, second, third, fourth };
  endpoint.port = port;
  return endpoint;
}

const core::IpAddress kHome = At(10, 1, 0, 33, 0).address;

BOOST_AUTO_TEST_SUITE(AddressTokenTest)

BOOST_AUTO_TEST_CASE(a_token_gives_the_address_back_at_another_daemon)
{
  const core::AddressTokenCodec writer(kHome, kSeed);
  const core::AddressTokenCodec reader(At(10, 9, 8, 7, 0).address, kSeed);
  for (std::uint16_t port = 1; port < 60000; port += 777) {
    const core::Endpoint backend = At(10, 3, 64, 21, port);
    const auto token = writer.Encode(backend);
    BOOST_REQUIRE(token.has_value());
    BOOST_TEST((reader.Decode(*token, port) == backend));
  }
}

BOOST_AUTO_TEST_CASE(addresses_that_do_not_fit_get_no_token)
{
  const core::AddressTokenCodec codec(kHome, kSeed);
  BOOST_TEST(!codec.Encode(At(11, 1, 0, 1, 80)).has_value());
  core::Endpoint v6 = At(10, 1, 0, 1, 80);
  v6.address.isV6 = true;
  BOOST_TEST(!codec.Encode(v6).has_value());
  const core::AddressTokenCodec v6Home(v6.address, kSeed);
  BOOST_TEST(!v6Home.Encode(At(10, 1, 0, 1, 80)).has_value());
  BOOST_TEST(
    !v6Home.Decode(core::SteeringToken{ 0x010203ff }, 80).has_value());
}

BOOST_AUTO_TEST_CASE(no_token_is_no_address)
{
  const core::AddressTokenCodec codec(kHome, kSeed);
  for (std::uint16_t port = 1; port < 2000; ++port) {
    BOOST_TEST(!codec.Decode(core::kNoToken, port).has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_wrong_port_fits_about_once_in_256)
{
  const core::AddressTokenCodec codec(kHome, kSeed);
  const auto token = codec.Encode(At(10, 1, 64, 5, 8488));
  const core::PortCheck check = codec.GetPortCheck(*token);
  int fitting = 0;
  for (std::uint32_t port = 0; port <= 65535; ++port) {
    fitting += check.Fits(static_cast<std::uint16_t>(port)) ? 1 : 0;
  }
  BOOST_TEST(fitting > 128);
  BOOST_TEST(fitting < 512);
}

BOOST_AUTO_TEST_CASE(daemons_of_another_cluster_do_not_read_it)
{
  const core::AddressTokenCodec codec(kHome, kSeed);
  const core::AddressTokenCodec stranger(kHome, kSeed + 1);
  int read = 0;
  for (std::uint8_t host = 1; host < 200; ++host) {
    const auto token = codec.Encode(At(10, 1, 64, host, 8488));
    read += stranger.Decode(*token, 8488).has_value() ? 1 : 0;
  }
  BOOST_TEST(read < 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
