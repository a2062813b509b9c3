/// @file
/// A fleet of daemons that follow each other, with a store to read, in virtual
/// time and with clocks of their own.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/constants.h"
#include "core/load/fleet_load.h"
#include "core/relay/view_fill.h"
#include "core/relay/view_relay.h"
#include "core/view_updater.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {

inline constexpr core::Duration kStep = 100ms;

/// A view with the log of its changes.
struct LoggedView
{
  core::EqualWeights Weights;
  core::BackendRegistry Backends{ 60s, this->Weights };
  core::RouteTable Routes{ 0 };
  core::ChangeLog Log;
  core::ViewUpdater Updater{ this->Backends,
                             this->Routes,
                             [](const core::ViewChange&) {},
                             &this->Log };
};

/// One daemon's view and relay, with a clock of its own.
struct Node : LoggedView
{
  core::Endpoint Address;
  core::Duration ClockOffset;
  sim::SeededRandom Random;
  core::StoreReader Reader{ this->Updater, this->Random };
  core::OutlierDetector Outliers{ 0 };
  core::ViewDifference Difference{ this->Backends, this->Routes };
  core::ViewRelay Relay{ this->Address, this->Reader,   this->Updater,
                         this->Log,     this->Outliers, this->Random };
  core::LoadMeter Meter;
  core::FleetLoad Load{ this->Address, this->Meter, [this](core::Time now) {
                         return this->Backends.countSlots(now);
                       } };
  core::ViewFill Fill{ this->Address,
                       this->Reader,
                       this->Updater,
                       this->Backends,
                       this->Random };
  std::optional<core::StoreRead> Pending;
  core::Time AskedAt{};
  std::uint64_t Calls = 0;
  std::uint64_t ItemsRead = 0; ///< Of the store.
  bool Alive = true;           ///< Neither killed nor frozen.
  bool StoreSilent = false;    ///< The store's answers do not reach it.
  bool StoreRefuses = false;
  bool PeersCut = false; ///< No message of a peer reaches it, nor its own any.

  Node(std::uint8_t host, core::Duration clockOffset)
    : Address(endpoint(9, host, 7720))
    , ClockOffset(clockOffset)
    , Random(host)
    , Outliers(host)
  {
    this->Relay.SetLoad(&this->Load);
    this->Relay.SetDifference(&this->Difference);
  }

  core::Time Clock(core::Time now) const { return now + this->ClockOffset; }
};

struct Message
{
  core::Endpoint Destination;
  std::variant<core::ViewSubscription,
               core::ViewUpdate,
               core::OutlierReport,
               core::LoadReport,
               core::LoadSummary,
               core::ViewPageRequest,
               core::ViewPage>
    Content;
};

/// A fleet whose first three daemons are everyone's seeds.
struct RelayFixture
{
  static constexpr std::size_t kSeeds = 3;

  FakeStore Store;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Message> Waiting; ///< For a daemon that is frozen.
  core::Time Now = 100s;
  /// What a read gives where the store refuses.
  core::ReadOutcome Refusal = core::ReadOutcome::kThrottled;
  std::uint64_t Lost = 0; ///< Every so many messages one is lost; 0: none.
  std::uint64_t Sent = 0;

  RelayFixture()
  {
    this->Store.put("op/config", makeRoutes(7, { { 1, "web" } }));
    this->Store.put("servers/1", makeRegistration(1, "web", 1, 1));
    this->Grow(12);
  }

  void Grow(std::size_t count)
  {
    std::vector<core::Endpoint> seeds;
    while (this->Nodes.size() < count) {
      const auto host = static_cast<std::uint8_t>(this->Nodes.size() + 1);
      // Clocks of machines have nothing to do with each other.
      this->Nodes.push_back(std::make_unique<Node>(host, host * 1000s));
    }
    for (std::size_t i = 0; i < kSeeds; ++i) {
      seeds.push_back(this->Nodes[i]->Address);
    }
    for (auto& node : this->Nodes) {
      node->Relay.SetSeeds(seeds);
    }
  }

  Node& At(std::size_t index) { return *this->Nodes[index]; }

  /// The store answers a read at once where it has news, else after its wait.
  /// \return whether it answered, so that the daemon may read again.
  bool ServeStore(Node& node)
  {
    const core::Time clock = node.Clock(this->Now);
    if (!node.Pending) {
      node.Pending = node.Reader.nextRead(clock);
      node.AskedAt = clock;
      node.Calls += node.Pending ? 1 : 0;
    }
    if (!node.Pending) {
      return false;
    }
    const core::Duration waited = clock - node.AskedAt;
    std::optional<core::StoreReply> reply;
    if (node.StoreRefuses) {
      reply = failedRead(this->Refusal);
    } else if (node.StoreSilent) {
      if (waited >= node.Pending->timeout) {
        reply = failedRead(core::ReadOutcome::kTimedOut);
      }
    } else {
      reply = this->Store.answer(*node.Pending);
      // That the history is gone is answered at once.
      const bool mayWait =
        node.Pending->kind == core::StoreRead::Kind::kWatch &&
        reply->outcome == core::ReadOutcome::kAnswered;
      if (mayWait && reply->changes.empty() && waited < node.Pending->wait) {
        reply.reset();
      }
    }
    if (reply) {
      node.Pending.reset();
      node.ItemsRead += reply->changes.size();
      node.Reader.onReply(*reply, clock);
      node.Relay.OnStoreAnswer(clock);
    }
    return reply.has_value();
  }

  void Collect(Node& node, std::vector<Message>& messages)
  {
    for (core::OutgoingRelay& outgoing : node.Relay.TakeMessages()) {
      for (const core::Endpoint& destination : outgoing.Destinations) {
        const bool lost = this->Lost != 0 && ++this->Sent % this->Lost == 0;
        if (!node.PeersCut && !lost) {
          std::visit(
            [&messages, &destination](const auto& content) {
              messages.push_back({ destination, content });
            },
            outgoing.Message);
        }
      }
    }
    for (core::OutgoingFill& outgoing : node.Fill.TakeMessages()) {
      if (!node.PeersCut) {
        std::visit(
          [&messages, &outgoing](const auto& content) {
            messages.push_back({ outgoing.Destination, content });
          },
          outgoing.Message);
      }
    }
  }

  void Deliver(const Message& message)
  {
    for (auto& node : this->Nodes) {
      if (node->Address != message.Destination || node->PeersCut) {
        continue;
      }
      if (!node->Alive) {
        this->Waiting.push_back(message);
        continue;
      }
      const core::Time clock = node->Clock(this->Now);
      if (const auto* subscription =
            std::get_if<core::ViewSubscription>(&message.Content)) {
        node->Relay.OnSubscription(*subscription, clock);
      } else if (const auto* report =
                   std::get_if<core::OutlierReport>(&message.Content)) {
        node->Relay.OnReport(*report, clock);
      } else if (const auto* load =
                   std::get_if<core::LoadReport>(&message.Content)) {
        node->Relay.OnLoadReport(*load, clock);
      } else if (const auto* sum =
                   std::get_if<core::LoadSummary>(&message.Content)) {
        node->Relay.OnLoadSummary(*sum, clock);
      } else if (const auto* asked =
                   std::get_if<core::ViewPageRequest>(&message.Content)) {
        node->Fill.OnRequest(*asked, clock);
      } else if (const auto* page =
                   std::get_if<core::ViewPage>(&message.Content)) {
        node->Fill.OnPage(*page, clock);
      } else {
        node->Relay.OnUpdate(std::get<core::ViewUpdate>(message.Content),
                             clock);
      }
    }
  }

  void Exchange()
  {
    for (int hop = 0; hop < 6; ++hop) {
      std::vector<Message> messages;
      for (auto& node : this->Nodes) {
        if (node->Alive) {
          this->Collect(*node, messages);
        }
      }
      for (const Message& message : messages) {
        this->Deliver(message);
      }
    }
  }

  void Step()
  {
    this->Now += kStep;
    std::vector<core::Endpoint> peers;
    for (auto& node : this->Nodes) {
      peers.push_back(node->Address);
    }
    for (auto& node : this->Nodes) {
      if (node->Alive) {
        node->Relay.OnTick(peers, node->Clock(this->Now));
        this->FillView(*node, peers);
        // A daemon goes on reading before it hears its peers.
        for (int reads = 0; reads < 3 && this->ServeStore(*node); ++reads) {
        }
      }
    }
    this->Exchange();
  }

  void FillView(Node& node, const std::vector<core::Endpoint>& known)
  {
    core::FillPeers peers;
    peers.Known = known;
    if (node.Relay.GetUpstream()) {
      peers.Near.push_back(*node.Relay.GetUpstream());
    }
    peers.Seeds = node.Relay.GetSeeds();
    peers.IsSeed = node.Relay.IsSeed();
    peers.Fleet = static_cast<std::uint32_t>(this->Nodes.size());
    node.Fill.OnTick(peers, node.Clock(this->Now));
  }

  void Run(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Step();
    }
  }

  std::size_t CountReading() const
  {
    std::size_t count = 0;
    for (const auto& node : this->Nodes) {
      count += node->Alive && node->Reader.isActive() ? 1 : 0;
    }
    return count;
  }

  std::uint64_t CountCalls() const
  {
    std::uint64_t calls = 0;
    for (const auto& node : this->Nodes) {
      calls += node->Calls;
    }
    return calls;
  }

  /// \return the daemons that read the store now.
  std::vector<Node*> Readers()
  {
    std::vector<Node*> readers;
    for (auto& node : this->Nodes) {
      if (node->Alive && node->Relay.IsReading()) {
        readers.push_back(node.get());
      }
    }
    return readers;
  }

  /// \return how long it takes until all that live have this version.
  core::Duration TimeUntilInForce(core::ConfigurationVersion version)
  {
    const core::Time began = this->Now;
    const auto lacks = [version](const std::unique_ptr<Node>& node) {
      return node->Alive && !node->StoreRefuses && !node->StoreSilent &&
        node->Routes.version() < version;
    };
    while (std::any_of(this->Nodes.begin(), this->Nodes.end(), lacks)) {
      this->Step();
      BOOST_REQUIRE((this->Now - began < 30s));
    }
    return this->Now - began;
  }

  void RefuseAll(bool refuses)
  {
    for (auto& node : this->Nodes) {
      node->StoreRefuses = refuses;
    }
  }

  /// A change too large to be passed on: everyone reads it from the store.
  void AddManyRoutes(core::ConfigurationVersion version)
  {
    std::vector<std::pair<std::uint8_t, std::string>> routes;
    for (std::size_t i = 0; i <= core::kMaxBatchItems; ++i) {
      routes.emplace_back(static_cast<std::uint8_t>(i + 1), "web");
    }
    this->Store.put("op/config", makeRoutes(version, routes));
  }

  /// Back ends that register together, in one batch.
  void AddBackends(std::size_t count)
  {
    for (std::uint64_t id = 10; id < 10 + count; ++id) {
      this->Store.put("servers/" + std::to_string(id),
                      makeRegistration(id,
                                       "web",
                                       static_cast<std::uint8_t>(3 + id / 200),
                                       static_cast<std::uint8_t>(id % 200)));
    }
  }

  void ChangeRoutes(core::ConfigurationVersion version)
  {
    this->Store.put("op/config",
                    makeRoutes(version, { { 1, "web" }, { 2, "web" } }));
  }
};

} // namespace cobaltgauge::tests
