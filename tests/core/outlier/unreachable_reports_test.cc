#include "core/outlier/unreachable_reports.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;

constexpr BackendId kGone{ 7 };

BOOST_FIXTURE_TEST_SUITE(UnreachableReportsTest, RelayFixture)

BOOST_AUTO_TEST_CASE(a_report_is_news_once_until_it_ends)
{
  core::UnreachableReports reports;
  BOOST_TEST(reports.Take({ kGone }, 100s));
  BOOST_TEST(!reports.Take({ kGone }, 100s));
  BOOST_TEST((reports.TakeUnchecked() == std::vector{ kGone }));
  BOOST_TEST(reports.TakeUnchecked().empty());
  BOOST_TEST((reports.GetLatest() == std::vector{ kGone }));
  reports.Expire(100s + core::kUnreachableFor);
  BOOST_TEST(reports.GetLatest().empty());
  BOOST_TEST(reports.Take({ kGone }, 102s));
}

BOOST_AUTO_TEST_CASE(what_others_have_told_is_not_reported_again)
{
  core::UnreachableReports reports;
  reports.Take({ kGone }, 100s);
  reports.OnUnreachable(kGone);
  BOOST_TEST(reports.TakePending().empty());
  reports.OnUnreachable(BackendId{ 8 });
  BOOST_TEST((reports.TakePending() == std::vector{ BackendId{ 8 } }));
  BOOST_TEST(reports.TakePending().empty());
}

BOOST_AUTO_TEST_CASE(reports_are_bounded)
{
  core::UnreachableReports reports;
  std::vector<BackendId> many;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    many.push_back(BackendId{ id });
    reports.OnUnreachable(BackendId{ id });
  }
  BOOST_TEST(reports.TakePending().size() == core::kMostUnreachableTold);
  reports.Take(many, 100s);
  BOOST_TEST(reports.GetLatest().size() == core::kMostUnreachableTold);
}

// Each daemon found a back end without power by losing a request of its own.
BOOST_AUTO_TEST_CASE(a_report_reaches_every_daemon_soon)
{
  this->Grow(60);
  this->Run(8s);
  this->At(50).Outliers.GetUnreachable().OnUnreachable(kGone);
  this->Run(2 * kStep);
  for (std::size_t i = 0; i < this->Nodes.size(); ++i) {
    if (i != 50) {
      const auto unchecked =
        this->At(i).Outliers.GetUnreachable().TakeUnchecked();
      BOOST_TEST((unchecked == std::vector{ kGone }));
    }
  }
  this->Run(5s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Outliers.GetUnreachable().GetLatest().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
