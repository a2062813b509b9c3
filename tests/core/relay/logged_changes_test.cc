/// Changes that the log must hold so that all followers reach the same view,
/// whatever updates they received before.
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// A view that is complete up to revision 10 and holds one backend.
struct LoggedChangesFixture : LoggedView
{
  core::Registration Registered = makeRegistration(1, "web", 1, 1);

  LoggedChangesFixture()
  {
    this->Take(10, this->Registered);
    this->Log.Close(10);
  }

  void Take(core::Revision revision, decltype(core::StoreChange::item) item)
  {
    this->Updater.onChange({ "servers/1", revision, std::move(item) }, 100s);
  }
};

BOOST_FIXTURE_TEST_SUITE(LoggedChangesTest, LoggedChangesFixture)

// A removal and an identical registration may arrive together and leave this
// view unchanged.  A follower that received the removal from another daemon
// still needs the registration.
BOOST_AUTO_TEST_CASE(identical_reregistration_is_propagated)
{
  this->Take(12, this->Registered);
  this->Take(11, core::RemovedItem{});
  this->Log.Close(12);
  const auto range = this->Log.Since(11);
  BOOST_TEST_REQUIRE(range.has_value());
  BOOST_TEST_REQUIRE(range->Changes.size() == 1U);
  BOOST_TEST(range->Changes[0].revision == 12U);
}

BOOST_AUTO_TEST_CASE(older_changes_are_not_propagated)
{
  this->Take(10, this->Registered);
  this->Take(9, core::RemovedItem{});
  this->Log.Close(12);
  const auto range = this->Log.Since(10);
  BOOST_TEST_REQUIRE(range.has_value());
  BOOST_TEST(range->Changes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
