#include "sim/history.h"

#include <array>
#include <nlohmann/json.hpp>

#include "decoding/excerpt.h"
#include "decoding/json_parser.h"

namespace cobaltgauge::sim {
namespace {

/// Limits on a line of a history. Events have at most seven fields.
constexpr decoding::DecodingLimits kLineLimits{
    .MaxBytes = 64U << 10U, .MaxDepth = 4, .MaxValues = 64};

constexpr std::array<const char*, 17> kKindNames{"session_opened",
                                                 "session_at_backend",
                                                 "session_unknown",
                                                 "session_broken",
                                                 "request_sent",
                                                 "request_done",
                                                 "request_refused",
                                                 "request_unknown",
                                                 "request_executed",
                                                 "request_repeated",
                                                 "answer_whole",
                                                 "answer_wrong",
                                                 "stray",
                                                 "backend_leaving",
                                                 "configuration_published",
                                                 "configuration_in_force",
                                                 "fault"};

std::optional<EventKind> kindFromName(const std::string& name) {
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (name == kKindNames[i]) {
      return static_cast<EventKind>(i);
    }
  }
  return std::nullopt;
}

}  // namespace

const char* toString(EventKind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }

std::string toLine(const Event& event) {
  nlohmann::ordered_json object{{"t", event.timeMs}, {"kind", toString(event.kind)}};
  const auto add = [&object](const char* key, const std::string& value) {
    if (!value.empty()) {
      object[key] = value;
    }
  };
  add("actor", event.actor);
  add("service", event.service);
  add("session", event.session);
  add("request", event.request);
  add("detail", event.detail);
  return object.dump();
}

bool HistoryWriter::open(const std::string& path) {
  out_.open(path, std::ios::app);
  return out_.is_open();
}

void HistoryWriter::write(const Event& event) { out_ << toLine(event) << std::endl; }

std::optional<Event> HistoryReader::parseLine(const std::string& line) {
  decoding::JsonParser parser(kLineLimits);
  const std::optional<nlohmann::json> object = parser.Parse(line);
  if (!object || !object->is_object()) {
    lastReason_ = object ? "expected a JSON object" : parser.GetLastReason();
    return std::nullopt;
  }
  Event event;
  for (const auto& [key, value] : object->items()) {
    if (key == "t" && value.is_number_integer()) {
      event.timeMs = value.get<std::int64_t>();
      continue;
    }
    if (!value.is_string()) {
      lastReason_ = "field '" + decoding::Excerpt(key) + "' has an invalid type";
      return std::nullopt;
    }
    const auto text = value.get<std::string>();
    if (key == "kind") {
      const std::optional<EventKind> kind = kindFromName(text);
      if (!kind) {
        lastReason_ = "unknown event kind '" + decoding::Excerpt(text) + "'";
        return std::nullopt;
      }
      event.kind = *kind;
    } else if (key == "actor") {
      event.actor = text;
    } else if (key == "service") {
      event.service = text;
    } else if (key == "session") {
      event.session = text;
    } else if (key == "request") {
      event.request = text;
    } else if (key == "detail") {
      event.detail = text;
    } else {
      lastReason_ = "unknown field '" + decoding::Excerpt(key) + "'";
      return std::nullopt;
    }
  }
  if (!object->contains("t") || !object->contains("kind")) {
    lastReason_ = "fields 't' and 'kind' are required";
    return std::nullopt;
  }
  return event;
}

std::optional<std::vector<Event>> HistoryReader::readFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    lastReason_ = path + ": cannot open file";
    return std::nullopt;
  }
  std::vector<Event> events;
  std::string line(kLineLimits.MaxBytes + 1, '\0');
  std::size_t number = 0;
  while (in.getline(line.data(), static_cast<std::streamsize>(line.size()))) {
    ++number;
    std::optional<Event> event = parseLine(line.substr(0, line.find('\0')));
    if (!event) {
      lastReason_ = path + ":" + std::to_string(number) + ": " + lastReason_;
      return std::nullopt;
    }
    events.push_back(std::move(*event));
  }
  if (!in.eof()) {
    lastReason_ = path + ":" + std::to_string(number + 1) + ": line is too long or unreadable";
    return std::nullopt;
  }
  return events;
}

}  // namespace cobaltgauge::sim
