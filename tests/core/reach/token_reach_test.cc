#include "core/reach/token_reach.h"

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

BOOST_AUTO_TEST_SUITE(TokenReachTest)

BOOST_AUTO_TEST_CASE(a_registered_port_resolves_tokens_of_unknown_hosts)
{
  core::TokenReach reach(kCodec);
  reach.AddPort(kPort);
  BOOST_TEST((reach.Resolve(TokenOfHost(9)) == endpoint(1, 9, kPort)));
  BOOST_TEST(!reach.TakeFoundPort().has_value());
}

BOOST_AUTO_TEST_CASE(tokens_of_four_hosts_tell_the_port)
{
  core::TokenReach reach(kCodec);
  for (std::uint8_t host = 1; host < core::kMinHostsForPort; ++host) {
    BOOST_TEST(!reach.Resolve(TokenOfHost(host)).has_value());
    // One host's packets say nothing more, however many.
    BOOST_TEST(!reach.Resolve(TokenOfHost(host)).has_value());
  }
  BOOST_TEST((reach.Resolve(TokenOfHost(4)) == endpoint(1, 4, kPort)));
  BOOST_TEST((reach.TakeFoundPort() == kPort));
  BOOST_TEST(!reach.TakeFoundPort().has_value());
  BOOST_TEST((reach.Resolve(TokenOfHost(1)) == endpoint(1, 1, kPort)));
}

BOOST_AUTO_TEST_CASE(every_port_is_found)
{
  for (std::uint32_t port = 1; port <= 65535; port += 997) {
    core::TokenReach reach(kCodec);
    std::optional<std::uint16_t> found;
    for (std::uint8_t host = 1; host <= 8 && !found; ++host) {
      reach.Resolve(TokenOfHost(host, static_cast<std::uint16_t>(port)));
      found = reach.TakeFoundPort();
    }
    BOOST_TEST((found == port));
  }
}

BOOST_AUTO_TEST_CASE(tokens_of_another_form_do_not_mislead)
{
  core::TokenReach reach(kCodec);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    BOOST_TEST(!reach.Resolve(HashToken(id)).has_value());
  }
  BOOST_TEST(!reach.TakeFoundPort().has_value());
}

BOOST_AUTO_TEST_CASE(a_quarter_of_another_form_does_not_hide_the_port)
{
  core::TokenReach reach(kCodec);
  reach.Resolve(HashToken(1));
  for (std::uint8_t host = 1; host <= 4; ++host) {
    reach.Resolve(TokenOfHost(host));
  }
  BOOST_TEST((reach.TakeFoundPort() == kPort));
}

BOOST_AUTO_TEST_CASE(a_token_that_two_ports_fit_is_not_resolved)
{
  std::uint16_t other = kPort + 1;
  const core::PortCheck check = kCodec.GetPortCheck(TokenOfHost(1));
  while (!check.Fits(other)) {
    ++other;
  }
  core::TokenReach reach(kCodec);
  reach.AddPort(kPort);
  reach.AddPort(other);
  BOOST_TEST(!reach.Resolve(TokenOfHost(1)).has_value());
}

BOOST_AUTO_TEST_CASE(the_latest_ports_are_kept)
{
  core::TokenReach reach(kCodec);
  for (std::uint16_t port = 1; port <= core::kMaxCandidatePorts + 1; ++port) {
    reach.AddPort(port);
  }
  BOOST_TEST(!reach.Resolve(TokenOfHost(1, 1)).has_value());
  BOOST_TEST((reach.Resolve(TokenOfHost(1, 5)) == endpoint(1, 1, 5)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
