#include "core/tokens/token_resolver.h"

#include <boost/test/unit_test.hpp>

#include "core/backend_registry.h"
#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::uint64_t kSeed = 42;
constexpr std::uint16_t kPort = 8000;

const core::AddressTokenCodec kCodec(endpoint(1, 1, 0).address, kSeed);

core::SteeringToken TokenOfHost(std::uint8_t host, std::uint16_t port = kPort)
{
  return *kCodec.Encode(endpoint(1, host, port));
}

core::SteeringToken HashToken(std::uint64_t id)
{
  return core::HashTokenOf(core::BackendId{ id });
}

BOOST_AUTO_TEST_SUITE(TokenResolverTest)

BOOST_AUTO_TEST_CASE(registered_port_resolves_tokens_of_unknown_hosts)
{
  core::TokenResolver resolver(kCodec);
  resolver.AddPort(kPort);
  BOOST_TEST((resolver.Resolve(TokenOfHost(9)) == endpoint(1, 9, kPort)));
  BOOST_TEST(!resolver.TakeFoundPort().has_value());
}

BOOST_AUTO_TEST_CASE(port_is_inferred_from_tokens_of_four_hosts)
{
  core::TokenResolver resolver(kCodec);
  for (std::uint8_t host = 1; host < core::kMinHostsForPort; ++host) {
    BOOST_TEST(!resolver.Resolve(TokenOfHost(host)).has_value());
    // Repeated tokens of a host are ignored.
    BOOST_TEST(!resolver.Resolve(TokenOfHost(host)).has_value());
  }
  BOOST_TEST((resolver.Resolve(TokenOfHost(4)) == endpoint(1, 4, kPort)));
  BOOST_TEST((resolver.TakeFoundPort() == kPort));
  BOOST_TEST(!resolver.TakeFoundPort().has_value());
  BOOST_TEST((resolver.Resolve(TokenOfHost(1)) == endpoint(1, 1, kPort)));
}

BOOST_AUTO_TEST_CASE(any_port_is_inferred)
{
  for (std::uint32_t port = 1; port <= 65535; port += 997) {
    core::TokenResolver resolver(kCodec);
    std::optional<std::uint16_t> found;
    for (std::uint8_t host = 1; host <= 8 && !found; ++host) {
      resolver.Resolve(TokenOfHost(host, static_cast<std::uint16_t>(port)));
      found = resolver.TakeFoundPort();
    }
    BOOST_TEST((found == port));
  }
}

BOOST_AUTO_TEST_CASE(hash_tokens_do_not_yield_a_port)
{
  core::TokenResolver resolver(kCodec);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    BOOST_TEST(!resolver.Resolve(HashToken(id)).has_value());
  }
  BOOST_TEST(!resolver.TakeFoundPort().has_value());
}

BOOST_AUTO_TEST_CASE(port_is_inferred_despite_hash_tokens)
{
  core::TokenResolver resolver(kCodec);
  resolver.Resolve(HashToken(1));
  for (std::uint8_t host = 1; host <= 4; ++host) {
    resolver.Resolve(TokenOfHost(host));
  }
  BOOST_TEST((resolver.TakeFoundPort() == kPort));
}

BOOST_AUTO_TEST_CASE(ambiguous_port_is_not_resolved)
{
  std::uint16_t other = kPort + 1;
  const core::PortCheck check = kCodec.GetPortCheck(TokenOfHost(1));
  while (!check.Matches(other)) {
    ++other;
  }
  core::TokenResolver resolver(kCodec);
  resolver.AddPort(kPort);
  resolver.AddPort(other);
  BOOST_TEST(!resolver.Resolve(TokenOfHost(1)).has_value());
}

BOOST_AUTO_TEST_CASE(latest_ports_are_kept)
{
  core::TokenResolver resolver(kCodec);
  for (std::uint16_t port = 1; port <= core::kMaxCandidatePorts + 1; ++port) {
    resolver.AddPort(port);
  }
  BOOST_TEST(!resolver.Resolve(TokenOfHost(1, 1)).has_value());
  BOOST_TEST((resolver.Resolve(TokenOfHost(1, 5)) == endpoint(1, 1, 5)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
