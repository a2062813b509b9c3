#include "core/tokens/address_token.h"

#include <boost/test/unit_test.hpp>

#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::uint64_t kSeed = 42;

core::Endpoint MakeEndpoint(std::uint8_t first,
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

const core::IpAddress kLocalAddress = MakeEndpoint(10, 1, 0, 33, 0).address;

BOOST_AUTO_TEST_SUITE(AddressTokenTest)

BOOST_AUTO_TEST_CASE(another_daemon_decodes_the_address)
{
  const core::AddressTokenCodec writer(kLocalAddress, kSeed);
  const core::AddressTokenCodec reader(MakeEndpoint(10, 9, 8, 7, 0).address,
                                       kSeed);
  for (std::uint16_t port = 1; port < 60000; port += 777) {
    const core::Endpoint backend = MakeEndpoint(10, 3, 64, 21, port);
    const auto token = writer.Encode(backend);
    BOOST_REQUIRE(token.has_value());
    BOOST_TEST((reader.Decode(*token, port) == backend));
  }
}

BOOST_AUTO_TEST_CASE(unencodable_addresses_have_no_token)
{
  const core::AddressTokenCodec codec(kLocalAddress, kSeed);
  BOOST_TEST(!codec.Encode(MakeEndpoint(11, 1, 0, 1, 80)).has_value());
  core::Endpoint v6 = MakeEndpoint(10, 1, 0, 1, 80);
  v6.address.isV6 = true;
  BOOST_TEST(!codec.Encode(v6).has_value());
  const core::AddressTokenCodec v6Codec(v6.address, kSeed);
  BOOST_TEST(!v6Codec.Encode(MakeEndpoint(10, 1, 0, 1, 80)).has_value());
  BOOST_TEST(
    !v6Codec.Decode(core::SteeringToken{ 0x010203ff }, 80).has_value());
}

BOOST_AUTO_TEST_CASE(empty_token_is_not_decoded)
{
  const core::AddressTokenCodec codec(kLocalAddress, kSeed);
  for (std::uint16_t port = 1; port < 2000; ++port) {
    BOOST_TEST(!codec.Decode(core::kNoToken, port).has_value());
  }
}

BOOST_AUTO_TEST_CASE(wrong_port_matches_about_once_in_256)
{
  const core::AddressTokenCodec codec(kLocalAddress, kSeed);
  const auto token = codec.Encode(MakeEndpoint(10, 1, 64, 5, 8488));
  const core::PortCheck check = codec.GetPortCheck(*token);
  int matching = 0;
  for (std::uint32_t port = 0; port <= 65535; ++port) {
    matching += check.Matches(static_cast<std::uint16_t>(port)) ? 1 : 0;
  }
  BOOST_TEST(matching > 128);
  BOOST_TEST(matching < 512);
}

BOOST_AUTO_TEST_CASE(another_cluster_does_not_decode_the_token)
{
  const core::AddressTokenCodec codec(kLocalAddress, kSeed);
  const core::AddressTokenCodec otherCluster(kLocalAddress, kSeed + 1);
  int decoded = 0;
  for (std::uint8_t host = 1; host < 200; ++host) {
    const auto token = codec.Encode(MakeEndpoint(10, 1, 64, host, 8488));
    decoded += otherCluster.Decode(*token, 8488).has_value() ? 1 : 0;
  }
  BOOST_TEST(decoded < 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
