#include "configuration/platform_client.h"

#include <nlohmann/json.hpp>

#include "configuration/json_reader.h"
#include "configuration/limited_get.h"
#include "core/hashing.h"
#include "decoding/json_parser.h"
#include "net/address.h"

namespace cobaltgauge::configuration {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
constexpr const char* kConfigurationPath = "/v1/configuration";
constexpr const char* kMachinesPath = "/v1/machines";

}  // namespace

PlatformClient::PlatformClient(std::string host, std::uint16_t port,
                               std::chrono::milliseconds timeout)
    : host_(std::move(host)), port_(port), timeout_(timeout) {}

std::optional<std::string> PlatformClient::get(const std::string& path, std::string* etag,
                                               bool& unchanged) {
  httplib::Client client(host_, port_);
  client.set_connection_timeout(timeout_);
  client.set_read_timeout(timeout_);
  httplib::Headers headers;
  if (etag != nullptr && !etag->empty()) {
    headers.emplace("If-None-Match", *etag);
  }
  std::string reason;
  const std::optional<httplib::Response> result = getLimited(client, path, headers, reason);
  unchanged = result && result->status == kStatusNotModified;
  if (unchanged) {
    return std::nullopt;
  }
  if (!result) {
    lastReason_ = "platform " + path + ": " + reason;
    return std::nullopt;
  }
  if (result->status != kStatusOk) {
    lastReason_ = "platform " + path + ": HTTP status " + std::to_string(result->status);
    return std::nullopt;
  }
  if (etag != nullptr) {
    *etag = result->get_header_value("ETag");
  }
  return result->body;
}

ReadResult PlatformClient::readConfiguration(core::ConfigurationDocument& document) {
  bool unchanged = false;
  const std::optional<std::string> body = get(kConfigurationPath, &configurationEtag_, unchanged);
  if (!body) {
    return unchanged ? ReadResult::kUnchanged : ReadResult::kFailed;
  }
  std::optional<core::ConfigurationDocument> parsed = parser_.parse(*body);
  if (!parsed) {
    lastReason_ = parser_.lastReason();
    return ReadResult::kFailed;
  }
  document = std::move(*parsed);
  return ReadResult::kNew;
}

std::optional<MachineList> PlatformClient::readMachines() {
  bool unchanged = false;
  const std::optional<std::string> body = get(kMachinesPath, nullptr, unchanged);
  if (!body) {
    return std::nullopt;
  }
  decoding::JsonParser parser(kConfigurationLimits);
  const std::optional<nlohmann::json> root = parser.Parse(*body);
  if (!root) {
    lastReason_ = "machines: " + parser.GetLastReason();
    return std::nullopt;
  }
  MachineList list;
  JsonReader reader(*root, "machines");
  for (const nlohmann::json& item : reader.array("machines")) {
    JsonReader machine(item, "machines[" + std::to_string(list.machines.size()) + "]");
    core::MemberIdentity identity;
    identity.name = machine.text("name");
    identity.zone = machine.text("zone");
    identity.region = machine.textOr("region", "default");
    const std::string control = machine.text("control");
    const std::optional<core::Endpoint> endpoint = net::parseEndpoint(control);
    if (!endpoint) {
      machine.fail("control", "must be ADDRESS:PORT, got \"" + control + "\"");
    }
    if (!machine.ok()) {
      lastReason_ = machine.error();
      return std::nullopt;
    }
    identity.control = *endpoint;
    identity.id = core::memberIdOf(identity.name);
    list.machines.push_back(std::move(identity));
  }
  if (!reader.ok()) {
    lastReason_ = reader.error();
    return std::nullopt;
  }
  return list;
}

}  // namespace cobaltgauge::configuration
