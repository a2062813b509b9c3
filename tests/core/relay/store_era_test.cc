/// @file
/// Restores of the store from an older copy.
///
/// Guards against daemons ignoring changes after a restore because the store
/// reuses revision numbers of changes that it lost.
#include "core/relay/view_relay.h"

#include <boost/test/unit_test.hpp>

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// A confirmed change must be in effect on every daemon within this time.
constexpr core::Duration kPropagationLimit = 3s;

struct RestoredStoreFixture : RelayFixture
{
  /// Apply four versions everywhere, restore the store from a copy that has
  /// none of them, and write the last version again.
  void RestoreOlderCopy()
  {
    this->Run(5s);
    const FakeStore::Snapshot copy = this->Store.snapshot();
    for (core::ConfigurationVersion version = 8; version <= 11; ++version) {
      this->ChangeRoutes(version);
      this->Run(1s);
    }
    this->Refusal = core::ReadOutcome::kConnectionLost;
    this->SetStoreRefusesAll(true);
    this->Run(2s);
    this->Store.restore(copy);
    this->ChangeRoutes(11);
    this->SetStoreRefusesAll(false);
    this->Run(4s);
  }

  void AnnounceShutdown(std::uint64_t id)
  {
    core::Registration registration =
      makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id));
    registration.state = core::BackendState::kDraining;
    this->Store.put("servers/" + std::to_string(id), registration);
  }

  std::size_t CountAcceptingNewFlows(std::uint64_t id) const
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

BOOST_FIXTURE_TEST_SUITE(StoreEraTest, RestoredStoreFixture)

BOOST_AUTO_TEST_CASE(shutdown_announced_after_the_restore_reaches_every_daemon)
{
  this->RestoreOlderCopy();
  this->AnnounceShutdown(1);
  this->Run(kPropagationLimit);
  BOOST_TEST(this->CountAcceptingNewFlows(1) == 0U);
}

BOOST_AUTO_TEST_CASE(version_written_after_the_restore_is_applied_in_time)
{
  this->RestoreOlderCopy();
  this->ChangeRoutes(12);
  BOOST_TEST((this->TimeUntilApplied(12) <= kPropagationLimit));
}

// Guards against alternating listings and watches from a revision that the
// restored store does not have yet.
BOOST_AUTO_TEST_CASE(restore_costs_few_reads)
{
  this->RestoreOlderCopy();
  const std::uint64_t calls = this->CountCalls();
  this->Run(5s);
  BOOST_TEST(this->CountCalls() - calls <= 5 * this->Nodes.size());
}

// The rewritten version equals the old one, so the view of the reader is
// unchanged.  It must still be propagated to daemons that started after the
// restore.
BOOST_AUTO_TEST_CASE(
  daemon_started_after_the_restore_receives_the_rewritten_version)
{
  this->Run(5s);
  const FakeStore::Snapshot copy = this->Store.snapshot();
  this->ChangeRoutes(8);
  this->Run(2s);
  this->Store.restore(copy);
  this->Run(2s);
  this->GrowTo(13);
  this->Run(2s);
  BOOST_TEST(this->At(12).Routes.version() == 7U);
  this->ChangeRoutes(8);
  BOOST_TEST((this->TimeUntilApplied(8) <= kPropagationLimit));
}

// Guards against sending all unchanged items to every daemon after a restore.
BOOST_AUTO_TEST_CASE(unchanged_registrations_are_not_sent_again)
{
  this->AddBackends(200);
  this->Run(5s);
  const FakeStore::Snapshot copy = this->Store.snapshot();
  this->ChangeRoutes(8);
  this->Run(2s);
  this->Store.restore(copy);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) <= kPropagationLimit));
  const core::Revision before = this->At(0).Reader.history().GetGap().From;
  BOOST_TEST(this->At(0).Backends.changesSince(before).exactChanges.empty());
  BOOST_TEST(this->At(0).Backends.size() == 201U);
}

BOOST_AUTO_TEST_CASE(unchanged_version_is_not_sent_again)
{
  this->ChangeRoutes(8);
  this->Run(5s);
  const core::Revision written = this->Store.revision();
  this->Store.restore(this->Store.snapshot());
  this->Run(2s);
  for (const auto& node : this->Nodes) {
    BOOST_TEST((node->Reader.revision().era == this->Store.era()));
    BOOST_TEST(node->Routes.changedAt() == written);
  }
}

/// Adds a backend that only daemons other than the seeds observe, and which no
/// longer exists once the partition ends.
struct LostRegistrationFixture : RestoredStoreFixture
{
  FakeStore::Snapshot Before;

  void AddUnseenBySeeds()
  {
    this->Run(5s);
    this->Before = this->Store.snapshot();
    for (std::size_t i = 0; i < kSeeds; ++i) {
      this->At(i).IsPartitioned = this->At(i).StoreUnresponsive = true;
    }
    this->Store.put("servers/2", makeRegistration(2, "web", 1, 2));
    this->Run(5s);
    BOOST_TEST(this->CountAcceptingNewFlows(2) == this->Nodes.size() - kSeeds);
    this->SetStoreRefusesAll(true);
  }

  /// The seeds are reachable before the other daemons read the store.
  void EndPartition()
  {
    for (std::size_t i = 0; i < kSeeds; ++i) {
      Node& seed = this->At(i);
      seed.IsPartitioned = seed.StoreUnresponsive = seed.StoreRefuses = false;
    }
    this->Run(2s);
    this->SetStoreRefusesAll(false);
    this->Run(kPropagationLimit);
  }
};

BOOST_FIXTURE_TEST_CASE(backend_lost_by_the_restore_is_removed_from_followers,
                        LostRegistrationFixture)
{
  this->AddUnseenBySeeds();
  this->Store.restore(this->Before);
  this->Store.put("servers/3", makeRegistration(3, "web", 1, 3));
  this->EndPartition();
  BOOST_TEST(this->CountAcceptingNewFlows(2) == 0U);
  BOOST_TEST(this->CountAcceptingNewFlows(3) == this->Nodes.size());
}

// As above, but with a lost history: the reader compares a listing with a view
// that never held the removed backend.
BOOST_FIXTURE_TEST_CASE(
  backend_lost_with_the_history_is_removed_from_followers,
  LostRegistrationFixture)
{
  this->AddUnseenBySeeds();
  this->Store.put("servers/2", core::RemovedItem{});
  this->Store.put("servers/3", makeRegistration(3, "web", 1, 3));
  this->Store.compact();
  this->EndPartition();
  BOOST_TEST(this->CountAcceptingNewFlows(2) == 0U);
  BOOST_TEST(this->CountAcceptingNewFlows(3) == this->Nodes.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
