/// How a large fleet's views get whole: one reads, the others ask each other.
#include "core/relay/view_fill.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::size_t kDaemons = 40;
constexpr std::uint64_t kManyBackends = 6000;

struct FillFixture : RelayFixture
{
  std::uint64_t Backends = 0;

  void AddMany(std::uint64_t count)
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

  /// All daemons lose what they know and start at one moment.
  void LosePower()
  {
    const std::size_t count = this->Nodes.size();
    this->Nodes.clear();
    this->Waiting.clear();
    this->Grow(count);
    std::uint32_t place = 0;
    for (auto& node : this->Nodes) {
      node->Reader.enableSampling(place += 6);
    }
  }

  void Start(std::uint64_t backends)
  {
    this->AddMany(backends);
    this->Grow(kDaemons);
    this->LosePower();
  }

  bool AreAllWhole() const
  {
    return std::all_of(
      this->Nodes.begin(), this->Nodes.end(), [](const auto& node) {
        return !node->Alive || node->Reader.hasAllBackends();
      });
  }

  core::Duration TimeUntilWhole()
  {
    const core::Time began = this->Now;
    while (!this->AreAllWhole()) {
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

BOOST_FIXTURE_TEST_SUITE(ViewFillTest, FillFixture)

// 985 daemons that lost power together read 10,000 registrations each and
// served again after 16 s (cflc-quotes-fleet scale-1): the store's link bore
// daemons times back ends.
BOOST_AUTO_TEST_CASE(what_a_start_reads_does_not_grow_with_the_back_ends)
{
  this->Start(kManyBackends);
  this->Run(400ms);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isSynchronized());
    BOOST_TEST(this->CountActive(*node) > 0U);
  }
  this->TimeUntilWhole();
  const std::uint64_t items = this->CountItemsRead();
  const std::uint64_t forSamples = kDaemons * 8 * core::kPlacementLooks;
  const std::uint64_t wholeListings = 2 * kSeeds * (kManyBackends + 1);
  BOOST_TEST(items < forSamples + wholeListings);
  // What everyone read before.
  BOOST_TEST(items < kDaemons * kManyBackends / 2);
}

BOOST_AUTO_TEST_CASE(whole_views_spread_within_seconds)
{
  this->Start(kManyBackends);
  BOOST_TEST((this->TimeUntilWhole() < 5s));
  for (auto& node : this->Nodes) {
    BOOST_TEST(this->CountActive(*node) == kManyBackends + 1);
  }
}

// The samples of all daemons cover the back ends evenly: none is left out of
// what the fleet knows, beyond chance, and none is known to most of it.
BOOST_AUTO_TEST_CASE(samples_differ_from_daemon_to_daemon)
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

BOOST_AUTO_TEST_CASE(without_seeds_some_read_the_store_and_give_to_the_others)
{
  this->AddMany(kManyBackends);
  this->Grow(kDaemons);
  this->LosePower();
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  BOOST_TEST((this->TimeUntilWhole() < 10s));
  BOOST_TEST(this->CountItemsRead() < kDaemons * kManyBackends / 2);
}

// A removal that a daemon heard while it knew nothing of the back end must
// outlast the pages that still hold it.
BOOST_AUTO_TEST_CASE(changes_that_come_while_views_fill_hold_everywhere)
{
  this->Start(kManyBackends);
  for (std::uint64_t step = 0; step < 30; ++step) {
    const std::string key = "servers/" + std::to_string(100 + step * 150);
    this->Store.put(key, core::RemovedItem{});
    this->Step();
  }
  this->TimeUntilWhole();
  this->Run(3s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(this->CountActive(*node) == kManyBackends + 1 - 30);
  }
}

BOOST_AUTO_TEST_CASE(lost_pages_are_asked_for_again)
{
  this->Lost = 0;
  this->Start(kManyBackends);
  this->Run(400ms);
  this->At(9).PeersCut = true;
  this->Run(2s);
  BOOST_TEST(!this->At(9).Reader.hasAllBackends());
  this->At(9).PeersCut = false;
  BOOST_TEST((this->TimeUntilWhole() < 10s));
}

// While the store is away, who lacks back ends gets them from peers alone.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_without_a_whole_view_needs_no_store)
{
  this->Start(kManyBackends);
  this->TimeUntilWhole();
  this->Run(3s);
  Node& late = this->At(20);
  const std::uint64_t before = this->CountItemsRead();
  late.ItemsRead = 0;
  this->Nodes[20] = std::make_unique<Node>(21, 500s);
  this->Grow(kDaemons);
  this->At(20).Reader.enableSampling(77);
  this->Run(400ms);
  this->RefuseAll(true);
  this->Run(2s);
  BOOST_TEST(this->At(20).Reader.hasAllBackends());
  BOOST_TEST(this->CountItemsRead() < before + 8 * core::kPlacementLooks);
}

// One that served 900 in turn gave each a page now and then, and nobody else
// had a whole view for ten seconds.
BOOST_AUTO_TEST_CASE(few_are_served_at_once_and_the_others_are_told_of_them)
{
  this->Start(kManyBackends);
  this->TimeUntilWhole();
  Node& giver = this->At(5);
  this->Now += 5s;
  const core::Time clock = giver.Clock(this->Now);
  std::size_t given = 0;
  for (std::size_t asking = 10; asking < 30; ++asking) {
    giver.Fill.OnRequest({ this->At(asking).Address, "", 0 }, clock);
    const auto messages = giver.Fill.TakeMessages();
    const auto& page = std::get<core::ViewPage>(messages.at(0).Message);
    given += page.revision != 0 ? 1 : 0;
  }
  BOOST_TEST(given == 4U);
  // Who is done makes room, and is told of to those who get nothing.
  giver.Fill.OnRequest({ this->At(10).Address, "servers/9999", 0 }, clock);
  giver.Fill.TakeMessages();
  giver.Fill.OnRequest({ this->At(20).Address, "", 0 }, clock);
  giver.Fill.OnRequest({ this->At(21).Address, "", 0 }, clock);
  const auto messages = giver.Fill.TakeMessages();
  BOOST_TEST(std::get<core::ViewPage>(messages.at(0).Message).revision != 0U);
  const auto& refusal = std::get<core::ViewPage>(messages.at(1).Message);
  BOOST_TEST(refusal.revision == 0U);
  BOOST_TEST((std::find(refusal.fullViewPeers.begin(),
                        refusal.fullViewPeers.end(),
                        this->At(10).Address) != refusal.fullViewPeers.end()));
}

// Pages between zones cost; 300 daemons filled each from anywhere.
BOOST_AUTO_TEST_CASE(who_has_a_nearer_giver_is_mostly_sent_there)
{
  this->Start(kManyBackends);
  this->TimeUntilWhole();
  Node& giver = this->At(5);
  const core::Endpoint near = endpoint(8, 1, 7720);
  const core::Endpoint asking = endpoint(8, 2, 7720);
  std::size_t given = 0;
  for (int asked = 0; asked < 100; ++asked) {
    this->Now += 1s;
    // A page for the near one, which is then known to be whole.
    giver.Fill.OnRequest({ near, "servers/9999", 0 }, giver.Clock(this->Now));
    giver.Fill.TakeMessages();
    giver.Fill.OnRequest({ asking, "", 0 }, giver.Clock(this->Now));
    const auto messages = giver.Fill.TakeMessages();
    const auto& page = std::get<core::ViewPage>(messages.at(0).Message);
    given += page.revision != 0 ? 1 : 0;
    BOOST_TEST(
      (page.revision != 0 ||
       std::find(page.fullViewPeers.begin(), page.fullViewPeers.end(), near) !=
         page.fullViewPeers.end()));
  }
  // The near one may be dead: some are served all the same.
  BOOST_TEST(given > 5U);
  BOOST_TEST(given < 50U);
}

BOOST_AUTO_TEST_CASE(a_daemon_without_a_whole_view_gives_no_page)
{
  this->Start(kManyBackends);
  this->Run(200ms);
  Node& sampled = this->At(30);
  BOOST_REQUIRE(!sampled.Reader.hasAllBackends());
  sampled.Fill.TakeMessages();
  sampled.Fill.OnRequest({ this->At(31).Address, "", 0 },
                         sampled.Clock(this->Now));
  const auto messages = sampled.Fill.TakeMessages();
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(std::get<core::ViewPage>(messages[0].Message).revision == 0U);
}

// A giver whose last page was lost takes the daemon that asks again for whole.
BOOST_AUTO_TEST_CASE(a_refusal_that_names_only_the_asking_daemon_leads_nowhere)
{
  this->Start(kManyBackends);
  this->Run(400ms);
  Node& node = this->At(30);
  BOOST_REQUIRE(!node.Reader.hasAllBackends());
  core::ViewPage refusal;
  refusal.sender = this->At(0).Address;
  refusal.fullViewPeers = { node.Address };
  this->Now += 1s;
  this->FillView(node, { this->At(0).Address });
  node.Fill.TakeMessages();
  BOOST_TEST(!node.Fill.OnPage(refusal, node.Clock(this->Now)));
  BOOST_TEST(node.Fill.TakeMessages().empty());
}

BOOST_AUTO_TEST_CASE(a_page_that_is_older_than_the_view_is_not_taken)
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
  BOOST_TEST(!node.Fill.OnPage(page, node.Clock(this->Now)));
  BOOST_TEST(!node.Reader.hasAllBackends());
  BOOST_TEST(node.Fill.GetCounters().TooOld == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
