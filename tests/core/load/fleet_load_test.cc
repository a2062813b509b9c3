#include "core/load/fleet_load.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/constants.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::uint32_t kSlots = 10;

core::LoadKey KeyOf(std::uint32_t service)
{
  return { core::ServiceId{ service }, core::ZoneId{ 1 } };
}

core::FlowFingerprint FlowOf(std::uint64_t caller)
{
  return core::FlowFingerprint{ caller };
}

core::LoadReport ReportOf(std::uint8_t host,
                          core::Time sentAt,
                          std::uint32_t inFlight,
                          std::uint32_t daemons = 1)
{
  core::LoadReport report;
  report.replyTo = endpoint(9, host, 7720);
  report.sentAtUs = static_cast<std::uint64_t>(sentAt.count());
  report.nextMs = 500;
  report.level = 1;
  report.daemons = daemons;
  report.loads = { { core::ServiceId{ 1 }, core::ZoneId{ 1 }, inFlight } };
  return report;
}

/// The root of a tree; its followers are the test's.
struct RootFixture
{
  core::LoadMeter Meter;
  core::FleetLoad Load{ endpoint(9, 1, 7720), this->Meter, [](core::Time) {
                         return core::ZoneSlots{ { KeyOf(1), kSlots } };
                       } };
  core::Time Now = 100s;

  void Tick() { this->Load.OnTick({ std::nullopt, true, 0 }, this->Now); }

  std::optional<double> GetUtilization() const
  {
    const auto room =
      this->Load.GetRoom(KeyOf(1).first, KeyOf(1).second, this->Now);
    return room ? std::optional(room->Utilization) : std::nullopt;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_load_test)

BOOST_FIXTURE_TEST_CASE(a_daemon_alone_knows_the_fleets_load, RootFixture)
{
  BOOST_TEST(!this->GetUtilization().has_value());
  this->Meter.OnRequest(FlowOf(1), KeyOf(1), this->Now);
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.1);
  this->Now += 10s;
  BOOST_TEST(!this->GetUtilization().has_value());
}

BOOST_FIXTURE_TEST_CASE(reports_add_up_until_they_end, RootFixture)
{
  this->Meter.OnRequest(FlowOf(1), KeyOf(1), this->Now);
  this->Load.OnReport(ReportOf(2, this->Now - 100ms, 2), this->Now);
  this->Load.OnReport(ReportOf(3, this->Now, 3), this->Now);
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.6);
  BOOST_TEST(this->Load.CountDaemons() == 3U);
  BOOST_TEST((this->Load.GetAge(this->Now) == core::Duration(100ms)));
  this->Now += 1500ms;
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.1);
}

BOOST_FIXTURE_TEST_CASE(late_and_repeated_reports_change_nothing, RootFixture)
{
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.OnReport(ReportOf(2, this->Now - 200ms, 9), this->Now);
  this->Load.OnReport(ReportOf(3, this->Now - 3s, 9), this->Now);
  this->Load.OnReport(ReportOf(4, this->Now + 1s, 9), this->Now);
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.2);
  BOOST_TEST(this->Load.GetCounters().ReportsIgnored == 4U);
}

BOOST_FIXTURE_TEST_CASE(what_a_daemon_claims_is_bounded, RootFixture)
{
  core::LoadReport report = ReportOf(2, this->Now, UINT32_MAX, UINT32_MAX);
  report.nextMs = UINT32_MAX;
  report.loads.insert(
    report.loads.end(), 10 * core::kMostLoadsTold, report.loads[0]);
  for (std::uint8_t host = 2; host < 40; ++host) {
    report.replyTo = endpoint(9, host, 7720);
    this->Load.OnReport(report, this->Now);
  }
  this->Load.OnReport(ReportOf(50, this->Now, UINT32_MAX), this->Now);
  this->Tick();
  BOOST_TEST(this->Load.GetLoad(KeyOf(1)).InFlight <=
             core::kMaxFleetSize * core::kMostOfOneDaemon);
  BOOST_TEST(this->Load.CountDaemons() <= core::kMaxFleetSize);
  this->Now += 10s;
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.0);
  this->Load.OnReport(ReportOf(50, this->Now, UINT32_MAX), this->Now);
  this->Tick();
  BOOST_TEST(this->Load.GetLoad(KeyOf(1)).InFlight == core::kMostOfOneDaemon);
}

BOOST_FIXTURE_TEST_CASE(figures_of_few_daemons_are_none, RootFixture)
{
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.OnTick({ std::nullopt, true, 5 }, this->Now);
  BOOST_TEST(!this->GetUtilization().has_value());
  this->Load.OnTick({ std::nullopt, true, 4 }, this->Now);
  BOOST_TEST(this->GetUtilization().value() == 0.2);
}

BOOST_FIXTURE_TEST_CASE(zones_without_a_slot_have_no_room, RootFixture)
{
  this->Tick();
  const auto room =
    this->Load.GetRoom(KeyOf(1).first, core::ZoneId{ 2 }, this->Now);
  BOOST_TEST(room.value().Utilization == 1.0);
}

BOOST_FIXTURE_TEST_CASE(rejections_are_a_share_of_openings, RootFixture)
{
  for (std::uint64_t caller = 0; caller < 8; ++caller) {
    this->Meter.OnOpening(FlowOf(caller), KeyOf(1), this->Now);
  }
  core::OpeningResult result;
  result.Service = KeyOf(1).first;
  result.Zone = KeyOf(1).second;
  result.Outcome = core::OpeningOutcome::kTurnedAway;
  this->Meter.OnOpeningEnded(result, this->Now);
  this->Meter.OnOpeningEnded(result, this->Now);
  this->Tick();
  const auto room =
    this->Load.GetRoom(KeyOf(1).first, KeyOf(1).second, this->Now);
  BOOST_TEST(room.value().RejectedShare == 0.25);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_known_where_it_is_switched_off, RootFixture)
{
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.SetEnabled(false);
  this->Tick();
  BOOST_TEST(!this->GetUtilization().has_value());
  BOOST_TEST(this->Load.TakeSummaries(this->Now).empty());
}

BOOST_FIXTURE_TEST_CASE(busy_zones_are_told_of_once_and_more_often,
                        RootFixture)
{
  this->Tick();
  BOOST_TEST(this->Load.TakeSummaries(this->Now).size() == 2U);
  this->Now += 200ms;
  this->Tick();
  BOOST_TEST(this->Load.TakeSummaries(this->Now).empty());
  for (std::uint64_t caller = 0; caller < 6; ++caller) {
    this->Meter.OnRequest(FlowOf(caller), KeyOf(1), this->Now);
  }
  std::size_t summaries = 0;
  std::vector<core::LoadCrossing> crossings;
  for (int tick = 0; tick < 5; ++tick) {
    this->Now += 200ms;
    this->Tick();
    summaries += this->Load.TakeSummaries(this->Now).size();
    for (const core::LoadCrossing& crossing : this->Load.TakeCrossings()) {
      crossings.push_back(crossing);
    }
  }
  BOOST_TEST(summaries == 2 * 2U); // A question, and the sum.
  BOOST_REQUIRE_EQUAL(crossings.size(), 1U);
  BOOST_TEST(crossings[0].IsBusy);
  BOOST_TEST(crossings[0].Load.InFlight == 6U);
  this->Now += 2s;
  this->Tick();
  crossings = this->Load.TakeCrossings();
  BOOST_REQUIRE_EQUAL(crossings.size(), 1U);
  BOOST_TEST(!crossings[0].IsBusy);
}

namespace {

using Content = std::variant<core::LoadReport, core::LoadSummary>;

/// Daemons with clocks of their own, each with one request of a service of
/// its own, so that the root's sum shows who is counted how often.
struct Tree
{
  struct Daemon
  {
    core::LoadMeter Meter;
    std::unique_ptr<core::FleetLoad> Load;
    std::size_t Upstream = 0;
    core::Duration Offset{};
    bool IsFrozen = false;
  };
  struct Message
  {
    std::size_t From = 0;
    std::size_t To = 0;
    Content What;
  };
  static constexpr std::size_t kDaemons = 8;

  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<Message> Waiting;
  core::Time Now = 1000s;

  Tree()
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      auto daemon = std::make_unique<Daemon>();
      daemon->Load = std::make_unique<core::FleetLoad>(
        AddressOf(i), daemon->Meter, [](core::Time) {
          return core::ZoneSlots{ { KeyOf(1), kSlots } };
        });
      daemon->Offset = static_cast<std::int64_t>(i) * 77s;
      this->Daemons.push_back(std::move(daemon));
    }
  }

  static core::Endpoint AddressOf(std::size_t index)
  {
    return endpoint(9, static_cast<std::uint8_t>(index + 1), 7720);
  }

  core::Time Clock(std::size_t index) const
  {
    return this->Now + this->Daemons[index]->Offset;
  }

  void Tick(std::size_t index)
  {
    Daemon& daemon = *this->Daemons[index];
    const core::Time clock = this->Clock(index);
    daemon.Meter.OnRequest(
      FlowOf(1), KeyOf(static_cast<std::uint32_t>(index)), clock);
    core::TreePlace place;
    place.IsRoot = index == 0;
    if (index != 0) {
      place.Upstream = AddressOf(daemon.Upstream);
    }
    daemon.Load->OnTick(place, clock);
    if (index != 0) {
      const core::Time theirs = this->Clock(daemon.Upstream);
      daemon.Load->OnUpstreamClock(static_cast<std::uint64_t>(theirs.count()),
                                   clock);
    }
    this->Send(index);
  }

  void Send(std::size_t index)
  {
    Daemon& daemon = *this->Daemons[index];
    const core::Time clock = this->Clock(index);
    if (auto report = daemon.Load->TakeReport(clock)) {
      this->Waiting.push_back({ index, daemon.Upstream, *report });
    }
    for (const core::LoadSummary& summary :
         daemon.Load->TakeSummaries(clock)) {
      for (std::size_t i = 1; i < kDaemons; ++i) {
        if (this->Daemons[i]->Upstream == index) {
          this->Waiting.push_back({ index, i, summary });
        }
      }
    }
  }

  void Deliver(const Message& message)
  {
    if (this->Daemons[message.To]->IsFrozen) {
      return;
    }
    core::FleetLoad& load = *this->Daemons[message.To]->Load;
    if (const auto* report = std::get_if<core::LoadReport>(&message.What)) {
      load.OnReport(*report, this->Clock(message.To));
      this->Send(message.To);
      return;
    }
    const auto& summary = std::get<core::LoadSummary>(message.What);
    const core::Time sentAt =
      core::Time(static_cast<std::int64_t>(summary.sentAtUs)) -
      this->Daemons[message.From]->Offset + this->Daemons[message.To]->Offset;
    load.OnSummary(summary, sentAt, this->Clock(message.To));
    this->Send(message.To);
  }

  void DeliverAll()
  {
    for (std::size_t i = 0; i < this->Waiting.size(); ++i) {
      const Message message = this->Waiting[i];
      this->Deliver(message);
    }
    this->Waiting.clear();
  }

  void Run(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Now += 100ms;
      for (std::size_t i = kDaemons; i > 0; --i) {
        if (!this->Daemons[i - 1]->IsFrozen) {
          this->Tick(i - 1);
        }
      }
      this->DeliverAll();
    }
  }

  std::uint32_t MostCountsOf(std::size_t index) const
  {
    const core::LoadKey key = KeyOf(static_cast<std::uint32_t>(index));
    return this->Daemons[0]->Load->GetLoad(key).InFlight;
  }

  /// One step of a bad day.
  void Do(unsigned command, unsigned choice)
  {
    const std::size_t index = choice % kDaemons;
    switch (command % 8) {
      case 0:
      case 1:
      case 2:
        this->Now += std::chrono::milliseconds(choice % 400);
        this->Tick(index);
        return;
      case 3:
        if (index != 0 && choice / kDaemons % kDaemons != index) {
          this->Daemons[index]->Upstream = choice / kDaemons % kDaemons;
        }
        return;
      case 4:
        this->DeliverAll();
        return;
      default:
        break;
    }
    if (this->Waiting.empty()) {
      return;
    }
    const std::size_t at = choice % this->Waiting.size();
    const Message message = this->Waiting[at];
    if (command % 8 != 5) { // Else it is repeated later.
      this->Waiting.erase(this->Waiting.begin() +
                          static_cast<std::ptrdiff_t>(at));
    }
    if (command % 8 != 6) { // Else it is lost.
      this->Deliver(message);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(all_of_a_tree_know_its_load)
{
  Tree tree;
  for (std::size_t i = 1; i < Tree::kDaemons; ++i) {
    tree.Daemons[i]->Upstream = i / 2;
  }
  tree.Run(20s);
  for (std::size_t i = 0; i < Tree::kDaemons; ++i) {
    for (std::uint32_t service = 0; service < Tree::kDaemons; ++service) {
      BOOST_TEST(tree.Daemons[i]->Load->GetLoad(KeyOf(service)).InFlight ==
                 1U);
    }
    BOOST_TEST(tree.Daemons[i]->Load->CountDaemons() == Tree::kDaemons);
  }
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_is_missing_and_blinds_nobody)
{
  Tree tree;
  tree.Run(20s);
  for (std::uint64_t caller = 10; caller < 20; ++caller) {
    tree.Daemons[3]->Meter.OnRequest(FlowOf(caller), KeyOf(1), tree.Clock(3));
  }
  tree.Run(1s);
  tree.Daemons[5]->IsFrozen = true;
  tree.Run(6s);
  BOOST_TEST(tree.Daemons[0]->Load->CountDaemons() == Tree::kDaemons - 1);
  BOOST_TEST(tree.MostCountsOf(5) == 0U);
  BOOST_TEST(tree.MostCountsOf(4) == 1U);
}

BOOST_AUTO_TEST_CASE(nobody_is_counted_twice_and_what_was_told_fades)
{
  std::size_t counted = 0;
  const bool isKept = rc::check("sums hold each daemon once", [&counted] {
    const auto command =
      rc::gen::resize(rc::kNominalSize,
                      rc::gen::pair(rc::gen::inRange(0U, 1000U),
                                    rc::gen::inRange(0U, 10000U)));
    const auto commands = *rc::gen::resize(
      400,
      rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(command));
    Tree tree;
    for (const auto& [what, choice] : commands) {
      tree.Do(what, choice);
      for (std::size_t i = 0; i < Tree::kDaemons; ++i) {
        const std::uint32_t counts = tree.MostCountsOf(i);
        RC_ASSERT(counts <= 1U);
        counted += i != 0 && counts == 1 ? 1U : 0U;
      }
    }
    tree.Now += core::kLongestReportHolds;
    tree.Tick(0);
    RC_ASSERT(tree.Daemons[0]->Load->CountDaemons() == 1U);
  });
  BOOST_TEST(isKept);
  // The sequences reach what they are about.
  BOOST_TEST(counted > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
