/// Checks that a backfilled view converges to the store for any order of pages and changes.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

#include "core/view_updater.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kBackends = 12;
constexpr std::size_t kPage = 4;

struct View {
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{0};
  core::ViewUpdater updater{backends, routes, [](const core::ViewChange&) {}};
  core::Revision revision = 0;
};

/// A page in transit, which may arrive late.
struct Page {
  core::Revision revision = 0;
  std::vector<core::StoreChange> backends;
};

/// A store, a daemon with a full view that sends pages, and a daemon with a sampled view.
struct BackfillModel {
  std::vector<core::StoreChange> history;
  std::set<std::string> present;
  View source;
  View backfilled;
  core::Revision base = 0;
  std::deque<Page> inFlight;
  core::Time now = 100s;

  static std::string keyOf(std::uint64_t id) {
    return "servers/" + std::string(1, static_cast<char>('a' + id));
  }

  void change(std::uint64_t id) {
    const std::string key = keyOf(id);
    const core::Revision revision = history.size() + 1;
    if (present.erase(key) != 0) {
      history.push_back({key, revision, core::RemovedItem{}});
    } else {
      present.insert(key);
      history.push_back(
          {key, revision, makeRegistration(id + 1, "web", 1, static_cast<std::uint8_t>(id))});
    }
  }

  void follow(View& view, core::Revision to) {
    for (; view.revision < to; ++view.revision) {
      view.updater.onChange(history[view.revision.number], now);
    }
  }

  /// Gives the sampled view some of the items; it receives every change from then on.
  void begin() {
    base = history.size();
    backfilled.revision = base;
    for (const core::StoreChange& item : history) {
      const bool isLast = std::none_of(
          history.begin() + static_cast<std::ptrdiff_t>(item.revision.number), history.end(),
          [&item](const core::StoreChange& later) { return later.key == item.key; });
      if (isLast && present.contains(item.key) && item.key < keyOf(kBackends / 3)) {
        backfilled.updater.onChange(item, now);
      }
    }
  }

  void sendPage(const std::string& after) {
    inFlight.push_back({source.revision, source.backends.contentsAfter(after, kPage)});
  }

  void receivePage() {
    if (inFlight.empty()) {
      return;
    }
    const Page page = inFlight.front();
    inFlight.pop_front();
    if (page.revision >= base) {
      for (const core::StoreChange& backend : page.backends) {
        backfilled.updater.onMissingItem(backend, now);
      }
    }
  }

  void backfillAll() {
    std::string after;
    for (;;) {
      sendPage(after);
      const Page page = inFlight.back();
      while (!inFlight.empty()) {
        receivePage();
      }
      if (page.backends.size() < kPage) {
        return;
      }
      after = page.backends.back().key;
    }
  }

  std::set<std::string> known(const View& view) const {
    std::set<std::string> keys;
    for (const core::StoreChange& item : view.backends.contents()) {
      keys.insert(item.key);
    }
    return keys;
  }
};

BOOST_AUTO_TEST_SUITE(ViewBackfillPropertyTest)

BOOST_AUTO_TEST_CASE(backfilled_view_converges_to_store) {
  BOOST_TEST(rc::check("pages, changes and delays in any order", [] {
    BackfillModel model;
    const auto id = [] { return *rc::gen::inRange<std::uint64_t>(0, kBackends); };
    for (std::uint64_t first = 0; first < kBackends; ++first) {
      model.change(first);
    }
    model.begin();
    model.follow(model.source, model.base);
    const auto steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          model.change(id());
          break;
        case 1:
          model.follow(model.source, *rc::gen::inRange<std::uint64_t>(model.source.revision.number,
                                                                      model.history.size() + 1));
          break;
        case 2:
          model.follow(model.backfilled,
                       *rc::gen::inRange<std::uint64_t>(model.backfilled.revision.number,
                                                        model.history.size() + 1));
          break;
        case 3:
          model.sendPage(BackfillModel::keyOf(id()));
          break;
        default:
          model.receivePage();
      }
    }
    model.backfillAll();
    model.follow(model.backfilled, model.history.size());
    RC_ASSERT(model.known(model.backfilled) == model.present);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
