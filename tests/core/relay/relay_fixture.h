/// @file
/// Simulates a fleet of daemons and a store in virtual time.  Each daemon has
/// its own clock.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/constants.h"
#include "core/load/fleet_load.h"
#include "core/relay/view_backfill.h"
#include "core/relay/view_relay.h"
#include "core/view_updater.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {

inline constexpr core::Duration kStep = 100ms;

/// A view with its change log.
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

/// A daemon with its view, relay and clock.
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
  core::ViewBackfill Backfill{ this->Address,
                               this->Reader,
                               this->Updater,
                               this->Backends,
                               this->Random };
  std::optional<core::StoreRead> Pending;
  core::Time RequestedAt{};
  std::uint64_t Calls = 0;
  std::uint64_t ItemsRead = 0;    ///< From the store.
  bool Alive = true;              ///< Neither killed nor frozen.
  bool StoreUnresponsive = false; ///< It receives no responses of the store.
  bool StoreRefuses = false;
  bool IsPartitioned = false; ///< It exchanges no messages with peers.

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

/// A fleet whose first three daemons are the seeds.
struct RelayFixture
{
  static constexpr std::size_t kSeeds = 3;

  FakeStore Store;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Message> QueuedMessages; ///< Messages for frozen daemons.
  core::Time Now = 100s;
  /// Result of a read that the store refuses.
  core::ReadOutcome Refusal = core::ReadOutcome::kThrottled;
  std::uint64_t DropInterval = 0; ///< Drops every Nth message; 0: none.
  std::uint64_t Sent = 0;

  RelayFixture()
  {
    this->Store.put("op/config", makeRoutes(7, { { 1, "web" } }));
    this->Store.put("servers/1", makeRegistration(1, "web", 1, 1));
    this->GrowTo(12);
  }

  void GrowTo(std::size_t count)
  {
    std::vector<core::Endpoint> seeds;
    while (this->Nodes.size() < count) {
      const auto host = static_cast<std::uint8_t>(this->Nodes.size() + 1);
      // Clocks of different machines are unrelated.
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

  /// Respond to a read immediately if there are changes, else after its wait
  /// time.
  /// \return whether the store responded, so that the daemon may read again.
  bool ServeStore(Node& node)
  {
    const core::Time clock = node.Clock(this->Now);
    if (!node.Pending) {
      node.Pending = node.Reader.nextRead(clock);
      node.RequestedAt = clock;
      node.Calls += node.Pending ? 1 : 0;
    }
    if (!node.Pending) {
      return false;
    }
    const core::Duration waited = clock - node.RequestedAt;
    std::optional<core::StoreReply> reply;
    if (node.StoreRefuses) {
      reply = failedRead(this->Refusal);
    } else if (node.StoreUnresponsive) {
      if (waited >= node.Pending->timeout) {
        reply = failedRead(core::ReadOutcome::kTimedOut);
      }
    } else {
      reply = this->Store.replyTo(*node.Pending);
      // A watch from a discarded revision fails immediately.
      const bool mayWait =
        node.Pending->kind == core::StoreRead::Kind::kWatch &&
        reply->outcome == core::ReadOutcome::kSucceeded;
      if (mayWait && reply->changes.empty() && waited < node.Pending->wait) {
        reply.reset();
      }
    }
    if (reply) {
      node.Pending.reset();
      node.ItemsRead += reply->changes.size();
      node.Reader.onReply(*reply, clock);
      node.Relay.OnStoreReply(clock);
    }
    return reply.has_value();
  }

  void Collect(Node& node, std::vector<Message>& messages)
  {
    for (core::OutgoingRelayMessage& outgoing : node.Relay.TakeMessages()) {
      for (const core::Endpoint& destination : outgoing.Destinations) {
        const bool isDropped =
          this->DropInterval != 0 && ++this->Sent % this->DropInterval == 0;
        if (!node.IsPartitioned && !isDropped) {
          std::visit(
            [&messages, &destination](const auto& content) {
              messages.push_back({ destination, content });
            },
            outgoing.Message);
        }
      }
    }
    for (core::OutgoingBackfillMessage& outgoing :
         node.Backfill.TakeMessages()) {
      if (!node.IsPartitioned) {
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
      if (node->Address != message.Destination || node->IsPartitioned) {
        continue;
      }
      if (!node->Alive) {
        this->QueuedMessages.push_back(message);
        continue;
      }
      const core::Time clock = node->Clock(this->Now);
      if (const auto* subscription =
            std::get_if<core::ViewSubscription>(&message.Content)) {
        node->Relay.OnSubscription(*subscription, clock);
      } else if (const auto* report =
                   std::get_if<core::OutlierReport>(&message.Content)) {
        node->Relay.OnOutlierReport(*report, clock);
      } else if (const auto* load =
                   std::get_if<core::LoadReport>(&message.Content)) {
        node->Relay.OnLoadReport(*load, clock);
      } else if (const auto* summary =
                   std::get_if<core::LoadSummary>(&message.Content)) {
        node->Relay.OnLoadSummary(*summary, clock);
      } else if (const auto* request =
                   std::get_if<core::ViewPageRequest>(&message.Content)) {
        node->Backfill.OnRequest(*request, clock);
      } else if (const auto* page =
                   std::get_if<core::ViewPage>(&message.Content)) {
        node->Backfill.OnPage(*page, clock);
      } else {
        node->Relay.OnUpdate(std::get<core::ViewUpdate>(message.Content),
                             clock);
      }
    }
  }

  void DeliverMessages()
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
        this->BackfillView(*node, peers);
        // A daemon may read several times before it processes peer messages.
        for (int reads = 0; reads < 3 && this->ServeStore(*node); ++reads) {
        }
      }
    }
    this->DeliverMessages();
  }

  void BackfillView(Node& node, const std::vector<core::Endpoint>& known)
  {
    core::BackfillPeers peers;
    peers.Known = known;
    if (node.Relay.GetUpstream()) {
      peers.Near.push_back(*node.Relay.GetUpstream());
    }
    peers.Seeds = node.Relay.GetSeeds();
    peers.IsSeed = node.Relay.IsSeed();
    peers.FleetSize = static_cast<std::uint32_t>(this->Nodes.size());
    node.Backfill.OnTick(peers, node.Clock(this->Now));
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

  /// \return how long it takes until all reachable daemons have this version.
  core::Duration TimeUntilApplied(core::ConfigurationVersion version)
  {
    const core::Time began = this->Now;
    const auto lacks = [version](const std::unique_ptr<Node>& node) {
      return node->Alive && !node->StoreRefuses && !node->StoreUnresponsive &&
        node->Routes.version() < version;
    };
    while (std::any_of(this->Nodes.begin(), this->Nodes.end(), lacks)) {
      this->Step();
      BOOST_REQUIRE((this->Now - began < 30s));
    }
    return this->Now - began;
  }

  void SetStoreRefusesAll(bool refuses)
  {
    for (auto& node : this->Nodes) {
      node->StoreRefuses = refuses;
    }
  }

  /// A change too large to be propagated in one batch.
  void AddManyRoutes(core::ConfigurationVersion version)
  {
    std::vector<std::pair<std::uint8_t, std::string>> routes;
    for (std::size_t i = 0; i <= core::kMaxBatchItems; ++i) {
      routes.emplace_back(static_cast<std::uint8_t>(i + 1), "web");
    }
    this->Store.put("op/config", makeRoutes(version, routes));
  }

  /// Add backends in one batch.
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
