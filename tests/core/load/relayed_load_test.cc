#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::size_t kFleet = 40;

/// A fleet in which each daemon has a request in flight all the time.
struct LoadedFleet : RelayFixture
{
  const core::LoadKey Key{ core::serviceIdOf("web"), core::zoneIdOf("a") };
  std::uint64_t Requests = 0;

  LoadedFleet()
  {
    this->GrowTo(kFleet);
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

  std::optional<core::ZoneRoom> RoomAt(std::size_t index)
  {
    Node& node = this->At(index);
    return node.Load.GetRoom(
      this->Key.first, this->Key.second, node.Clock(this->Now));
  }

  /// \return how many daemons have figures, with the load of `least` daemons
  /// at least and of `most` at most.
  std::size_t CountKnowing(std::uint32_t least, std::uint32_t most)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->Nodes.size(); ++i) {
      const std::uint32_t known = this->InFlightAt(i);
      const bool isKnown = this->RoomAt(i).has_value();
      BOOST_TEST((!isKnown || known <= most));
      count += isKnown && known >= least ? 1U : 0U;
    }
    return count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relayed_load_test, LoadedFleet)

BOOST_AUTO_TEST_CASE(all_daemons_know_the_fleets_load)
{
  this->RunLoaded(20s);
  BOOST_TEST(this->CountKnowing(kFleet - 2, kFleet) == kFleet);
  // 11 back ends with two slots each.
  BOOST_TEST(this->RoomAt(30).value().Utilization > 0.9);
}

BOOST_AUTO_TEST_CASE(messages_that_are_lost_hide_little)
{
  this->RunLoaded(20s);
  this->DropInterval = 20;
  this->RunLoaded(10s);
  BOOST_TEST(this->CountKnowing(kFleet / 2, kFleet) > kFleet * 3 / 4);
}

BOOST_AUTO_TEST_CASE(a_dead_reader_is_replaced)
{
  this->RunLoaded(20s);
  for (Node* reader : this->Readers()) {
    reader->Alive = false;
  }
  this->RunLoaded(6s);
  BOOST_TEST(this->CountKnowing(kFleet - 4, kFleet) >= kFleet - 2);
}

BOOST_AUTO_TEST_CASE(halves_know_their_own_load)
{
  this->RunLoaded(20s);
  for (std::size_t i = kFleet / 2; i < kFleet; ++i) {
    this->At(i).IsPartitioned = true;
  }
  this->RunLoaded(8s);
  // Those cut off from everyone know nothing rather than their own alone.
  BOOST_TEST(this->CountKnowing(kFleet / 2 - 2, kFleet / 2) == kFleet / 2);
  for (std::size_t i = kFleet / 2; i < kFleet; ++i) {
    BOOST_TEST(!this->RoomAt(i).has_value());
    this->At(i).IsPartitioned = false;
  }
  this->RunLoaded(10s);
  BOOST_TEST(this->CountKnowing(kFleet - 2, kFleet) == kFleet);
}

BOOST_AUTO_TEST_CASE(nothing_is_known_while_the_store_is_away)
{
  this->RunLoaded(20s);
  for (auto& node : this->Nodes) {
    node->StoreUnresponsive = true;
  }
  this->RunLoaded(8s);
  BOOST_TEST(this->CountKnowing(0, kFleet) == 0U);
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_comes_back_without_old_figures)
{
  this->RunLoaded(20s);
  this->At(30).Alive = false;
  this->RunLoaded(6s);
  BOOST_TEST(this->CountKnowing(kFleet / 2, kFleet - 1) >= kFleet / 2);
  this->At(30).Alive = true;
  this->At(30).Relay.OnResume();
  BOOST_TEST(!this->RoomAt(30).has_value());
  this->RunLoaded(8s);
  BOOST_TEST(this->CountKnowing(kFleet - 2, kFleet) == kFleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
