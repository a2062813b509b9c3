#include "core/domains/serving_readiness.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;
using core::BackendId;
using core::ProbeResult;
using core::ServiceId;
using core::ServingReason;

constexpr ServiceId kFirst{ 1 };
constexpr ServiceId kSecond{ 2 };

/// A daemon whose connections end as the test says.
struct ReadinessFixture
{
  core::ServingReadiness Readiness;
  core::Time Now = 100s;
  std::uint64_t Drawn = 1000; ///< Of the back end that was probed last.
  core::Time NextOpening{};
  std::size_t Opened = 0;

  void Tick(core::Duration step)
  {
    this->Now += step;
    this->Readiness.OnTick(this->Now);
  }

  std::size_t Probe(ProbeResult result)
  {
    const std::vector<ServiceId> due = this->Readiness.TakeProbes(this->Now);
    for (std::size_t index = 0; index < due.size(); ++index) {
      this->Readiness.OnProbe(BackendId{ ++this->Drawn }, result, this->Now);
    }
    return due.size();
  }

  /// Let callers open each 50 ms, to a back end each.
  /// \return the probes that were made.
  std::size_t Open(core::Duration during,
                   ProbeResult result,
                   ServiceId service = kFirst)
  {
    std::size_t probes = 0;
    for (const core::Time end = this->Now + during; this->Now < end;) {
      this->Readiness.OnOpening(
        BackendId{ 1 + this->Opened++ }, service, this->Now);
      this->Tick(50ms);
      probes += this->Probe(result);
    }
    return probes;
  }

  void Leave()
  {
    this->Open(600ms, ProbeResult::kTimedOut);
    BOOST_REQUIRE(!this->Readiness.IsServing());
  }
};

BOOST_FIXTURE_TEST_SUITE(ServingReadinessTest, ReadinessFixture)

BOOST_AUTO_TEST_CASE(a_daemon_without_callers_is_ready)
{
  this->Tick(1h);
  BOOST_TEST(this->Readiness.IsServing());
  BOOST_TEST(this->Probe(ProbeResult::kTimedOut) == 0U);
}

BOOST_AUTO_TEST_CASE(it_leaves_where_all_are_silent_and_probes_time_out)
{
  this->Leave();
  const auto changes = this->Readiness.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].Serving);
  BOOST_TEST((changes[0].Reason == ServingReason::kUnreached));
  BOOST_TEST(changes[0].Silent >= core::kMinUnresponsiveForNotReady);
  BOOST_TEST(changes[0].TimedOut >= core::kMinFailedProbesForNotReady);
  BOOST_TEST(this->Readiness.GetCounters().Left == 1U);
}

BOOST_AUTO_TEST_CASE(any_answer_of_any_service_keeps_it_in)
{
  for (int turn = 0; turn < 50; ++turn) {
    this->Open(100ms, ProbeResult::kTimedOut);
    this->Readiness.OnAnswer(this->Now);
  }
  BOOST_TEST(this->Readiness.GetCounters().Left == 0U);
}

// All back ends of one service are dead, and callers want no other just now.
BOOST_AUTO_TEST_CASE(
  a_service_that_is_dead_is_no_reason_while_another_connects)
{
  this->Readiness.OnOpening(BackendId{ 500 }, kSecond, this->Now);
  this->Tick(10ms);
  this->Readiness.OnAnswer(this->Now);
  for (int turn = 0; turn < 40; ++turn) {
    this->Readiness.OnOpening(
      BackendId{ 1 + this->Opened++ }, kFirst, this->Now);
    this->Tick(50ms);
    for (const ServiceId service : this->Readiness.TakeProbes(this->Now)) {
      const bool dead = service == kFirst;
      this->Readiness.OnProbe(BackendId{ ++this->Drawn },
                              dead ? ProbeResult::kTimedOut
                                   : ProbeResult::kConnected,
                              this->Now);
    }
  }
  BOOST_TEST(this->Readiness.GetCounters().Left == 0U);
}

// Machines that refuse are reached; other daemons would find the same.
BOOST_AUTO_TEST_CASE(refused_connections_are_no_reason)
{
  BOOST_TEST(this->Open(5s, ProbeResult::kRefused) > 0U);
  BOOST_TEST(this->Readiness.GetCounters().Left == 0U);
}

BOOST_AUTO_TEST_CASE(one_silent_back_end_is_no_reason)
{
  for (int turn = 0; turn < 40; ++turn) {
    this->Readiness.OnOpening(BackendId{ 1 }, kFirst, this->Now);
    this->Tick(50ms);
    this->Probe(ProbeResult::kTimedOut);
  }
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(it_returns_at_once_when_a_probe_connects)
{
  this->Leave();
  this->Tick(core::kReadinessProbeInterval);
  BOOST_TEST(this->Probe(ProbeResult::kConnected) == 1U);
  BOOST_TEST(this->Readiness.IsServing());
  BOOST_TEST((this->Readiness.GetReason() == ServingReason::kConnected));
}

BOOST_AUTO_TEST_CASE(it_returns_at_once_when_a_caller_is_answered)
{
  this->Leave();
  this->Readiness.OnAnswer(this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

// Without callers it goes on to probe, for as long as it takes.
BOOST_AUTO_TEST_CASE(out_it_probes_a_few_times_a_second)
{
  this->Leave();
  std::size_t probes = 0;
  for (int turn = 0; turn < 600; ++turn) {
    this->Tick(100ms);
    probes += this->Probe(ProbeResult::kTimedOut);
  }
  BOOST_TEST(!this->Readiness.IsServing());
  BOOST_TEST(probes >= 120U);
  BOOST_TEST(probes <= 240U);
}

BOOST_AUTO_TEST_CASE(it_does_not_flap)
{
  int changes = 0;
  for (int turn = 0; turn < 200; ++turn) {
    const bool connects = turn % 10 == 9;
    this->Open(100ms,
               connects ? ProbeResult::kConnected : ProbeResult::kTimedOut);
    changes += static_cast<int>(this->Readiness.TakeChanges().size());
  }
  // 20 s with a connection each second: out at most once in two.
  BOOST_TEST(changes > 2);
  BOOST_TEST(changes <= 2 * 10);
}

BOOST_AUTO_TEST_CASE(its_own_suspension_is_no_reason)
{
  this->Open(150ms, ProbeResult::kTimedOut);
  this->Tick(10s);
  this->Readiness.OnProbe(BackendId{ 901 }, ProbeResult::kTimedOut, this->Now);
  this->Readiness.OnProbe(BackendId{ 902 }, ProbeResult::kTimedOut, this->Now);
  this->Readiness.OnProbe(BackendId{ 903 }, ProbeResult::kTimedOut, this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(after_a_suspension_it_starts_anew)
{
  this->Leave();
  this->Readiness.OnResume();
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(without_back_ends_to_ask_it_is_ready)
{
  this->Leave();
  this->Readiness.OnNoBackends(kFirst, this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(one_service_without_back_ends_does_not_bring_it_back)
{
  this->Readiness.OnOpening(BackendId{ 500 }, kSecond, this->Now);
  this->Leave();
  this->Readiness.OnNoBackends(kSecond, this->Now);
  BOOST_TEST(!this->Readiness.IsServing());
}

// Each daemon goes by what it sees: another one's trouble is not its own.
BOOST_AUTO_TEST_CASE(one_daemons_trouble_takes_out_it_alone)
{
  core::ServingReadiness neighbour;
  this->Leave();
  neighbour.OnOpening(BackendId{ 1 }, kFirst, this->Now);
  neighbour.OnTick(this->Now);
  neighbour.OnAnswer(this->Now + 5ms);
  BOOST_TEST(neighbour.IsServing());
  BOOST_TEST(neighbour.TakeProbes(this->Now + 1s).empty());
}

BOOST_AUTO_TEST_CASE(it_can_be_switched_off)
{
  this->Readiness.SetRequired(false);
  BOOST_TEST(this->Open(2s, ProbeResult::kTimedOut) == 0U);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
