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

/// A daemon whose probe results are set by the test.
struct ReadinessFixture
{
  core::ServingReadiness Readiness;
  core::Time Now = 100s;
  std::uint64_t LastProbedBackend = 1000;
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
      this->Readiness.OnProbe(
        BackendId{ ++this->LastProbedBackend }, result, this->Now);
    }
    return due.size();
  }

  /// Opens a flow every 50 ms, each to a different backend.
  /// \return the number of probes made.
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

  void StopServing()
  {
    this->Open(600ms, ProbeResult::kTimedOut);
    BOOST_REQUIRE(!this->Readiness.IsServing());
  }
};

BOOST_FIXTURE_TEST_SUITE(ServingReadinessTest, ReadinessFixture)

BOOST_AUTO_TEST_CASE(daemon_without_clients_is_serving)
{
  this->Tick(1h);
  BOOST_TEST(this->Readiness.IsServing());
  BOOST_TEST(this->Probe(ProbeResult::kTimedOut) == 0U);
}

BOOST_AUTO_TEST_CASE(
  stops_serving_when_backends_are_silent_and_probes_time_out)
{
  this->StopServing();
  const auto changes = this->Readiness.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].Serving);
  BOOST_TEST((changes[0].Reason == ServingReason::kUnreachable));
  BOOST_TEST(changes[0].UnansweredBackends >=
             core::kMinUnresponsiveForNotReady);
  BOOST_TEST(changes[0].TimedOut >= core::kMinFailedProbesForNotReady);
  BOOST_TEST(this->Readiness.GetCounters().StoppedServing == 1U);
}

BOOST_AUTO_TEST_CASE(any_response_keeps_daemon_serving)
{
  for (int turn = 0; turn < 50; ++turn) {
    this->Open(100ms, ProbeResult::kTimedOut);
    this->Readiness.OnResponse(this->Now);
  }
  BOOST_TEST(this->Readiness.GetCounters().StoppedServing == 0U);
}

// All backends of one service have failed; only this service has clients.
BOOST_AUTO_TEST_CASE(failed_service_does_not_matter_while_another_connects)
{
  this->Readiness.OnOpening(BackendId{ 500 }, kSecond, this->Now);
  this->Tick(10ms);
  this->Readiness.OnResponse(this->Now);
  for (int turn = 0; turn < 40; ++turn) {
    this->Readiness.OnOpening(
      BackendId{ 1 + this->Opened++ }, kFirst, this->Now);
    this->Tick(50ms);
    for (const ServiceId service : this->Readiness.TakeProbes(this->Now)) {
      const bool dead = service == kFirst;
      this->Readiness.OnProbe(BackendId{ ++this->LastProbedBackend },
                              dead ? ProbeResult::kTimedOut
                                   : ProbeResult::kConnected,
                              this->Now);
    }
  }
  BOOST_TEST(this->Readiness.GetCounters().StoppedServing == 0U);
}

// Hosts that refuse connections are reachable.
BOOST_AUTO_TEST_CASE(refused_connections_do_not_stop_serving)
{
  BOOST_TEST(this->Open(5s, ProbeResult::kRefused) > 0U);
  BOOST_TEST(this->Readiness.GetCounters().StoppedServing == 0U);
}

BOOST_AUTO_TEST_CASE(one_unresponsive_backend_does_not_stop_serving)
{
  for (int turn = 0; turn < 40; ++turn) {
    this->Readiness.OnOpening(BackendId{ 1 }, kFirst, this->Now);
    this->Tick(50ms);
    this->Probe(ProbeResult::kTimedOut);
  }
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(resumes_serving_when_a_probe_connects)
{
  this->StopServing();
  this->Tick(core::kReadinessProbeInterval);
  BOOST_TEST(this->Probe(ProbeResult::kConnected) == 1U);
  BOOST_TEST(this->Readiness.IsServing());
  BOOST_TEST((this->Readiness.GetReason() == ServingReason::kConnected));
}

BOOST_AUTO_TEST_CASE(resumes_serving_when_a_client_gets_a_response)
{
  this->StopServing();
  this->Readiness.OnResponse(this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

// Probing has to continue without clients.
BOOST_AUTO_TEST_CASE(probes_periodically_while_not_serving)
{
  this->StopServing();
  std::size_t probes = 0;
  for (int turn = 0; turn < 600; ++turn) {
    this->Tick(100ms);
    probes += this->Probe(ProbeResult::kTimedOut);
  }
  BOOST_TEST(!this->Readiness.IsServing());
  BOOST_TEST(probes >= 120U);
  BOOST_TEST(probes <= 240U);
}

BOOST_AUTO_TEST_CASE(serving_state_does_not_flap)
{
  int changes = 0;
  for (int turn = 0; turn < 200; ++turn) {
    const bool connects = turn % 10 == 9;
    this->Open(100ms,
               connects ? ProbeResult::kConnected : ProbeResult::kTimedOut);
    changes += static_cast<int>(this->Readiness.TakeChanges().size());
  }
  // In 20 s with a connection every second, at most one outage every 2 s.
  BOOST_TEST(changes > 2);
  BOOST_TEST(changes <= 2 * 10);
}

BOOST_AUTO_TEST_CASE(gap_between_ticks_clears_evidence)
{
  this->Open(150ms, ProbeResult::kTimedOut);
  this->Tick(10s);
  this->Readiness.OnProbe(BackendId{ 901 }, ProbeResult::kTimedOut, this->Now);
  this->Readiness.OnProbe(BackendId{ 902 }, ProbeResult::kTimedOut, this->Now);
  this->Readiness.OnProbe(BackendId{ 903 }, ProbeResult::kTimedOut, this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(resume_after_suspension_restores_serving)
{
  this->StopServing();
  this->Readiness.OnResume();
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(serves_when_no_backend_is_left_to_probe)
{
  this->StopServing();
  this->Readiness.OnNoBackends(kFirst, this->Now);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_CASE(one_service_without_backends_does_not_restore_serving)
{
  this->Readiness.OnOpening(BackendId{ 500 }, kSecond, this->Now);
  this->StopServing();
  this->Readiness.OnNoBackends(kSecond, this->Now);
  BOOST_TEST(!this->Readiness.IsServing());
}

// Evidence is local to a daemon.
BOOST_AUTO_TEST_CASE(state_of_one_daemon_does_not_affect_another)
{
  core::ServingReadiness otherDaemon;
  this->StopServing();
  otherDaemon.OnOpening(BackendId{ 1 }, kFirst, this->Now);
  otherDaemon.OnTick(this->Now);
  otherDaemon.OnResponse(this->Now + 5ms);
  BOOST_TEST(otherDaemon.IsServing());
  BOOST_TEST(otherDaemon.TakeProbes(this->Now + 1s).empty());
}

BOOST_AUTO_TEST_CASE(check_can_be_disabled)
{
  this->Readiness.SetRequired(false);
  BOOST_TEST(this->Open(2s, ProbeResult::kTimedOut) == 0U);
  BOOST_TEST(this->Readiness.IsServing());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
