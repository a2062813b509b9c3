#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::size_t kDaemons = 40;

/// A fleet in which each daemon always has one request in flight.
struct LoadedFleet : RelayFixture
{
  const core::LoadKey Key{ core::serviceIdOf("web"), core::zoneIdOf("a") };
  std::uint64_t Requests = 0;

  LoadedFleet()
  {
    this->Grow(kDaemons);
    this->Store.put("servers/1", makeRegistration(1, "web", 1, 1));
    this->AddBackends(10);
  }

  void RunLoaded(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      for (auto& node : this->Nodes) {
        node->Meter.OnRequest(
          core::FlowFingerprint{ 1 }, this->Key, node->Clock(this->Now));
      }
      this->Step();
    }
  }

  std::uint32_t InFlightAt(std::size_t index)
  {
    return this->At(index).Load.GetLoad(this->Key).InFlight;
  }

  std::optional<core::ZoneCapacity> CapacityAt(std::size_t index)
  {
    Node& node = this->At(index);
    return node.Load.GetZoneCapacity(
      this->Key.first, this->Key.second, node.Clock(this->Now));
  }

  /// \return the number of daemons with statistics that cover at least `least`
  /// daemons; checks that none cover more than `most`.
  std::size_t CountInformed(std::uint32_t least, std::uint32_t most)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->Nodes.size(); ++i) {
      const std::uint32_t known = this->InFlightAt(i);
      const bool isKnown = this->CapacityAt(i).has_value();
      BOOST_TEST((!isKnown || known <= most));
      count += isKnown && known >= least ? 1U : 0U;
    }
    return count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relayed_load_test, LoadedFleet)

BOOST_AUTO_TEST_CASE(all_daemons_receive_the_fleet_load)
{
  this->RunLoaded(20s);
  BOOST_TEST(this->CountInformed(kDaemons - 2, kDaemons) == kDaemons);
  // 11 backends with two slots each.
  BOOST_TEST(this->CapacityAt(30).value().Utilization > 0.9);
}

BOOST_AUTO_TEST_CASE(lost_messages_hide_little_load)
{
  this->RunLoaded(20s);
  this->Lost = 20;
  this->RunLoaded(10s);
  BOOST_TEST(this->CountInformed(kDaemons / 2, kDaemons) > kDaemons * 3 / 4);
}

BOOST_AUTO_TEST_CASE(failed_reader_is_replaced)
{
  this->RunLoaded(20s);
  for (Node* reader : this->Readers()) {
    reader->Alive = false;
  }
  this->RunLoaded(6s);
  BOOST_TEST(this->CountInformed(kDaemons - 4, kDaemons) >= kDaemons - 2);
}

BOOST_AUTO_TEST_CASE(partitioned_half_knows_its_own_load)
{
  this->RunLoaded(20s);
  for (std::size_t i = kDaemons / 2; i < kDaemons; ++i) {
    this->At(i).PeersCut = true;
  }
  this->RunLoaded(8s);
  // Isolated daemons have no statistics rather than only their own load.
  BOOST_TEST(this->CountInformed(kDaemons / 2 - 2, kDaemons / 2) ==
             kDaemons / 2);
  for (std::size_t i = kDaemons / 2; i < kDaemons; ++i) {
    BOOST_TEST(!this->CapacityAt(i).has_value());
    this->At(i).PeersCut = false;
  }
  this->RunLoaded(10s);
  BOOST_TEST(this->CountInformed(kDaemons - 2, kDaemons) == kDaemons);
}

BOOST_AUTO_TEST_CASE(no_load_is_known_while_the_store_is_unreachable)
{
  this->RunLoaded(20s);
  for (auto& node : this->Nodes) {
    node->StoreSilent = true;
  }
  this->RunLoaded(8s);
  BOOST_TEST(this->CountInformed(0, kDaemons) == 0U);
}

BOOST_AUTO_TEST_CASE(resumed_daemon_discards_old_statistics)
{
  this->RunLoaded(20s);
  this->At(30).Alive = false;
  this->RunLoaded(6s);
  BOOST_TEST(this->CountInformed(kDaemons / 2, kDaemons - 1) >= kDaemons / 2);
  this->At(30).Alive = true;
  this->At(30).Relay.OnResume();
  BOOST_TEST(!this->CapacityAt(30).has_value());
  this->RunLoaded(8s);
  BOOST_TEST(this->CountInformed(kDaemons - 2, kDaemons) == kDaemons);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
