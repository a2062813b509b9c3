/// @file
/// Randomized test of a fleet under changes, partitions, restarts and store
/// restores.  After each round, all views must match the store.
#include <map>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// Actual state of a backend, independent of the store.
struct SimulatedBackend
{
  bool Alive = true;
  bool Draining = false;
  std::uint64_t UpdateSequence = 1;
};

struct StoreEraScenario : RelayFixture
{
  static constexpr std::size_t kDaemons = 8;
  static constexpr std::size_t kChangesPerRound = 24;
  static constexpr std::uint64_t kFirstBackend = 10;
  /// Time until all daemons have converged after faults end.  Covers rewriting
  /// lost items and propagating them.
  static constexpr core::Duration kSettlingTime = 6s;

  sim::SeededRandom Random;
  std::map<std::uint64_t, SimulatedBackend> Backends;
  std::map<std::string, bool> EvacuatedZones;
  core::ConfigurationVersion Version = 7;
  std::optional<FakeStore::Snapshot> Copy;
  std::string Trace;

  explicit StoreEraScenario(std::uint64_t seed)
    : Random(seed)
  {
    this->Nodes.resize(kDaemons);
    for (std::uint64_t id = kFirstBackend; id < kFirstBackend + 6; ++id) {
      this->Backends[id] = {};
      this->Register(id);
    }
  }

  void AddTrace(const std::string& what)
  {
    this->Trace += " " + toString(this->Store.revision()) + " " + what + ";";
  }

  static std::string KeyOf(std::uint64_t id)
  {
    return "servers/" + std::to_string(id);
  }

  void Register(std::uint64_t id)
  {
    SimulatedBackend& backend = this->Backends.at(id);
    core::Registration registration =
      makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id));
    registration.state = backend.Draining ? core::BackendState::kDraining
                                          : core::BackendState::kActive;
    registration.updateSequence = ++backend.UpdateSequence;
    this->Store.put(KeyOf(id), registration);
  }

  std::uint64_t SelectBackend()
  {
    auto item = this->Backends.begin();
    std::advance(item, this->Random.below(this->Backends.size()));
    return item->first;
  }

  Node& SelectNode()
  {
    return this->At(this->Random.below(this->Nodes.size()));
  }

  void WriteRoutes()
  {
    std::vector<std::pair<std::uint8_t, std::string>> routes{ { 1, "web" } };
    if (this->Version % 2 == 0) {
      routes.emplace_back(2, "web");
    }
    this->Store.put("op/config", makeRoutes(this->Version, routes));
  }

  void WriteZoneState(const std::string& zone)
  {
    const std::string key = "op/evacuate/" + zone;
    if (this->EvacuatedZones.at(zone)) {
      this->Store.put(key, core::ZoneEvacuation{ zone });
    } else {
      this->Store.put(key, core::RemovedItem{});
    }
  }

  /// Operators and backends rewrite what the restored copy lacks, and items of
  /// stopped backends expire.  Unchanged items are not rewritten, as
  /// heartbeats without changes raise no revision.
  void RewriteLostItems()
  {
    const core::StoreChange* routes = this->Store.find("op/config");
    if (std::get<core::RouteSet>(routes->item).version != this->Version) {
      this->WriteRoutes();
    }
    for (const auto& [zone, isOut] : this->EvacuatedZones) {
      const bool isWritten =
        this->Store.find("op/evacuate/" + zone) != nullptr;
      if (isWritten != isOut) {
        this->WriteZoneState(zone);
      }
    }
    for (const auto& [id, backend] : this->Backends) {
      const core::StoreChange* item = this->Store.find(KeyOf(id));
      if (!backend.Alive && item != nullptr) {
        this->Store.put(KeyOf(id), core::RemovedItem{});
      } else if (backend.Alive && this->HasUnwrittenState(item, backend)) {
        this->Register(id);
      }
    }
  }

  static bool HasUnwrittenState(const core::StoreChange* item,
                                const SimulatedBackend& backend)
  {
    if (item == nullptr) {
      return true;
    }
    const auto& registration = std::get<core::Registration>(item->item);
    const bool isDraining =
      registration.state == core::BackendState::kDraining;
    return isDraining != backend.Draining;
  }

  /// Get the announced shutdowns that daemons know.  They must be kept while
  /// the restored store lacks them.
  std::set<std::pair<const Node*, std::uint64_t>> KnownShutdowns() const
  {
    std::set<std::pair<const Node*, std::uint64_t>> known;
    for (const auto& node : this->Nodes) {
      for (const auto& [id, backend] : this->Backends) {
        const core::Registration* registration =
          node->Backends.registrationOf(core::BackendId{ id });
        if (registration != nullptr &&
            registration->state == core::BackendState::kDraining) {
          known.emplace(node.get(), id);
        }
      }
    }
    return known;
  }

  /// Get the daemons that must keep the zone evacuated after a restore.
  std::set<const Node*> DaemonsWithZoneEvacuated(const std::string& zone)
  {
    std::set<const Node*> daemons;
    for (const auto& node : this->Nodes) {
      const bool isOut = node->Backends.evacuations().IsEvacuated(zone);
      if (isOut && this->EvacuatedZones[zone]) {
        daemons.insert(node.get());
      }
    }
    return daemons;
  }

  void RestoreStore()
  {
    if (!this->Copy) {
      return;
    }
    this->AddTrace("restore from " + std::to_string(this->Copy->revision));
    const bool wasUnavailable = this->Random.below(2) == 0;
    if (wasUnavailable) {
      this->Refusal = core::ReadOutcome::kConnectionLost;
      this->SetStoreRefusesAll(true);
      this->RunAll(core::Duration(this->Random.below(2000) * 1000));
      this->SetStoreRefusesAll(false);
    }
    this->Store.restore(*this->Copy);
    this->Copy.reset();
    const auto knownShutdowns = this->KnownShutdowns();
    const auto knownEvacuated = this->DaemonsWithZoneEvacuated("b");
    if (this->Random.below(2) == 0) {
      this->RunAll(core::Duration(this->Random.below(2000) * 1000));
    }
    for (const auto& [node, id] : knownShutdowns) {
      BOOST_TEST(!node->Backends.takesNewFlows(core::BackendId{ id }),
                 "backend " << id << " accepts new flows again"
                            << this->Trace);
    }
    for (const Node* node : knownEvacuated) {
      BOOST_TEST(node->Backends.evacuations().IsEvacuated("b"),
                 "the zone is no longer evacuated" << this->Trace);
    }
    this->RewriteLostItems();
  }

  void Restart(Node& node)
  {
    this->AddTrace("restart");
    for (auto& slot : this->Nodes) {
      if (slot.get() == &node) {
        slot = std::make_unique<Node>(node.Address.address.bytes[3],
                                      node.ClockOffset + 1s);
        break;
      }
    }
    this->GrowTo(this->Nodes.size());
  }

  void ChangeBackends()
  {
    const std::uint64_t id = this->SelectBackend();
    SimulatedBackend& backend = this->Backends.at(id);
    switch (this->Random.below(4)) {
      case 0: {
        const std::uint64_t added = this->Backends.rbegin()->first + 1;
        this->AddTrace("add " + std::to_string(added));
        this->Backends[added] = {};
        this->Register(added);
        return;
      }
      case 1:
        this->AddTrace("drain " + std::to_string(id));
        backend.Draining = true;
        break;
      default:
        this->AddTrace("remove " + std::to_string(id));
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
        this->AddTrace("version " + std::to_string(this->Version));
        this->WriteRoutes();
        break;
      case 4: {
        const std::string zone = "b";
        this->EvacuatedZones[zone] = !this->EvacuatedZones[zone];
        this->AddTrace("zone");
        this->WriteZoneState(zone);
        break;
      }
      case 5:
        this->AddTrace("copy");
        this->Copy = this->Store.snapshot();
        break;
      case 6:
        this->RestoreStore();
        break;
      case 7:
        this->AddTrace("compact");
        this->Store.compact();
        break;
      case 8:
        this->Restart(this->SelectNode());
        break;
      default:
        this->InjectFault(this->SelectNode());
    }
  }

  /// Apply a fault to one daemon until ClearFaults().
  void InjectFault(Node& node)
  {
    switch (this->Random.below(4)) {
      case 0:
        this->AddTrace("frozen");
        node.Alive = false;
        break;
      case 1:
        this->AddTrace("unresponsive store");
        node.StoreUnresponsive = true;
        break;
      case 2:
        this->AddTrace("refusing store");
        node.StoreRefuses = true;
        break;
      default:
        this->AddTrace("partitioned");
        node.IsPartitioned = true;
    }
  }

  void ClearFaults()
  {
    for (auto& node : this->Nodes) {
      if (!node->Alive) {
        node->Alive = true;
        node->Relay.OnResume();
        node->Reader.onResume(node->Clock(this->Now));
        node->Pending.reset();
      }
      node->StoreUnresponsive = node->StoreRefuses = node->IsPartitioned =
        false;
    }
    std::vector<Message> late = std::exchange(this->QueuedMessages, {});
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
                   this->EvacuatedZones["b"]);
        for (const auto& [id, backend] : this->Backends) {
          const bool acceptsNewFlows =
            node.Backends.takesNewFlows(core::BackendId{ id });
          BOOST_TEST_CONTEXT("backend " << id)
          {
            BOOST_TEST(acceptsNewFlows ==
                       (backend.Alive && !backend.Draining));
          }
        }
      }
    }
  }

  /// Run all daemons and discard expired removals.
  void RunAll(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Step();
      for (auto& node : this->Nodes) {
        if (node->Alive) {
          node->Backends.discardExpired(node->Clock(this->Now));
        }
      }
    }
  }

  void RunRounds(int rounds)
  {
    this->RunAll(2s);
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t i = 0; i < kChangesPerRound; ++i) {
        this->Change();
        this->RunAll(core::Duration(this->Random.below(600) * 1000));
      }
      this->ClearFaults();
      this->RunAll(kSettlingTime);
      this->Check();
    }
  }
};

BOOST_AUTO_TEST_SUITE(StoreEraStatefulTest)

BOOST_AUTO_TEST_CASE(views_converge_to_the_restored_store)
{
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      StoreEraScenario world(seed);
      world.RunRounds(2);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
