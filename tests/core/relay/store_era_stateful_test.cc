/// @file
/// A fleet under random changes, cuts, kills and a store that comes back from
/// older copies, against the simplest oracle: what the store holds in the end.
#include <map>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// A back end as it lives, whatever the store knows of it.
struct LivingBackend
{
  bool Alive = true;
  bool Leaving = false;
  std::uint64_t Statement = 1;
};

struct EraWorld : RelayFixture
{
  static constexpr std::size_t kDaemons = 8;
  static constexpr std::size_t kChangesOfRound = 24;
  static constexpr std::uint64_t kFirstBackend = 10;
  /// After which everything has to be known everywhere once all is well: what
  /// the store has lost is written again by then, and in force 3 s later.
  static constexpr core::Duration kSettled = 6s;

  sim::SeededRandom Random;
  std::map<std::uint64_t, LivingBackend> Backends;
  std::map<std::string, bool> ZonesOut;
  core::ConfigurationVersion Version = 7;
  std::optional<FakeStore::Copy> Copy;
  std::string Trace;

  explicit EraWorld(std::uint64_t seed)
    : Random(seed)
  {
    this->Nodes.resize(kDaemons);
    for (std::uint64_t id = kFirstBackend; id < kFirstBackend + 6; ++id) {
      this->Backends[id] = {};
      this->Register(id);
    }
  }

  void Note(const std::string& what)
  {
    this->Trace += " " + toString(this->Store.revision()) + " " + what + ";";
  }

  static std::string KeyOf(std::uint64_t id)
  {
    return "servers/" + std::to_string(id);
  }

  void Register(std::uint64_t id)
  {
    LivingBackend& backend = this->Backends.at(id);
    core::Registration registration =
      makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id));
    registration.state = backend.Leaving ? core::BackendState::kDraining
                                         : core::BackendState::kActive;
    registration.statement = ++backend.Statement;
    this->Store.put(KeyOf(id), registration);
  }

  std::uint64_t DrawBackend()
  {
    auto item = this->Backends.begin();
    std::advance(item, this->Random.below(this->Backends.size()));
    return item->first;
  }

  Node& DrawNode() { return this->At(this->Random.below(this->Nodes.size())); }

  void WriteRoutes()
  {
    std::vector<std::pair<std::uint8_t, std::string>> routes{ { 1, "web" } };
    if (this->Version % 2 == 0) {
      routes.emplace_back(2, "web");
    }
    this->Store.put("op/config", makeRoutes(this->Version, routes));
  }

  void WriteZone(const std::string& zone)
  {
    const std::string key = "op/evacuate/" + zone;
    if (this->ZonesOut.at(zone)) {
      this->Store.put(key, core::ZoneEvacuation{ zone });
    } else {
      this->Store.put(key, core::RemovedItem{});
    }
  }

  /// What the copy lacks is written again, by operators and by back ends;
  /// whoever is gone says nothing, and its item lapses.  What the copy has
  /// stays as it is: heartbeats that say nothing new raise no revision.
  void WriteAgain()
  {
    const core::StoreChange* routes = this->Store.find("op/config");
    if (std::get<core::RouteSet>(routes->item).version != this->Version) {
      this->WriteRoutes();
    }
    for (const auto& [zone, isOut] : this->ZonesOut) {
      const bool isWritten =
        this->Store.find("op/evacuate/" + zone) != nullptr;
      if (isWritten != isOut) {
        this->WriteZone(zone);
      }
    }
    for (const auto& [id, backend] : this->Backends) {
      const core::StoreChange* item = this->Store.find(KeyOf(id));
      if (!backend.Alive && item != nullptr) {
        this->Store.put(KeyOf(id), core::RemovedItem{});
      } else if (backend.Alive && this->HasNews(item, backend)) {
        this->Register(id);
      }
    }
  }

  static bool HasNews(const core::StoreChange* item,
                      const LivingBackend& backend)
  {
    if (item == nullptr) {
      return true;
    }
    const auto& registration = std::get<core::Registration>(item->item);
    const bool isLeaving = registration.state == core::BackendState::kDraining;
    return isLeaving != backend.Leaving;
  }

  /// An end that a daemon has heard of stays known to it, though the store
  /// knows nothing of it for a while.
  std::set<std::pair<const Node*, std::uint64_t>> KnownEnds() const
  {
    std::set<std::pair<const Node*, std::uint64_t>> known;
    for (const auto& node : this->Nodes) {
      for (const auto& [id, backend] : this->Backends) {
        const core::Registration* said =
          node->Backends.registrationOf(core::BackendId{ id });
        if (said != nullptr && said->state == core::BackendState::kDraining) {
          known.emplace(node.get(), id);
        }
      }
    }
    return known;
  }

  /// So does a zone that is out.
  std::set<const Node*> DaemonsThatKeepOut(const std::string& zone)
  {
    std::set<const Node*> daemons;
    for (const auto& node : this->Nodes) {
      const bool isOut = node->Backends.evacuations().IsEvacuated(zone);
      if (isOut && this->ZonesOut[zone]) {
        daemons.insert(node.get());
      }
    }
    return daemons;
  }

  void ComeBack()
  {
    if (!this->Copy) {
      return;
    }
    this->Note("comes back from " + std::to_string(this->Copy->revision));
    const bool wasAway = this->Random.below(2) == 0;
    if (wasAway) {
      this->Refusal = core::ReadOutcome::kConnectionLost;
      this->RefuseAll(true);
      this->RunAll(core::Duration(this->Random.below(2000) * 1000));
      this->RefuseAll(false);
    }
    this->Store.comeBackFrom(*this->Copy);
    this->Copy.reset();
    const auto knownEnds = this->KnownEnds();
    const auto knownOut = this->DaemonsThatKeepOut("b");
    if (this->Random.below(2) == 0) {
      this->RunAll(core::Duration(this->Random.below(2000) * 1000));
    }
    for (const auto& [node, id] : knownEnds) {
      BOOST_TEST(!node->Backends.takesNewFlows(core::BackendId{ id }),
                 "back end " << id << " is given flows again" << this->Trace);
    }
    for (const Node* node : knownOut) {
      BOOST_TEST(node->Backends.evacuations().IsEvacuated("b"),
                 "the zone is given flows again" << this->Trace);
    }
    this->WriteAgain();
  }

  void Restart(Node& node)
  {
    this->Note("restart");
    for (auto& slot : this->Nodes) {
      if (slot.get() == &node) {
        slot = std::make_unique<Node>(node.Address.address.bytes[3],
                                      node.ClockOffset + 1s);
        break;
      }
    }
    this->Grow(this->Nodes.size());
  }

  void ChangeBackends()
  {
    const std::uint64_t id = this->DrawBackend();
    LivingBackend& backend = this->Backends.at(id);
    switch (this->Random.below(4)) {
      case 0: {
        const std::uint64_t added = this->Backends.rbegin()->first + 1;
        this->Note("add " + std::to_string(added));
        this->Backends[added] = {};
        this->Register(added);
        return;
      }
      case 1:
        this->Note("leave " + std::to_string(id));
        backend.Leaving = true;
        break;
      default:
        this->Note("remove " + std::to_string(id));
        backend.Alive = false;
        this->Store.put(KeyOf(id), core::RemovedItem{});
        return;
    }
    if (backend.Alive) {
      this->Register(id);
    }
  }

  void Change()
  {
    switch (this->Random.below(10)) {
      case 0:
      case 1:
      case 2:
        this->ChangeBackends();
        break;
      case 3:
        this->Version += 1 + this->Random.below(3);
        this->Note("version " + std::to_string(this->Version));
        this->WriteRoutes();
        break;
      case 4: {
        const std::string zone = "b";
        this->ZonesOut[zone] = !this->ZonesOut[zone];
        this->Note("zone");
        this->WriteZone(zone);
        break;
      }
      case 5:
        this->Note("copy");
        this->Copy = this->Store.copy();
        break;
      case 6:
        this->ComeBack();
        break;
      case 7:
        this->Note("compact");
        this->Store.compact();
        break;
      case 8:
        this->Restart(this->DrawNode());
        break;
      default:
        this->Spoil(this->DrawNode());
    }
  }

  /// A fault of one daemon, until all heal.
  void Spoil(Node& node)
  {
    switch (this->Random.below(4)) {
      case 0:
        this->Note("frozen");
        node.Alive = false;
        break;
      case 1:
        this->Note("silent store");
        node.StoreSilent = true;
        break;
      case 2:
        this->Note("refusing store");
        node.StoreRefuses = true;
        break;
      default:
        this->Note("cut off");
        node.PeersCut = true;
    }
  }

  void Heal()
  {
    for (auto& node : this->Nodes) {
      if (!node->Alive) {
        node->Alive = true;
        node->Relay.OnResume();
        node->Reader.onResume(node->Clock(this->Now));
        node->Pending.reset();
      }
      node->StoreSilent = node->StoreRefuses = node->PeersCut = false;
    }
    std::vector<Message> late = std::exchange(this->Waiting, {});
    for (const Message& message : late) {
      this->Deliver(message);
    }
  }

  void Check()
  {
    for (std::size_t i = 0; i < this->Nodes.size(); ++i) {
      const Node& node = this->At(i);
      BOOST_TEST_CONTEXT("daemon " << i << this->Trace)
      {
        BOOST_TEST(node.Routes.version() == this->Version);
        BOOST_TEST(node.Backends.evacuations().IsEvacuated("b") ==
                   this->ZonesOut["b"]);
        for (const auto& [id, backend] : this->Backends) {
          const bool takes =
            node.Backends.takesNewFlows(core::BackendId{ id });
          BOOST_TEST_CONTEXT("back end " << id)
          {
            BOOST_TEST(takes == (backend.Alive && !backend.Leaving));
          }
        }
      }
    }
  }

  /// Departures and lost items are forgotten as time goes by.
  void RunAll(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Step();
      for (auto& node : this->Nodes) {
        if (node->Alive) {
          node->Backends.forgetDeparted(node->Clock(this->Now));
        }
      }
    }
  }

  void Play(int rounds)
  {
    this->RunAll(2s);
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t i = 0; i < kChangesOfRound; ++i) {
        this->Change();
        this->RunAll(core::Duration(this->Random.below(600) * 1000));
      }
      this->Heal();
      this->RunAll(kSettled);
      this->Check();
    }
  }
};

BOOST_AUTO_TEST_SUITE(StoreEraStatefulTest)

BOOST_AUTO_TEST_CASE(views_end_as_the_store_whatever_copies_came_back)
{
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      EraWorld world(seed);
      world.Play(2);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
