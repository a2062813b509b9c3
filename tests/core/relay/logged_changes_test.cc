/// What a view's change log must hold so that any follower ends up with the
/// same view, whatever it had heard before.
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// A view that is complete up to revision 10 and holds one back end.
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

// An update brings a lapsed registration's removal and its return together.
// To this view nothing happened; a follower that had heard of the removal
// from another daemon kept the back end out until it changed again.
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
