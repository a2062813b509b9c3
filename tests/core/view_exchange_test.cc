#include "core/view_exchange.h"

#include "core/constants.h"
#include "core/view_updater.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ReadOutcome;

/// A daemon's view, reader and exchange.
struct Node {
  core::Endpoint address;
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::TokenSteering steering{core::TokenSteeringOptions{}, weights, random};
  core::ViewUpdater updater{steering.backends(), steering.routes(), [](const core::ViewChange&) {}};
  core::StoreReader reader{updater, random};
  core::ViewExchange exchange{address, steering, updater, reader, random};

  explicit Node(std::uint8_t host) : address(endpoint(9, host, 7720)) {}

  std::size_t backends() const { return steering.backends().activeCount(); }
};

/// Three daemons: the first two read the store, the third has the first one as its seed.
struct ExchangeFixture {
  FakeStore store;
  Node first{1};
  Node second{2};
  Node third{3};
  core::Time now = 100s;

  ExchangeFixture() {
    store.put("op/config", makeRoutes(7, {{1, "web"}}));
    store.put("servers/1", makeRegistration(1, "web", 1, 1));
    store.put("servers/2", makeRegistration(2, "web", 1, 2));
    for (Node* node : {&first, &second, &third}) {
      node->exchange.start(now);
    }
    read(first);
    read(second);
    read(first);
    read(second);
    second.exchange.setSeeds({first.address});
    third.exchange.setSeeds({first.address});
  }

  void read(Node& node) const {
    const std::optional<core::StoreRead> due = node.reader.nextRead(now);
    BOOST_REQUIRE(due.has_value());
    node.reader.onReply(store.replyTo(*due), now);
  }

  void fail(Node& node) {
    if (node.reader.nextRead(now)) {
      node.reader.onReply(failedRead(ReadOutcome::kThrottled), now);
    }
  }

  /// Ticks all daemons and delivers their messages until there are none left.
  void tick() {
    for (Node* node : {&first, &second, &third}) {
      node->exchange.onTick(now);
    }
    bool moved = true;
    while (moved) {
      moved = false;
      for (Node* node : {&first, &second, &third}) {
        for (const core::OutgoingView& message : node->exchange.takeMessages()) {
          deliver(message);
          moved = true;
        }
      }
    }
  }

  void deliver(const core::OutgoingView& outgoing) {
    for (Node* node : {&first, &second, &third}) {
      if (node->address != outgoing.destination || partitioned == node) {
        continue;
      }
      if (const auto* request = std::get_if<core::ViewRequest>(&outgoing.message)) {
        node->exchange.onRequest(*request, now);
      } else {
        node->exchange.onTransfer(std::get<core::ViewTransfer>(outgoing.message), now);
      }
    }
  }

  /// @return how many of the given number of daemons get a full view from the first one if all
  /// request it at once.
  std::size_t countFullViews(std::size_t daemons) {
    std::size_t views = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
      first.exchange.onRequest({endpoint(8, static_cast<std::uint8_t>(i), 7720), 0, true}, now);
    }
    for (const core::OutgoingView& message : first.exchange.takeMessages()) {
      const auto* view = std::get_if<core::ViewTransfer>(&message.message);
      views += view != nullptr && view->revision != 0 ? 1U : 0U;
    }
    return views;
  }

  Node* partitioned = nullptr;  ///< Receives no messages.
};

BOOST_FIXTURE_TEST_SUITE(ViewExchangeTest, ExchangeFixture)

BOOST_AUTO_TEST_CASE(full_view_includes_zone_evacuations) {
  store.put("op/evacuate/a", core::ZoneEvacuation{"a"});
  now += 2s;
  read(first);
  fail(third);
  now += core::kStoreStartupTimeout;
  tick();
  BOOST_TEST(third.reader.isSynchronized());
  BOOST_TEST(third.steering.backends().evacuations().IsEvacuated("a"));
  BOOST_TEST(third.backends() == 0U);
}

// Guards against a daemon that starts while the store is down and cannot serve until the store
// answers.
BOOST_AUTO_TEST_CASE(starting_daemon_gets_view_from_peer) {
  tick();
  BOOST_TEST(third.backends() == 0U);
  now += core::kStoreStartupTimeout;
  fail(third);
  tick();
  BOOST_TEST(third.backends() == 2U);
  BOOST_TEST(third.steering.routes().version() == 7U);
  BOOST_TEST(third.reader.isSynchronized());
  BOOST_TEST(!third.reader.isCurrent(now + core::kViewFreshnessPeriod));
}

// Guards against retrying a store that rejects connections instead of requesting a view from a
// peer.
BOOST_AUTO_TEST_CASE(rejected_first_read_requests_peer_view_at_once) {
  tick();
  fail(third);
  tick();
  BOOST_TEST(third.backends() == 2U);
  BOOST_TEST(third.reader.isSynchronized());
}

// Guards against full views from every peer when many daemons wait for listings of a slow store.
BOOST_AUTO_TEST_CASE(slow_store_does_not_trigger_peer_request) {
  tick();
  third.reader.nextRead(now);
  third.reader.onReply(failedRead(ReadOutcome::kTimedOut), now);
  tick();
  BOOST_TEST(!third.reader.isSynchronized());
  // A rejected daemon sends no requests either, once part of a response has arrived.
  now += 50ms;
  fail(third);
  third.reader.onProgress(now + 1ms);
  now += 2ms;
  tick();
  BOOST_TEST(!third.reader.isSynchronized());
}

BOOST_AUTO_TEST_CASE(next_read_continues_from_peer_view) {
  now += core::kStoreStartupTimeout;
  tick();
  now += core::kStoreStartupTimeout;
  tick();
  BOOST_REQUIRE(third.reader.isSynchronized());
  const std::optional<core::StoreRead> read = third.reader.nextRead(now);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->kind == core::StoreRead::Kind::kWatch));
  BOOST_TEST(read->afterRevision == 3U);
}

BOOST_AUTO_TEST_CASE(throttled_daemon_gets_view_from_peers) {
  tick();
  fail(second);
  now += core::kStoreSilenceTimeout;
  store.put("op/config", makeRoutes(9, {{2, "web"}}));
  store.put("servers/2", core::RemovedItem{});
  read(first);
  tick();
  BOOST_TEST(second.steering.routes().version() == 9U);
  BOOST_TEST(second.backends() == 1U);
}

BOOST_AUTO_TEST_CASE(older_peer_view_is_ignored) {
  store.put("op/config", makeRoutes(9, {{2, "web"}}));
  store.put("servers/1", core::RemovedItem{});
  read(first);
  core::ViewTransfer old;
  old.revision = 3;
  old.version = 7;
  old.backends.push_back(
      {"servers/1", 2, BackendId{1}, "web", endpoint(1, 1, 8000), "a", "", 2, false, 0});
  BOOST_TEST(!first.exchange.onTransfer(old, now));
  BOOST_TEST(first.steering.routes().version() == 9U);
  BOOST_TEST(first.backends() == 1U);
}

BOOST_AUTO_TEST_CASE(seeds_share_known_peers) {
  tick();
  // The seed fails; the third daemon knows the second one only through it.
  now += core::kStoreStartupTimeout;
  fail(third);
  const core::Revision before = third.reader.revision();
  BOOST_TEST(before == 0U);
  tick();
  BOOST_TEST(third.exchange.peerCount() == 2U);
  partitioned = &first;
  fail(third);
  now += core::kStoreSilenceTimeout;
  store.put("servers/2", core::RemovedItem{});
  read(second);
  tick();
  BOOST_TEST(third.backends() == 1U);
}

BOOST_AUTO_TEST_CASE(no_requests_while_store_answers) {
  tick();
  const std::uint64_t sent = second.exchange.counters().requestsSent;
  for (int i = 0; i < 20; ++i) {
    now += core::kWatchMaxWait;
    store.put("servers/3", makeRegistration(3, "web", 1, 3));
    read(second);
    second.exchange.onTick(now);
  }
  BOOST_TEST(second.exchange.counters().requestsSent == sent);
}

// Guards against requesting views from seeds while the store answers page by page.
BOOST_AUTO_TEST_CASE(progressing_listing_sends_no_requests) {
  store.pageSize = 1;
  for (int page = 0; page < 3; ++page) {
    now += core::kStoreStartupTimeout - 1ms;
    read(third);
    third.exchange.onTick(now);
  }
  BOOST_TEST(!third.reader.isSynchronized());
  BOOST_TEST(third.exchange.counters().requestsSent == 0U);
}

// Guards against sending full views to daemons that lack only a few changes.
BOOST_AUTO_TEST_CASE(peer_reachable_by_changes_gets_no_full_view) {
  core::ChangeLog log;
  log.Close(3);
  core::ViewExchange exchange{first.address, first.steering, first.updater,
                              first.reader,  first.random,   &log};
  store.put("op/config", makeRoutes(9, {{2, "web"}}));
  read(first);
  log.Close(first.reader.revision());
  const auto sentRevision = [&](core::Revision have) {
    exchange.onRequest({second.address, have, true}, now);
    return std::get<core::ViewTransfer>(exchange.takeMessages().at(0).message).revision;
  };
  BOOST_TEST(sentRevision(3) == 0U);
  BOOST_TEST(sentRevision(2) == 4U);
  BOOST_TEST(sentRevision(0) == 4U);
}

// A listing that takes long on a slow link does not mean that the store is unresponsive.
BOOST_AUTO_TEST_CASE(partial_response_progress_sends_no_requests) {
  for (int part = 0; part < 5; ++part) {
    now += core::kStoreStartupTimeout - 1ms;
    third.reader.onProgress(now);
    third.exchange.onTick(now);
  }
  BOOST_TEST(third.exchange.counters().requestsSent == 0U);
}

// Guards against delaying many starting daemons by a low limit on small views.
BOOST_AUTO_TEST_CASE(small_views_are_sent_to_many_at_once) {
  BOOST_TEST(countFullViews(100) == core::kViewUnitsPerSecond);
}

BOOST_AUTO_TEST_CASE(large_views_are_rate_limited) {
  for (std::uint64_t id = 10; id < 3010; ++id) {
    store.put("servers/" + std::to_string(id),
              makeRegistration(id, "web", static_cast<std::uint8_t>(id / 250),
                               static_cast<std::uint8_t>(id % 250)));
  }
  read(first);
  const std::size_t views = countFullViews(100);
  BOOST_TEST(views >= 1U);
  BOOST_TEST(views <= 4U);
}

BOOST_AUTO_TEST_CASE(route_without_targets_is_skipped) {
  core::ViewTransfer view;
  view.revision = 10;
  view.version = 12;
  view.routes.push_back({"broken", endpoint(90, 5, 443), {"web"}, {}});
  view.routes.push_back({"good", endpoint(90, 6, 443), {"web"}, {1}});
  BOOST_TEST(third.exchange.onTransfer(view, now));
  BOOST_TEST(third.steering.routes().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
