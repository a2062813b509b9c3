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

core::FlowFingerprint FlowOf(std::uint64_t client)
{
  return core::FlowFingerprint{ client };
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

/// The root of a tree; its followers are simulated by the test.
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
    const auto capacity =
      this->Load.GetZoneCapacity(KeyOf(1).first, KeyOf(1).second, this->Now);
    return capacity ? std::optional(capacity->Utilization) : std::nullopt;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_load_test)

BOOST_FIXTURE_TEST_CASE(single_daemon_knows_the_fleet_load, RootFixture)
{
  BOOST_TEST(!this->GetUtilization().has_value());
  this->Meter.OnRequest(FlowOf(1), KeyOf(1), this->Now);
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.1);
  this->Now += 10s;
  BOOST_TEST(!this->GetUtilization().has_value());
}

BOOST_FIXTURE_TEST_CASE(reports_are_summed_until_they_expire, RootFixture)
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

BOOST_FIXTURE_TEST_CASE(late_and_repeated_reports_are_ignored, RootFixture)
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

BOOST_FIXTURE_TEST_CASE(reported_load_is_bounded, RootFixture)
{
  core::LoadReport report = ReportOf(2, this->Now, UINT32_MAX, UINT32_MAX);
  report.nextMs = UINT32_MAX;
  report.loads.insert(
    report.loads.end(), 10 * core::kMaxLoadsPerMessage, report.loads[0]);
  for (std::uint8_t host = 2; host < 40; ++host) {
    report.replyTo = endpoint(9, host, 7720);
    this->Load.OnReport(report, this->Now);
  }
  this->Load.OnReport(ReportOf(50, this->Now, UINT32_MAX), this->Now);
  this->Tick();
  BOOST_TEST(this->Load.GetLoad(KeyOf(1)).InFlight <=
             core::kMaxFleetSize * core::kMaxLoadPerDaemon);
  BOOST_TEST(this->Load.CountDaemons() <= core::kMaxFleetSize);
  this->Now += 10s;
  this->Tick();
  BOOST_TEST(this->GetUtilization().value() == 0.0);
  this->Load.OnReport(ReportOf(50, this->Now, UINT32_MAX), this->Now);
  this->Tick();
  BOOST_TEST(this->Load.GetLoad(KeyOf(1)).InFlight == core::kMaxLoadPerDaemon);
}

BOOST_FIXTURE_TEST_CASE(load_of_too_few_daemons_is_not_used, RootFixture)
{
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.OnTick({ std::nullopt, true, 5 }, this->Now);
  BOOST_TEST(!this->GetUtilization().has_value());
  this->Load.OnTick({ std::nullopt, true, 4 }, this->Now);
  BOOST_TEST(this->GetUtilization().value() == 0.2);
}

BOOST_FIXTURE_TEST_CASE(zone_without_slots_has_no_idle_slot, RootFixture)
{
  this->Tick();
  const auto capacity =
    this->Load.GetZoneCapacity(KeyOf(1).first, core::ZoneId{ 2 }, this->Now);
  BOOST_TEST(capacity.value().Utilization == 1.0);
}

BOOST_FIXTURE_TEST_CASE(rejected_share_is_relative_to_openings, RootFixture)
{
  for (std::uint64_t client = 0; client < 8; ++client) {
    this->Meter.OnOpening(FlowOf(client), KeyOf(1), this->Now);
  }
  core::OpeningResult result;
  result.Service = KeyOf(1).first;
  result.Zone = KeyOf(1).second;
  result.Outcome = core::OpeningOutcome::kRejected;
  this->Meter.OnOpeningEnded(result, this->Now);
  this->Meter.OnOpeningEnded(result, this->Now);
  this->Tick();
  const auto capacity =
    this->Load.GetZoneCapacity(KeyOf(1).first, KeyOf(1).second, this->Now);
  BOOST_TEST(capacity.value().RejectedShare == 0.25);
}

BOOST_FIXTURE_TEST_CASE(disabled_reports_provide_no_load, RootFixture)
{
  this->Load.OnReport(ReportOf(2, this->Now, 2), this->Now);
  this->Load.SetEnabled(false);
  this->Tick();
  BOOST_TEST(!this->GetUtilization().has_value());
  BOOST_TEST(this->Load.TakeSummaries(this->Now).empty());
}

BOOST_FIXTURE_TEST_CASE(busy_zone_is_logged_once_and_reported_more_often,
                        RootFixture)
{
  this->Tick();
  BOOST_TEST(this->Load.TakeSummaries(this->Now).size() == 2U);
  this->Now += 200ms;
  this->Tick();
  BOOST_TEST(this->Load.TakeSummaries(this->Now).empty());
  for (std::uint64_t client = 0; client < 6; ++client) {
    this->Meter.OnRequest(FlowOf(client), KeyOf(1), this->Now);
  }
  std::size_t summaries = 0;
  std::vector<core::ZoneBusyChange> changes;
  for (int tick = 0; tick < 5; ++tick) {
    this->Now += 200ms;
    this->Tick();
    summaries += this->Load.TakeSummaries(this->Now).size();
    for (const core::ZoneBusyChange& change : this->Load.TakeBusyChanges()) {
      changes.push_back(change);
    }
  }
  BOOST_TEST(summaries == 2 * 2U); // Report request and summary.
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].IsBusy);
  BOOST_TEST(changes[0].Load.InFlight == 6U);
  this->Now += 2s;
  this->Tick();
  changes = this->Load.TakeBusyChanges();
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(!changes[0].IsBusy);
}

namespace {

using Content = std::variant<core::LoadReport, core::LoadSummary>;

/// Daemons with different clocks.  Each has one request in flight for a
/// service of its own, so that the sum at the root shows how often it is
/// counted.
struct Tree
{
  struct Daemon
  {
    core::LoadMeter Meter;
    std::unique_ptr<core::FleetLoad> Load;
    std::size_t Upstream = 0;
    core::Duration Offset{};
    bool IsSuspended = false;
  };
  struct Message
  {
    std::size_t From = 0;
    std::size_t To = 0;
    Content Body;
  };
  static constexpr std::size_t kDaemons = 8;

  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<Message> InTransit;
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
    core::TreePosition place;
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
      this->InTransit.push_back({ index, daemon.Upstream, *report });
    }
    for (const core::LoadSummary& summary :
         daemon.Load->TakeSummaries(clock)) {
      for (std::size_t i = 1; i < kDaemons; ++i) {
        if (this->Daemons[i]->Upstream == index) {
          this->InTransit.push_back({ index, i, summary });
        }
      }
    }
  }

  void Deliver(const Message& message)
  {
    if (this->Daemons[message.To]->IsSuspended) {
      return;
    }
    core::FleetLoad& load = *this->Daemons[message.To]->Load;
    if (const auto* report = std::get_if<core::LoadReport>(&message.Body)) {
      load.OnReport(*report, this->Clock(message.To));
      this->Send(message.To);
      return;
    }
    const auto& summary = std::get<core::LoadSummary>(message.Body);
    const core::Time sentAt =
      core::Time(static_cast<std::int64_t>(summary.sentAtUs)) -
      this->Daemons[message.From]->Offset + this->Daemons[message.To]->Offset;
    load.OnSummary(summary, sentAt, this->Clock(message.To));
    this->Send(message.To);
  }

  void DeliverAll()
  {
    for (std::size_t i = 0; i < this->InTransit.size(); ++i) {
      const Message message = this->InTransit[i];
      this->Deliver(message);
    }
    this->InTransit.clear();
  }

  void Run(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Now += 100ms;
      for (std::size_t i = kDaemons; i > 0; --i) {
        if (!this->Daemons[i - 1]->IsSuspended) {
          this->Tick(i - 1);
        }
      }
      this->DeliverAll();
    }
  }

  std::uint32_t GetCountAtRoot(std::size_t index) const
  {
    const core::LoadKey key = KeyOf(static_cast<std::uint32_t>(index));
    return this->Daemons[0]->Load->GetLoad(key).InFlight;
  }

  /// Execute a random step: tick, change of upstream, delivery, loss or
  /// repetition of a message.
  void Execute(unsigned command, unsigned choice)
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
    if (this->InTransit.empty()) {
      return;
    }
    const std::size_t at = choice % this->InTransit.size();
    const Message message = this->InTransit[at];
    if (command % 8 != 5) { // Otherwise it is repeated later.
      this->InTransit.erase(this->InTransit.begin() +
                            static_cast<std::ptrdiff_t>(at));
    }
    if (command % 8 != 6) { // Otherwise it is lost.
      this->Deliver(message);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(all_daemons_of_the_tree_know_its_load)
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

BOOST_AUTO_TEST_CASE(suspended_daemon_is_left_out_of_the_sum)
{
  Tree tree;
  tree.Run(20s);
  for (std::uint64_t client = 10; client < 20; ++client) {
    tree.Daemons[3]->Meter.OnRequest(FlowOf(client), KeyOf(1), tree.Clock(3));
  }
  tree.Run(1s);
  tree.Daemons[5]->IsSuspended = true;
  tree.Run(6s);
  BOOST_TEST(tree.Daemons[0]->Load->CountDaemons() == Tree::kDaemons - 1);
  BOOST_TEST(tree.GetCountAtRoot(5) == 0U);
  BOOST_TEST(tree.GetCountAtRoot(4) == 1U);
}

BOOST_AUTO_TEST_CASE(each_daemon_is_counted_at_most_once_and_reports_expire)
{
  std::size_t counted = 0;
  const bool holds = rc::check("sums hold each daemon once", [&counted] {
    const auto command =
      rc::gen::resize(rc::kNominalSize,
                      rc::gen::pair(rc::gen::inRange(0U, 1000U),
                                    rc::gen::inRange(0U, 10000U)));
    const auto commands = *rc::gen::resize(
      400,
      rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(command));
    Tree tree;
    for (const auto& [what, choice] : commands) {
      tree.Execute(what, choice);
      for (std::size_t i = 0; i < Tree::kDaemons; ++i) {
        const std::uint32_t counts = tree.GetCountAtRoot(i);
        RC_ASSERT(counts <= 1U);
        counted += i != 0 && counts == 1 ? 1U : 0U;
      }
    }
    tree.Now += core::kMaxReportLifetime;
    tree.Tick(0);
    RC_ASSERT(tree.Daemons[0]->Load->CountDaemons() == 1U);
  });
  BOOST_TEST(holds);
  // Ensure that the sequences deliver reports to the root.
  BOOST_TEST(counted > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
