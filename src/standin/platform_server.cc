#include "standin/platform_server.h"

#include <httplib.h>

#include <deque>
#include <iostream>
#include <mutex>

#include "configuration/configuration_json.h"
#include "core/hashing.h"
#include "ctl/command_options.h"
#include "decoding/file_reader.h"
#include "net/address.h"
#include "standin/geneve_port.h"

namespace cobaltgauge::standin {
namespace {

const std::vector<ctl::OptionSpec>& platformOptions() {
  static const std::vector<ctl::OptionSpec> kOptions{
      {"listen", "HTTP endpoint to listen on", ""},
      {"configuration", "JSON file, read at each request", ""},
      {"machines", "JSON file, read at each request", ""},
      {"lag-ms", "delay until file changes become visible", "0"}};
  return kOptions;
}

std::string readFile(const std::string& path) {
  return decoding::FileReader(configuration::kMaxConfigurationBytes).Read(path).value_or("");
}

/// Returns the content of a file with a delay of lagMs.
class DelayedFile {
 public:
  DelayedFile(std::string path, std::int64_t lagMs) : path_(std::move(path)), lagMs_(lagMs) {}

  std::string content() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = wallClockMs();
    std::string current = readFile(path_);
    if (versions_.empty() || versions_.back().content != current) {
      versions_.push_back({now, std::move(current)});
    }
    while (versions_.size() > 1 && versions_[1].sinceMs + lagMs_ <= now) {
      versions_.pop_front();
    }
    return versions_.front().content;
  }

 private:
  struct Version {
    std::int64_t sinceMs;
    std::string content;
  };

  std::string path_;
  std::int64_t lagMs_;
  std::mutex mutex_;
  std::deque<Version> versions_;
};

void serve(DelayedFile& file, const httplib::Request& request, httplib::Response& response) {
  constexpr int kNotModified = 304;
  const std::string content = file.content();
  const std::string tag = "\"" + std::to_string(core::hashName(content)) + "\"";
  response.set_header("ETag", tag);
  if (request.get_header_value("If-None-Match") == tag) {
    response.status = kNotModified;
    return;
  }
  response.set_content(content, "application/json");
}

}  // namespace

int runPlatform(int argc, const char* const* argv) {
  const auto options =
      ctl::CommandOptions::parse("cobaltgauge-standin platform", platformOptions(), argc, argv);
  if (!options) {
    return 2;
  }
  const auto lag = static_cast<std::int64_t>(options->number("lag-ms"));
  DelayedFile configuration(options->text("configuration"), lag);
  DelayedFile machines(options->text("machines"), lag);
  httplib::Server server;
  server.Get("/v1/configuration",
             [&configuration](const httplib::Request& request, httplib::Response& response) {
               serve(configuration, request, response);
             });
  server.Get("/v1/machines",
             [&machines](const httplib::Request& request, httplib::Response& response) {
               serve(machines, request, response);
             });
  const core::Endpoint endpoint = options->endpoint("listen");
  if (!server.listen(net::formatAddress(endpoint.address), endpoint.port)) {
    std::cerr << "cannot listen on " << options->text("listen") << "\n";
    return 1;
  }
  return 0;
}

}  // namespace cobaltgauge::standin
