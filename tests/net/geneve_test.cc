#include "net/geneve.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <vector>

using namespace cobaltgauge;
using namespace cobaltgauge::net;

namespace {

std::vector<std::uint8_t> routedPacket(const RoutingOption& routing) {
  const auto header = encodeRoutedHeader(7, kEtherTypeIpv4, routing);
  std::vector<std::uint8_t> bytes;
  bytes.reserve(header.size() + 3);
  std::copy(header.begin(), header.end(), std::back_inserter(bytes));
  for (const std::uint8_t payload : {1, 2, 3}) {
    bytes.push_back(payload);
  }
  return bytes;
}

GeneveError errorOf(std::vector<std::uint8_t> bytes) {
  GeneveDecoder decoder;
  return decoder.decode(bytes) ? GeneveError::kNone : decoder.lastError();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(GeneveTest)

BOOST_AUTO_TEST_CASE(RoutingOptionRoundTrips) {
  const bool ok =
      rc::check([](std::uint32_t service, std::uint32_t incarnation, std::uint64_t version) {
        const RoutingOption routing{core::ServiceId{service}, incarnation, version};
        const std::vector<std::uint8_t> bytes = routedPacket(routing);
        GeneveDecoder decoder;
        const auto packet = decoder.decode(bytes);
        RC_ASSERT(packet.has_value());
        RC_ASSERT(packet->vni == 7U);
        RC_ASSERT(packet->routing == routing);
        RC_ASSERT(packet->payload.size() == 3U);
      });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesNeverCrash) {
  const bool ok = rc::check([](const std::vector<std::uint8_t>& bytes) {
    GeneveDecoder decoder;
    const auto packet = decoder.decode(bytes);
    RC_ASSERT(packet.has_value() == (decoder.lastError() == GeneveError::kNone));
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(EveryTruncationIsRejected) {
  const std::vector<std::uint8_t> packet = routedPacket({});
  for (std::size_t size = 0; size < kRoutedHeaderBytes; ++size) {
    BOOST_TEST((errorOf({packet.begin(), packet.begin() + static_cast<std::ptrdiff_t>(size)}) ==
                GeneveError::kShort));
  }
}

BOOST_AUTO_TEST_CASE(InvalidFieldsReportTheirError) {
  std::vector<std::uint8_t> bytes = routedPacket({});
  bytes[0] |= 0x40U;
  BOOST_TEST((errorOf(bytes) == GeneveError::kVersion));
  bytes = routedPacket({});
  bytes[1] |= 0x80U;
  BOOST_TEST((errorOf(bytes) == GeneveError::kControlPacket));
  bytes = routedPacket({});
  bytes[2] = 0x12;
  BOOST_TEST((errorOf(bytes) == GeneveError::kProtocolType));
  bytes = routedPacket({});
  bytes[10] = 0x82;  // Unknown critical option type.
  BOOST_TEST((errorOf(bytes) == GeneveError::kUnknownCritical));
  bytes[10] = 0x02;  // Unknown non-critical option type.
  BOOST_TEST((errorOf(bytes) == GeneveError::kNone));
  bytes = routedPacket({});
  bytes[11] = 0x1f;  // The option exceeds the header.
  BOOST_TEST((errorOf(bytes) == GeneveError::kMalformedOption));
}

BOOST_AUTO_TEST_SUITE_END()
