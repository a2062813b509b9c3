/// @file
/// A store that comes back from an older copy of itself.
///
/// Seen: a back end that had announced its end got new flows for more than
/// three seconds from some daemons, and a confirmed version of the routes was
/// not in force there.  It began after the store had been away for two
/// seconds and ended with the store's next change but some.
/// How it came about: the store came back from a copy some seconds old and
/// gave out the revisions of what it had lost again.  The daemon that reads it
/// listed it and took what it found, but kept the highest revision that it had
/// ever seen as its place; its followers took each of its updates for one that
/// they had, and were confirmed to be in step.
/// Cause: a bare revision was taken for the order of all that was ever
/// written.  Proof: the changes that were late are just those whose revisions
/// had been given out before, and all came with the first one above.
#include "core/relay/view_relay.h"

#include <boost/test/unit_test.hpp>

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// In which a confirmed change has to be in force at every daemon.
constexpr core::Duration kInForceWithin = 3s;

struct ReturningStore : RelayFixture
{
  /// Four versions are in force everywhere; then the store is away, comes back
  /// from a copy that has none of them, and the last one is written again.
  void ComeBackOlder()
  {
    this->Run(5s);
    const FakeStore::Copy copy = this->Store.copy();
    for (core::ConfigurationVersion version = 8; version <= 11; ++version) {
      this->ChangeRoutes(version);
      this->Run(1s);
    }
    this->Refusal = core::ReadOutcome::kConnectionLost;
    this->RefuseAll(true);
    this->Run(2s);
    this->Store.comeBackFrom(copy);
    this->ChangeRoutes(11);
    this->RefuseAll(false);
    this->Run(4s);
  }

  void AnnounceEnd(std::uint64_t id)
  {
    core::Registration registration =
      makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id));
    registration.state = core::BackendState::kDraining;
    this->Store.put("servers/" + std::to_string(id), registration);
  }

  std::size_t CountThatPlaceOn(std::uint64_t id) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->Nodes.begin(),
                    this->Nodes.end(),
                    [id](const std::unique_ptr<Node>& node) {
                      return node->Alive &&
                        node->Backends.takesNewFlows(core::BackendId{ id });
                    }));
  }
};

BOOST_FIXTURE_TEST_SUITE(StoreEraTest, ReturningStore)

BOOST_AUTO_TEST_CASE(an_end_announced_after_the_return_reaches_every_daemon)
{
  this->ComeBackOlder();
  this->AnnounceEnd(1);
  this->Run(kInForceWithin);
  BOOST_TEST(this->CountThatPlaceOn(1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_version_written_after_the_return_is_in_force_in_time)
{
  this->ComeBackOlder();
  this->ChangeRoutes(12);
  BOOST_TEST((this->TimeUntilInForce(12) <= kInForceWithin));
}

// Each listing was followed by a watch after a revision that the store did not
// have yet, and that by another listing: sixty pairs a second.
BOOST_AUTO_TEST_CASE(a_return_costs_a_few_reads)
{
  this->ComeBackOlder();
  const std::uint64_t calls = this->CountCalls();
  this->Run(5s);
  BOOST_TEST(this->CountCalls() - calls <= 5 * this->Nodes.size());
}

// The version was written again, with the number and the routes that it had
// had before: at the daemon that reads the store nothing changed, so it told
// nobody.
BOOST_AUTO_TEST_CASE(
  a_daemon_that_began_with_the_copy_gets_the_version_written_again)
{
  this->Run(5s);
  const FakeStore::Copy copy = this->Store.copy();
  this->ChangeRoutes(8);
  this->Run(2s);
  this->Store.comeBackFrom(copy);
  this->Run(2s);
  this->Grow(13);
  this->Run(2s);
  BOOST_TEST(this->At(12).Routes.version() == 7U);
  this->ChangeRoutes(8);
  BOOST_TEST((this->TimeUntilInForce(8) <= kInForceWithin));
}

// A return tells nobody of what the copy has as it was known: 450 KB for each
// daemon where there are 10,000 back ends.
BOOST_AUTO_TEST_CASE(what_the_copy_has_unchanged_is_not_told_again)
{
  this->AddBackends(200);
  this->Run(5s);
  const FakeStore::Copy copy = this->Store.copy();
  this->ChangeRoutes(8);
  this->Run(2s);
  this->Store.comeBackFrom(copy);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) <= kInForceWithin));
  const core::Revision before = this->At(0).Reader.history().GetGap().From;
  BOOST_TEST(this->At(0).Backends.changesSince(before).dated.empty());
  BOOST_TEST(this->At(0).Backends.size() == 201U);
}

BOOST_AUTO_TEST_CASE(a_version_that_the_copy_has_unchanged_is_not_told_again)
{
  this->ChangeRoutes(8);
  this->Run(5s);
  const core::Revision written = this->Store.revision();
  this->Store.comeBackFrom(this->Store.copy());
  this->Run(2s);
  for (const auto& node : this->Nodes) {
    BOOST_TEST((node->Reader.revision().era == this->Store.era()));
    BOOST_TEST(node->Routes.changedAt() == written);
  }
}

/// The seeds are cut off while a back end is added that only the others learn
/// of; nobody has it any more when all meet again.
struct LostAddition : ReturningStore
{
  FakeStore::Copy Before;

  void AddBehindTheSeeds()
  {
    this->Run(5s);
    this->Before = this->Store.copy();
    for (std::size_t i = 0; i < kSeeds; ++i) {
      this->At(i).PeersCut = this->At(i).StoreSilent = true;
    }
    this->Store.put("servers/2", makeRegistration(2, "web", 1, 2));
    this->Run(5s);
    BOOST_TEST(this->CountThatPlaceOn(2) == this->Nodes.size() - kSeeds);
    this->RefuseAll(true);
  }

  /// The seeds are heard before the others read.
  void Meet()
  {
    for (std::size_t i = 0; i < kSeeds; ++i) {
      Node& seed = this->At(i);
      seed.PeersCut = seed.StoreSilent = seed.StoreRefuses = false;
    }
    this->Run(2s);
    this->RefuseAll(false);
    this->Run(kInForceWithin);
  }
};

BOOST_FIXTURE_TEST_CASE(
  a_back_end_that_only_followers_knew_is_forgotten_with_the_copy,
  LostAddition)
{
  this->AddBehindTheSeeds();
  this->Store.comeBackFrom(this->Before);
  this->Store.put("servers/3", makeRegistration(3, "web", 1, 3));
  this->Meet();
  BOOST_TEST(this->CountThatPlaceOn(2) == 0U);
  BOOST_TEST(this->CountThatPlaceOn(3) == this->Nodes.size());
}

// The same without a copy: who reads has lost the history of a back end that
// came and went, and compares a listing with a view that never had it.
BOOST_FIXTURE_TEST_CASE(
  a_back_end_that_only_followers_knew_is_forgotten_with_the_history,
  LostAddition)
{
  this->AddBehindTheSeeds();
  this->Store.put("servers/2", core::RemovedItem{});
  this->Store.put("servers/3", makeRegistration(3, "web", 1, 3));
  this->Store.compact();
  this->Meet();
  BOOST_TEST(this->CountThatPlaceOn(2) == 0U);
  BOOST_TEST(this->CountThatPlaceOn(3) == this->Nodes.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
