#include "sim/packet_router.h"

#include "core/hashing.h"
#include "core/maglev_table.h"

namespace cobaltgauge::sim {
namespace {

using core::Time;

/// Routes packets with the core of Cobaltgauge.
class CobaltgaugeRouter : public PacketRouter {
 public:
  CobaltgaugeRouter(const core::BalancerOptions& options, core::ConfigurationCompiler& compiler,
                    core::Random& random)
      : balancer_(options, compiler, random) {}

  core::Verdict onPacket(const core::PacketSummary& packet, Time now) override {
    return balancer_.onPacket(packet, now);
  }
  core::Verdict onPeerPacket(const core::PacketSummary& packet, const core::PeerArrival& arrival,
                             Time now) override {
    return balancer_.onPeerPacket(packet, arrival, now);
  }
  void onMessage(core::MemberId from, const core::PeerMessage& message, Time now) override {
    balancer_.onMessage(from, message, now);
  }
  void onTick(Time now) override { balancer_.onTick(now); }
  core::OfferResult offerConfiguration(core::ConfigurationDocument document, Time now) override {
    return balancer_.offerConfiguration(std::move(document), now);
  }
  void offerMemberSeeds(std::vector<core::MemberIdentity> seeds, Time now) override {
    balancer_.offerMemberSeeds(std::move(seeds), now);
  }
  bool shouldReadPlatform(Time now) const override { return balancer_.shouldReadPlatform(now); }
  std::vector<core::OutgoingMessage> takeMessages() override { return balancer_.takeMessages(); }
  core::ConfigurationVersion activeVersion() const override { return balancer_.activeVersion(); }
  void beginShutdown(Time now) override { balancer_.beginShutdown(now); }
  bool handoverDone() const override { return balancer_.handoverDone(); }
  void finishShutdown(Time now) override { balancer_.finishShutdown(now); }
  std::size_t flowStateBytes(Time now) const override {
    std::size_t flows = 0;
    balancer_.flows().forEach(now, [&flows](const core::FlowEntry&) { ++flows; });
    constexpr std::size_t kRecordBytes = 32;
    return flows * sizeof(core::FlowEntry) + balancer_.recordCount() * kRecordBytes;
  }
  const core::Balancer& balancer() const { return balancer_; }

 private:
  core::Balancer balancer_;
};

/// Baselines without coordination between daemons.
class BaselineRouter : public PacketRouter {
 public:
  BaselineRouter(Variant variant, const core::BalancerOptions& options,
                 core::ConfigurationCompiler& compiler)
      : variant_(variant),
        options_(options),
        agent_(compiler),
        flows_(options.flowTableEntries, options.flowIdleTimeout) {}

  core::Verdict onPacket(const core::PacketSummary& packet, Time now) override {
    const auto configuration = agent_.current();
    if (configuration == nullptr) {
      return core::Drop{core::DropReason::kNoConfiguration};
    }
    for (std::size_t i = 0; i < configuration->services.size(); ++i) {
      const core::Service& service = configuration->services[i];
      if (service.virtualEndpoint == packet.flow.destination &&
          service.protocol == packet.flow.protocol) {
        return selectBackend(service, tables_[i], packet, now);
      }
    }
    return core::Drop{core::DropReason::kNoService};
  }
  core::Verdict onPeerPacket(const core::PacketSummary& packet, const core::PeerArrival&,
                             Time now) override {
    return onPacket(packet, now);
  }
  void onMessage(core::MemberId, const core::PeerMessage&, Time) override {}
  void onTick(Time) override {}
  core::OfferResult offerConfiguration(core::ConfigurationDocument document, Time now) override {
    const core::OfferResult result = agent_.offer(std::move(document));
    if (result == core::OfferResult::kAccepted) {
      directory_.apply(*agent_.current(), now);
      rebuild();
    }
    return result;
  }
  void offerMemberSeeds(std::vector<core::MemberIdentity>, Time) override {}
  bool shouldReadPlatform(Time) const override { return true; }
  std::vector<core::OutgoingMessage> takeMessages() override { return {}; }
  core::ConfigurationVersion activeVersion() const override { return agent_.digest().version; }
  void beginShutdown(Time) override {}
  bool handoverDone() const override { return true; }
  void finishShutdown(Time) override {}
  std::size_t flowStateBytes(Time now) const override {
    std::size_t flows = 0;
    flows_.forEach(now, [&flows](const core::FlowEntry&) { ++flows; });
    return flows * sizeof(core::FlowEntry);
  }

 private:
  using Table = std::vector<core::BackendId>;

  void rebuild() {
    tables_.clear();
    for (const core::Service& service : agent_.current()->services) {
      std::vector<core::WeightedBackend> eligible;
      Table list;
      for (const core::Backend& backend : service.backends) {
        if (backend.state == core::BackendState::kActive && backend.weight > 0) {
          eligible.push_back({backend.address.id, backend.weight});
          list.push_back(backend.address.id);
        }
      }
      const bool modulo = variant_ == Variant::kModulo;
      tables_.push_back(modulo ? list : core::buildMaglevTable(std::move(eligible)));
    }
  }

  core::Verdict selectBackend(const core::Service& service, const Table& table,
                              const core::PacketSummary& packet, Time now) {
    const core::FlowFingerprint fingerprint = core::fingerprintOf(packet.flow, options_.hashSeed);
    if (variant_ == Variant::kCachedTable) {
      const auto known = flows_.touch(fingerprint, now);
      if (known && directory_.find(*known) != nullptr) {
        return core::ForwardToBackend{*directory_.find(*known), activeVersion(),
                                      core::RouteReason::kKnownFlow};
      }
    }
    const core::BackendAddress* backend =
        table.empty()
            ? nullptr
            : directory_.find(table[static_cast<std::uint64_t>(fingerprint) / 2 % table.size()]);
    if (backend == nullptr) {
      return core::Refuse{service.refusal, core::RefusalCertainty::kOutcomeUnknown,
                          core::RefuseReason::kNoBackend, std::chrono::seconds(1)};
    }
    if (variant_ == Variant::kCachedTable) {
      flows_.learn(fingerprint, service.id, backend->id, now);
    }
    return core::ForwardToBackend{*backend, activeVersion(), core::RouteReason::kSettledBucket};
  }

  Variant variant_;
  core::BalancerOptions options_;
  core::ConfigurationAgent agent_;
  core::BackendDirectory directory_;
  core::FlowTable flows_;
  std::vector<Table> tables_;
};

}  // namespace

const char* toString(Variant variant) {
  switch (variant) {
    case Variant::kModulo:
      return "modulo";
    case Variant::kTable:
      return "table";
    case Variant::kCachedTable:
      return "cached_table";
    case Variant::kCobaltgauge:
      return "cobaltgauge";
  }
  return "invalid";
}

std::unique_ptr<PacketRouter> makeRouter(Variant variant, const core::BalancerOptions& options,
                                         core::ConfigurationCompiler& compiler,
                                         core::Random& random) {
  if (variant == Variant::kCobaltgauge) {
    return std::make_unique<CobaltgaugeRouter>(options, compiler, random);
  }
  return std::make_unique<BaselineRouter>(variant, options, compiler);
}

const core::Balancer* balancerOf(const PacketRouter& router) {
  const auto* cobaltgauge = dynamic_cast<const CobaltgaugeRouter*>(&router);
  return cobaltgauge == nullptr ? nullptr : &cobaltgauge->balancer();
}

}  // namespace cobaltgauge::sim
