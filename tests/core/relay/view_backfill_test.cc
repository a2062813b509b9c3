/// Backfill of sampled views in a large fleet.
#include "core/relay/view_backfill.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::size_t kDaemons = 40;
constexpr std::uint64_t kManyBackends = 6000;

struct BackfillFixture : RelayFixture
{
  std::uint64_t Backends = 0;

  void AddBackendsWithPages(std::uint64_t count)
  {
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::uint64_t id = 100 + this->Backends++;
      this->Store.put("servers/" + std::to_string(id),
                      makeRegistration(id,
                                       "web",
                                       static_cast<std::uint8_t>(3 + id / 200),
                                       static_cast<std::uint8_t>(id % 200)));
    }
    this->Store.pageSize = 500;
  }

  /// Restart all daemons at once without state.
  void RestartAll()
  {
    const std::size_t count = this->Nodes.size();
    this->Nodes.clear();
    this->QueuedMessages.clear();
    this->GrowTo(count);
    std::uint32_t place = 0;
    for (auto& node : this->Nodes) {
      node->Reader.enableSampling(place += 6);
    }
  }

  void Start(std::uint64_t backends)
  {
    this->AddBackendsWithPages(backends);
    this->GrowTo(kDaemons);
    this->RestartAll();
  }

  bool AreAllViewsFull() const
  {
    return std::all_of(
      this->Nodes.begin(), this->Nodes.end(), [](const auto& node) {
        return !node->Alive || node->Reader.hasAllBackends();
      });
  }

  core::Duration TimeUntilFullViews()
  {
    const core::Time began = this->Now;
    while (!this->AreAllViewsFull()) {
      this->Step();
      BOOST_REQUIRE((this->Now - began < 60s));
    }
    return this->Now - began;
  }

  std::uint64_t CountItemsRead() const
  {
    std::uint64_t items = 0;
    for (const auto& node : this->Nodes) {
      items += node->ItemsRead;
    }
    return items;
  }

  std::size_t CountActive(Node& node)
  {
    return node.Backends.candidates(core::serviceIdOf("web")).size();
  }
};

BOOST_FIXTURE_TEST_SUITE(ViewBackfillTest, BackfillFixture)

// Guards against a load on the store that grows with daemons times backends.
BOOST_AUTO_TEST_CASE(items_read_at_start_do_not_grow_with_backends)
{
  this->Start(kManyBackends);
  this->Run(400ms);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isSynchronized());
    BOOST_TEST(this->CountActive(*node) > 0U);
  }
  this->TimeUntilFullViews();
  const std::uint64_t items = this->CountItemsRead();
  const std::uint64_t forSamples = kDaemons * 8 * core::kPlacementSampleSize;
  const std::uint64_t wholeListings = 2 * kSeeds * (kManyBackends + 1);
  BOOST_TEST(items < forSamples + wholeListings);
  BOOST_TEST(items < kDaemons * kManyBackends / 2);
}

BOOST_AUTO_TEST_CASE(full_views_spread_within_seconds)
{
  this->Start(kManyBackends);
  BOOST_TEST((this->TimeUntilFullViews() < 5s));
  for (auto& node : this->Nodes) {
    BOOST_TEST(this->CountActive(*node) == kManyBackends + 1);
  }
}

// Samples must cover the backends evenly; no backend may be known to most
// daemons.
BOOST_AUTO_TEST_CASE(samples_differ_between_daemons)
{
  this->Start(kManyBackends);
  this->Run(200ms);
  std::map<core::BackendId, std::size_t> known;
  for (auto& node : this->Nodes) {
    if (!node->Reader.hasAllBackends()) {
      for (const auto& candidate :
           node->Backends.candidates(core::serviceIdOf("web"))) {
        ++known[candidate.id];
      }
    }
  }
  for (const auto& [id, daemons] : known) {
    BOOST_TEST(daemons <= kDaemons / 4);
  }
}

BOOST_AUTO_TEST_CASE(without_seeds_few_daemons_read_the_store)
{
  this->AddBackendsWithPages(kManyBackends);
  this->GrowTo(kDaemons);
  this->RestartAll();
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  BOOST_TEST((this->TimeUntilFullViews() < 10s));
  BOOST_TEST(this->CountItemsRead() < kDaemons * kManyBackends / 2);
}

// A removal received before the backend is known must not be undone by older
// pages.
BOOST_AUTO_TEST_CASE(changes_during_backfill_are_kept)
{
  this->Start(kManyBackends);
  for (std::uint64_t step = 0; step < 30; ++step) {
    const std::string key = "servers/" + std::to_string(100 + step * 150);
    this->Store.put(key, core::RemovedItem{});
    this->Step();
  }
  this->TimeUntilFullViews();
  this->Run(3s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(this->CountActive(*node) == kManyBackends + 1 - 30);
  }
}

BOOST_AUTO_TEST_CASE(lost_pages_are_requested_again)
{
  this->DropInterval = 0;
  this->Start(kManyBackends);
  this->Run(400ms);
  this->At(9).IsPartitioned = true;
  this->Run(2s);
  BOOST_TEST(!this->At(9).Reader.hasAllBackends());
  this->At(9).IsPartitioned = false;
  BOOST_TEST((this->TimeUntilFullViews() < 10s));
}

// While the store is unavailable, missing backends come from peers alone.
BOOST_AUTO_TEST_CASE(backfill_works_while_the_store_is_unavailable)
{
  this->Start(kManyBackends);
  this->TimeUntilFullViews();
  this->Run(3s);
  Node& replaced = this->At(20);
  const std::uint64_t before = this->CountItemsRead();
  replaced.ItemsRead = 0;
  this->Nodes[20] = std::make_unique<Node>(21, 500s);
  this->GrowTo(kDaemons);
  this->At(20).Reader.enableSampling(77);
  this->Run(400ms);
  this->SetStoreRefusesAll(true);
  this->Run(2s);
  BOOST_TEST(this->At(20).Reader.hasAllBackends());
  BOOST_TEST(this->CountItemsRead() < before + 8 * core::kPlacementSampleSize);
}

// Guards against serving so many peers at once that none of them finishes.
BOOST_AUTO_TEST_CASE(concurrent_recipients_are_limited_and_others_are_referred)
{
  this->Start(kManyBackends);
  this->TimeUntilFullViews();
  Node& sender = this->At(5);
  this->Now += 5s;
  const core::Time clock = sender.Clock(this->Now);
  std::size_t sent = 0;
  for (std::size_t requester = 10; requester < 30; ++requester) {
    sender.Backfill.OnRequest({ this->At(requester).Address, "", 0 }, clock);
    const auto messages = sender.Backfill.TakeMessages();
    const auto& page = std::get<core::ViewPage>(messages.at(0).Message);
    sent += page.revision != 0 ? 1 : 0;
  }
  BOOST_TEST(sent == 4U);
  // A peer that finished frees its slot and is named in refusals.
  sender.Backfill.OnRequest({ this->At(10).Address, "servers/9999", 0 },
                            clock);
  sender.Backfill.TakeMessages();
  sender.Backfill.OnRequest({ this->At(20).Address, "", 0 }, clock);
  sender.Backfill.OnRequest({ this->At(21).Address, "", 0 }, clock);
  const auto messages = sender.Backfill.TakeMessages();
  BOOST_TEST(std::get<core::ViewPage>(messages.at(0).Message).revision != 0U);
  const auto& refusal = std::get<core::ViewPage>(messages.at(1).Message);
  BOOST_TEST(refusal.revision == 0U);
  BOOST_TEST((std::find(refusal.fullViewPeers.begin(),
                        refusal.fullViewPeers.end(),
                        this->At(10).Address) != refusal.fullViewPeers.end()));
}

// Guards against unnecessary page traffic between zones.
BOOST_AUTO_TEST_CASE(requester_is_mostly_referred_to_a_closer_peer)
{
  this->Start(kManyBackends);
  this->TimeUntilFullViews();
  Node& sender = this->At(5);
  const core::Endpoint near = endpoint(8, 1, 7720);
  const core::Endpoint requester = endpoint(8, 2, 7720);
  std::size_t sent = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    this->Now += 1s;
    // The last page for the closer peer, which then has a full view.
    sender.Backfill.OnRequest({ near, "servers/9999", 0 },
                              sender.Clock(this->Now));
    sender.Backfill.TakeMessages();
    sender.Backfill.OnRequest({ requester, "", 0 }, sender.Clock(this->Now));
    const auto messages = sender.Backfill.TakeMessages();
    const auto& page = std::get<core::ViewPage>(messages.at(0).Message);
    sent += page.revision != 0 ? 1 : 0;
    BOOST_TEST(
      (page.revision != 0 ||
       std::find(page.fullViewPeers.begin(), page.fullViewPeers.end(), near) !=
         page.fullViewPeers.end()));
  }
  // Some requests are served anyway, as the closer peer may be gone.
  BOOST_TEST(sent > 5U);
  BOOST_TEST(sent < 50U);
}

BOOST_AUTO_TEST_CASE(daemon_without_a_full_view_sends_no_page)
{
  this->Start(kManyBackends);
  this->Run(200ms);
  Node& sampled = this->At(30);
  BOOST_REQUIRE(!sampled.Reader.hasAllBackends());
  sampled.Backfill.TakeMessages();
  sampled.Backfill.OnRequest({ this->At(31).Address, "", 0 },
                             sampled.Clock(this->Now));
  const auto messages = sampled.Backfill.TakeMessages();
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(std::get<core::ViewPage>(messages[0].Message).revision == 0U);
}

// A peer whose last page was lost may name the requester itself in a refusal.
BOOST_AUTO_TEST_CASE(refusal_naming_only_the_requester_sends_no_request)
{
  this->Start(kManyBackends);
  this->Run(400ms);
  Node& node = this->At(30);
  BOOST_REQUIRE(!node.Reader.hasAllBackends());
  core::ViewPage refusal;
  refusal.sender = this->At(0).Address;
  refusal.fullViewPeers = { node.Address };
  this->Now += 1s;
  this->BackfillView(node, { this->At(0).Address });
  node.Backfill.TakeMessages();
  BOOST_TEST(!node.Backfill.OnPage(refusal, node.Clock(this->Now)));
  BOOST_TEST(node.Backfill.TakeMessages().empty());
}

BOOST_AUTO_TEST_CASE(page_older_than_the_view_is_rejected)
{
  this->Start(kManyBackends);
  this->Run(400ms);
  Node& node = this->At(30);
  BOOST_REQUIRE(node.Reader.isSynchronized());
  BOOST_REQUIRE(!node.Reader.hasAllBackends());
  core::ViewPage page;
  page.sender = this->At(0).Address;
  page.revision = node.Reader.baseRevision() - 1;
  page.isLast = true;
  BOOST_TEST(!node.Backfill.OnPage(page, node.Clock(this->Now)));
  BOOST_TEST(!node.Reader.hasAllBackends());
  BOOST_TEST(node.Backfill.GetCounters().StalePages == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
