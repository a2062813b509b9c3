#include "daemon/admin_pages.h"

#include <sstream>

#include "daemon/json_page.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

using Json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

const char* memberStateName(core::MemberState state) {
  switch (state) {
    case core::MemberState::kJoining:
      return "joining";
    case core::MemberState::kAlive:
      return "alive";
    case core::MemberState::kLeaving:
      return "leaving";
    case core::MemberState::kSuspect:
      return "suspect";
    case core::MemberState::kDead:
      return "dead";
    case core::MemberState::kLeft:
      return "left";
  }
  return "invalid";
}

AdminResponse errorResponse(int status, const std::string& message) {
  return {status, "application/json", renderJson(Json{{"error", message}})};
}

Json statusPage(const MetricSources& sources) {
  const core::Balancer& balancer = sources.balancer;
  return {{"name", balancer.membership().self().name},
          {"zone", balancer.membership().self().zone},
          {"state", memberStateName(balancer.membership().selfState())},
          {"fenced", balancer.isFenced()},
          {"configuration_accepted", balancer.configuration().digest().version},
          {"configuration_in_force", balancer.activeVersion()},
          {"last_configuration_problem", balancer.configuration().lastReason()},
          {"flow_records", balancer.recordCount()},
          {"peer_bytes_sent", sources.peers.counters().bytesSent},
          {"data_listen", net::formatEndpoint(sources.data.localEndpoint())},
          {"cluster_listen", net::formatEndpoint(balancer.membership().self().control)}};
}

Json membersPage(const core::Balancer& balancer) {
  Json members = Json::array();
  for (const auto& [id, member] : balancer.membership().members().all()) {
    members.push_back({{"name", member.identity.name},
                       {"zone", member.identity.zone},
                       {"region", member.identity.region},
                       {"control", net::formatEndpoint(member.identity.control)},
                       {"state", memberStateName(member.state)},
                       {"leaving", member.leaving},
                       {"incarnation", member.incarnation}});
  }
  return members;
}

Json backendJson(const core::Backend& backend, const core::ServicePlacement& placement) {
  std::size_t buckets = 0;
  for (std::size_t bucket = 0; bucket < core::kBucketCount; ++bucket) {
    buckets += placement.current(bucket) == backend.address.id ? 1 : 0;
  }
  return {{"name", backend.name},
          {"endpoint", net::formatEndpoint(backend.address.endpoint)},
          {"incarnation", backend.address.incarnation},
          {"zone", backend.zone},
          {"state", backend.state == core::BackendState::kActive ? "active" : "leaving"},
          {"weight", backend.weight},
          {"buckets", buckets}};
}

Json servicesPage(const core::Balancer& balancer) {
  Json services = Json::array();
  const auto configuration = balancer.configuration().current();
  if (configuration == nullptr) {
    return services;
  }
  for (const core::Service& service : configuration->services) {
    const auto placement = balancer.placements().find(service.id);
    if (placement == balancer.placements().end()) {
      continue;
    }
    Json backends = Json::array();
    for (const core::Backend& backend : service.backends) {
      backends.push_back(backendJson(backend, placement->second));
    }
    services.push_back({{"name", service.name},
                        {"endpoint", net::formatEndpoint(service.virtualEndpoint)},
                        {"protocol", service.protocol == core::Protocol::kUdp ? "udp" : "tcp"},
                        {"rank", service.priority},
                        {"tracked", service.tracked},
                        {"settled_buckets", placement->second.settledCount()},
                        {"backends", backends}});
  }
  return services;
}

std::optional<core::FlowKey> parseFlow(const std::string& text) {
  std::istringstream stream(text);
  std::string protocol;
  std::string source;
  std::string destination;
  stream >> protocol >> source >> destination;
  const auto sourceEndpoint = net::parseEndpoint(source);
  const auto destinationEndpoint = net::parseEndpoint(destination);
  if ((protocol != "udp" && protocol != "tcp") || !sourceEndpoint || !destinationEndpoint) {
    return std::nullopt;
  }
  return core::FlowKey{protocol == "udp" ? core::Protocol::kUdp : core::Protocol::kTcp,
                       *sourceEndpoint, *destinationEndpoint};
}

Json backendEndpoint(const core::Balancer& balancer, core::BackendId id) {
  const core::BackendAddress* address = balancer.findBackend(id);
  return address == nullptr ? Json() : Json(net::formatEndpoint(address->endpoint));
}

Json memberName(const core::Balancer& balancer, core::MemberId id) {
  const core::Member* member = balancer.membership().members().find(id);
  return member == nullptr ? Json() : Json(member->identity.name);
}

Json explainJson(const core::Balancer& balancer, const core::Explanation& explanation) {
  const core::BackendId chosen =
      explanation.learned.value_or(explanation.recorded.value_or(explanation.current));
  const char* rule = "settled bucket: the current backend gets every unknown flow";
  if (explanation.learned) {
    rule = "known flow: this daemon has learned its backend";
  } else if (explanation.recorded) {
    rule = "home record: this daemon owns the shard and has a record of the flow";
  } else if (!explanation.settled) {
    rule = "unsettled bucket: the home daemon of the shard selects the backend";
  }
  return {{"service", explanation.service},
          {"backend", backendEndpoint(balancer, chosen)},
          {"rule", rule},
          {"bucket", explanation.bucket},
          {"shard", explanation.shard},
          {"settled", explanation.settled},
          {"current", backendEndpoint(balancer, explanation.current)},
          {"previous", backendEndpoint(balancer, explanation.previous)},
          {"home", memberName(balancer, explanation.owners.home)},
          {"replica", memberName(balancer, explanation.owners.replica)},
          {"since_version", explanation.version}};
}

}  // namespace

AdminResponse renderAdminPage(const AdminRequest& request, const MetricSources& sources,
                              core::Time now) {
  AdminResponse response;
  if (request.path == "/metrics") {
    return {response.status, "text/plain; version=0.0.4", metricsText(sources)};
  }
  if (request.path == "/status") {
    response.body = renderJson(statusPage(sources));
  } else if (request.path == "/members") {
    response.body = renderJson(membersPage(sources.balancer));
  } else if (request.path == "/services") {
    response.body = renderJson(servicesPage(sources.balancer));
  } else if (request.path == "/explain") {
    const std::optional<core::FlowKey> flow = parseFlow(request.flow);
    if (!flow) {
      return errorResponse(kBadRequest, "flow must be \"udp|tcp SOURCE:PORT DESTINATION:PORT\"");
    }
    const std::optional<core::Explanation> explanation = sources.balancer.explain(*flow, now);
    if (!explanation) {
      return errorResponse(kNotFound, "no service matches this destination and protocol");
    }
    response.body = renderJson(explainJson(sources.balancer, *explanation));
  } else {
    return errorResponse(
        kNotFound,
        "unknown page; available pages are /metrics, /status, /members, /services and /explain");
  }
  return response;
}

}  // namespace cobaltgauge::daemon
