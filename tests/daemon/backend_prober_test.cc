#include "daemon/backend_prober.h"

#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <optional>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using asio::ip::tcp;
using core::ProbeResult;

/// A listener on loopback. With a full backlog it leaves connection attempts unanswered, like a
/// failed machine.
struct Listener {
  tcp::acceptor acceptor;
  std::list<tcp::socket> fillers;

  explicit Listener(asio::io_context& context) : acceptor(context) {
    acceptor.open(tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
  }

  core::Endpoint endpoint() const {
    return *net::parseEndpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  }

  /// Fills the backlog.
  void fill(asio::io_context& context) {
    constexpr int kMoreThanBacklog = 4;
    for (int i = 0; i < kMoreThanBacklog; ++i) {
      tcp::socket& filler = fillers.emplace_back(context);
      filler.async_connect(acceptor.local_endpoint(), [](const asio::error_code&) {});
    }
  }
};

struct ProberFixture {
  asio::io_context context;
  std::optional<ProbeResult> result;
  daemon::BackendProber prober{context, [this](const core::BackendAddress&, ProbeResult found) {
                                 BOOST_TEST(!result.has_value());
                                 result = found;
                                 suspect.fillers.clear();
                                 witness.fillers.clear();
                               }};
  Listener suspect{context};
  Listener witness{context};

  ProbeResult probe(std::vector<core::Endpoint> witnesses) {
    core::BackendAddress backend;
    backend.endpoint = suspect.endpoint();
    prober.probe(backend, std::move(witnesses));
    context.run();
    return result.value_or(ProbeResult::kInconclusive);
  }
};

BOOST_FIXTURE_TEST_SUITE(BackendProberTest, ProberFixture)

BOOST_AUTO_TEST_CASE(listening_backend_is_connected) {
  BOOST_TEST((probe({witness.endpoint()}) == ProbeResult::kConnected));
}

BOOST_AUTO_TEST_CASE(closed_port_refuses) {
  const core::Endpoint gone = suspect.endpoint();
  suspect.acceptor.close();
  core::BackendAddress backend;
  backend.endpoint = gone;
  prober.probe(backend, {});
  context.run();
  BOOST_TEST((result == ProbeResult::kRefused));
}

BOOST_AUTO_TEST_CASE(unresponsive_backend_with_responding_witness_times_out) {
  suspect.fill(context);
  witness.acceptor.listen();
  BOOST_TEST((probe({witness.endpoint()}) == ProbeResult::kTimedOut));
}

BOOST_AUTO_TEST_CASE(unresponsive_witness_makes_probe_inconclusive) {
  suspect.fill(context);
  witness.fill(context);
  BOOST_TEST((probe({witness.endpoint()}) == ProbeResult::kInconclusive));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
