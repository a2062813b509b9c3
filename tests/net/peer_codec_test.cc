#include "net/peer_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "support/peak_memory.h"

using namespace cobaltgauge;
using namespace cobaltgauge::net;

namespace {

constexpr core::MemberId kSelf{9};

PeerCodec codec(const std::string& cluster = "test", const std::string& key = "sixteen byte key") {
  return {cluster, key, kSelf};
}

core::RecordsMessage recordsMessage() {
  core::RecordsMessage message;
  message.id = 3;
  message.transfer = 4;
  message.purpose = core::RecordPurpose::kHandover;
  message.shard = {core::ServiceId{5}, 6};
  message.version = 7;
  message.authoritative = true;
  message.windowMs = 250;
  message.backends.push_back({core::BackendId{8}, core::ServiceId{5}, {{}, 80}, 1});
  message.records.push_back({core::FlowFingerprint{11}, core::BackendId{8}});
  return message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  const auto received = codec().decode(codec().encode(recordsMessage()));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((received->from == kSelf));
  const auto& message = std::get<core::RecordsMessage>(received->frame);
  const core::RecordsMessage expected = recordsMessage();
  BOOST_TEST(message.windowMs == expected.windowMs);
  BOOST_TEST((message.purpose == expected.purpose));
  BOOST_TEST((message.backends == expected.backends));
  BOOST_TEST((message.records[0].fingerprint == expected.records[0].fingerprint));
}

BOOST_AUTO_TEST_CASE(EveryFrameTypeRoundTrips) {
  const std::vector<PeerFrame> frames{core::Ping{},
                                      core::Ack{},
                                      core::PingRequest{},
                                      core::MemberSync{},
                                      core::ConfigurationRequest{},
                                      core::ConfigurationTransfer{},
                                      core::RecordsMessage{},
                                      core::RecordsAck{},
                                      core::RouteHint{},
                                      core::ListingRequest{},
                                      core::ViewRequest{},
                                      core::ViewTransfer{},
                                      core::ViewSubscription{},
                                      core::ViewUpdate{},
                                      core::OutlierReport{},
                                      core::LoadReport{},
                                      core::LoadSummary{},
                                      core::UnreachableGroupsNotice{},
                                      core::ViewPageRequest{},
                                      core::ViewPage{},
                                      ForwardedPacket{}};
  BOOST_TEST(frames.size() == std::variant_size_v<PeerFrame>);
  for (const PeerFrame& frame : frames) {
    const auto received = codec().decode(codec().encode(frame));
    BOOST_TEST_REQUIRE(received.has_value());
    BOOST_TEST(received->frame.index() == frame.index());
  }
}

BOOST_AUTO_TEST_CASE(LoadMessagesRoundTrip) {
  const std::vector<core::ZoneLoad> loads{
      {core::serviceIdOf("web"), core::zoneIdOf("a"), 1, 2, UINT32_MAX}, {}};
  core::LoadReport report;
  report.replyTo.port = 7720;
  report.sentAtUs = UINT64_MAX;
  report.nextMs = 500;
  report.ageMs = 3;
  report.level = 8;
  report.daemons = 4;
  report.loads = loads;
  core::LoadSummary summary;
  summary.sender.port = 7721;
  summary.sentAtUs = 5;
  summary.isReportRequest = true;
  summary.nextMs = 10;
  summary.ageMs = 6;
  summary.level = 9;
  summary.daemons = 7;
  summary.loads = loads;
  const auto decodedReport = codec().decode(codec().encode(report));
  const auto decodedSummary = codec().decode(codec().encode(summary));
  BOOST_TEST_REQUIRE((decodedReport.has_value() && decodedSummary.has_value()));
  const auto& receivedReport = std::get<core::LoadReport>(decodedReport->frame);
  BOOST_TEST((receivedReport.replyTo == report.replyTo));
  BOOST_TEST(receivedReport.sentAtUs == report.sentAtUs);
  BOOST_TEST(receivedReport.nextMs == report.nextMs);
  BOOST_TEST(receivedReport.ageMs == report.ageMs);
  BOOST_TEST(receivedReport.level == report.level);
  BOOST_TEST(receivedReport.daemons == report.daemons);
  BOOST_TEST((receivedReport.loads == loads));
  const auto& receivedSummary = std::get<core::LoadSummary>(decodedSummary->frame);
  BOOST_TEST((receivedSummary.sender == summary.sender));
  BOOST_TEST(receivedSummary.sentAtUs == summary.sentAtUs);
  BOOST_TEST(receivedSummary.isReportRequest);
  BOOST_TEST(receivedSummary.nextMs == summary.nextMs);
  BOOST_TEST(receivedSummary.ageMs == summary.ageMs);
  BOOST_TEST(receivedSummary.level == summary.level);
  BOOST_TEST(receivedSummary.daemons == summary.daemons);
  BOOST_TEST((receivedSummary.loads == loads));
}

BOOST_AUTO_TEST_CASE(UnreachableGroupsNoticeRoundTrips) {
  const core::UnreachableGroupsNotice notice{{{core::ServiceId{7}, core::ZoneId{UINT32_MAX}}, {}}};
  const auto received = codec().decode(codec().encode(notice));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((std::get<core::UnreachableGroupsNotice>(received->frame).Groups == notice.Groups));
}

BOOST_AUTO_TEST_CASE(ViewUpdateRoundTrips) {
  core::ViewUpdate update;
  update.sender.port = 7720;
  update.echoUs = 1;
  update.clockUs = UINT64_MAX;
  update.confirmedUs = 3;
  update.readerRank = 4;
  update.from = 5;
  update.revision = 6;
  update.full = true;
  update.removals.push_back({"servers/1", 6});
  update.evacuations.push_back({"op/evacuate/a", 6, "a"});
  update.routes.push_back({"op/config", 6, 7, 8, 9, {{"r", {{}, 443}, {"web"}, {1}}}, {{{}, 80}}});
  const auto received = codec().decode(codec().encode(update));
  BOOST_TEST_REQUIRE(received.has_value());
  const auto& message = std::get<core::ViewUpdate>(received->frame);
  BOOST_TEST((message.sender == update.sender));
  BOOST_TEST(message.clockUs == update.clockUs);
  BOOST_TEST(message.confirmedUs == update.confirmedUs);
  BOOST_TEST(message.readerRank == update.readerRank);
  BOOST_TEST(message.from == update.from);
  BOOST_TEST(message.revision == update.revision);
  BOOST_TEST(message.full);
  BOOST_TEST(!message.leaving);
  BOOST_TEST(message.removals.at(0).key == "servers/1");
  BOOST_TEST(message.evacuations.at(0).zone == "a");
  BOOST_TEST(message.evacuations.at(0).revision == 6U);
  BOOST_TEST(message.routes.at(0).changed.at(0).services.at(0) == "web");
  BOOST_TEST(message.routes.at(0).dropped.at(0).port == 80);
}

BOOST_AUTO_TEST_CASE(OtherKeysAndClustersAreRejected) {
  const auto bytes = codec().encode(core::Ping{});
  PeerCodec otherKey = codec("test", "another byte key");
  BOOST_TEST(!otherKey.decode(bytes).has_value());
  BOOST_TEST((otherKey.lastError() == PeerCodecError::kAuthenticator));
  PeerCodec otherCluster = codec("other");
  BOOST_TEST(!otherCluster.decode(bytes).has_value());
  BOOST_TEST((otherCluster.lastError() == PeerCodecError::kCluster));
}

BOOST_AUTO_TEST_CASE(AnyModifiedByteIsRejected) {
  const auto original = codec().encode(recordsMessage());
  PeerCodec receiver = codec();
  for (std::size_t i = 0; i < original.size(); ++i) {
    auto changed = original;
    changed[i] ^= 1U;
    BOOST_TEST_REQUIRE(!receiver.decode(changed).has_value());
  }
}

// Guards against memory for elements that a message declares and does not hold.
BOOST_AUTO_TEST_CASE(DeclaredElementsCostNoMemory) {
  constexpr std::uint32_t kViewTransferType = 12;
  constexpr std::uint32_t kViewTransferFields = 9;
  constexpr std::uint32_t kDeclared = 1'000'000;
  msgpack::sbuffer body;
  msgpack::packer packer(body);
  packer.pack_array(5).pack(kPeerFormatVersion).pack(std::string("test")).pack(9U);
  packer.pack(kViewTransferType).pack_array(kViewTransferFields);
  packer.pack_array(2).pack(1U).pack(1U).pack(0U).pack(0U).pack(0U).pack_array(kDeclared);
  for (std::uint32_t i = 0; i < kDeclared; ++i) {
    packer.pack_nil();
  }
  packer.pack_nil().pack_nil().pack_nil().pack_nil();  // The other fields.
  const ByteView bytes(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
  const auto growth = tests::peakGrowthOf([&] { codec().decodeBody(bytes); });
  BOOST_REQUIRE(growth.has_value());
  // Each of the values that are there takes up 24 bytes.
  BOOST_TEST(*growth < 32 * 1024);
  BOOST_TEST(!codec().decodeBody(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesNeverCrash) {
  const bool ok = rc::check([](const std::vector<std::uint8_t>& bytes) {
    PeerCodec receiver = codec();
    RC_ASSERT(!receiver.decode(bytes).has_value());
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(LargestRecordBatchFitsADatagram) {
  core::RecordsMessage message = recordsMessage();
  message.id = message.transfer = message.version = UINT64_MAX;
  message.records.assign(64, {core::FlowFingerprint{UINT64_MAX}, core::BackendId{UINT64_MAX}});
  BOOST_TEST(codec("a-cluster-name-of-thirty-letters").encode(message).size() <= 1400U);
}

BOOST_AUTO_TEST_SUITE_END()
