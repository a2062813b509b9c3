#include "net/peer_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_CASE(RecordsSurviveTheWire) {
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

BOOST_AUTO_TEST_CASE(EveryKindOfFrameKeepsItsKind) {
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
                                      core::GroupNotice{},
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

BOOST_AUTO_TEST_CASE(LoadSurvivesTheWire) {
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
  const auto up = codec().decode(codec().encode(report));
  const auto down = codec().decode(codec().encode(summary));
  BOOST_TEST_REQUIRE((up.has_value() && down.has_value()));
  const auto& sent = std::get<core::LoadReport>(up->frame);
  BOOST_TEST((sent.replyTo == report.replyTo));
  BOOST_TEST(sent.sentAtUs == report.sentAtUs);
  BOOST_TEST(sent.nextMs == report.nextMs);
  BOOST_TEST(sent.ageMs == report.ageMs);
  BOOST_TEST(sent.level == report.level);
  BOOST_TEST(sent.daemons == report.daemons);
  BOOST_TEST((sent.loads == loads));
  const auto& told = std::get<core::LoadSummary>(down->frame);
  BOOST_TEST((told.sender == summary.sender));
  BOOST_TEST(told.sentAtUs == summary.sentAtUs);
  BOOST_TEST(told.isReportRequest);
  BOOST_TEST(told.nextMs == summary.nextMs);
  BOOST_TEST(told.ageMs == summary.ageMs);
  BOOST_TEST(told.level == summary.level);
  BOOST_TEST(told.daemons == summary.daemons);
  BOOST_TEST((told.loads == loads));
}

BOOST_AUTO_TEST_CASE(NoticesOfGroupsSurviveTheWire) {
  const core::GroupNotice notice{{{core::ServiceId{7}, core::ZoneId{UINT32_MAX}}, {}}};
  const auto received = codec().decode(codec().encode(notice));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((std::get<core::GroupNotice>(received->frame).Groups == notice.Groups));
}

BOOST_AUTO_TEST_CASE(UpdatesOfTheViewSurviveTheWire) {
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

BOOST_AUTO_TEST_CASE(StrangersAreToldApart) {
  const auto bytes = codec().encode(core::Ping{});
  PeerCodec otherKey = codec("test", "another byte key");
  BOOST_TEST(!otherKey.decode(bytes).has_value());
  BOOST_TEST((otherKey.lastError() == PeerCodecError::kAuthenticator));
  PeerCodec otherCluster = codec("other");
  BOOST_TEST(!otherCluster.decode(bytes).has_value());
  BOOST_TEST((otherCluster.lastError() == PeerCodecError::kCluster));
}

BOOST_AUTO_TEST_CASE(AnyChangedByteIsRefused) {
  const auto whole = codec().encode(recordsMessage());
  PeerCodec receiver = codec();
  for (std::size_t i = 0; i < whole.size(); ++i) {
    auto changed = whole;
    changed[i] ^= 1U;
    BOOST_TEST_REQUIRE(!receiver.decode(changed).has_value());
  }
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
