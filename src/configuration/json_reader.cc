#include "configuration/json_reader.h"

#include <algorithm>

#include "net/address.h"

namespace cobaltgauge::configuration {
namespace {

/// Longer values are truncated in error messages.
constexpr std::size_t kMaxQuotedValueBytes = 60;

std::string shorten(const std::string& text) {
  return text.size() > kMaxQuotedValueBytes ? text.substr(0, kMaxQuotedValueBytes) + "..." : text;
}

std::string formatValue(const nlohmann::json& value) {
  return shorten(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace

JsonReader::JsonReader(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.is_object()) {
    error_ = path_ + ": must be an object, got " + formatValue(object_);
  }
}

std::set<std::string> JsonReader::optionalNames(const char* field) {
  std::set<std::string> names;
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return names;
  }
  for (const nlohmann::json& item : array(field)) {
    if (!item.is_string() || item.get<std::string>().empty()) {
      fail(field, "must be an array of non-empty strings, got " + formatValue(item));
      return {};
    }
    names.insert(item.get<std::string>());
  }
  return names;
}

void JsonReader::fail(const std::string& field, const std::string& problem) {
  if (!error_) {
    error_ = path_ + "." + shorten(field) + ": " + problem;
  }
}

const nlohmann::json* JsonReader::find(const char* field) const {
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto it = object_.find(field);
  return it == object_.end() ? nullptr : &*it;
}

void JsonReader::rejectUnknownFields(std::initializer_list<const char*> fields) {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [name, value] : object_.items()) {
    const bool isKnown = std::any_of(fields.begin(), fields.end(),
                                     [&name = name](const char* field) { return name == field; });
    if (!isKnown) {
      std::string allowed;
      for (const char* field : fields) {
        allowed += std::string(allowed.empty() ? "" : ", ") + field;
      }
      fail(name, "unknown field; allowed are " + allowed);
    }
  }
}

std::string JsonReader::text(const char* field) {
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    fail(field, "missing; a string is required");
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    fail(field, "must be a non-empty string, got " + formatValue(*value));
    return {};
  }
  return value->get<std::string>();
}

std::string JsonReader::textOr(const char* field, const std::string& defaultValue) {
  return find(field) == nullptr ? defaultValue : text(field);
}

std::uint64_t JsonReader::number(const char* field, std::uint64_t min, std::uint64_t max) {
  const std::string range =
      "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    fail(field, "missing; " + range + " is required");
    return min;
  }
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() < min ||
      value->get<std::uint64_t>() > max) {
    fail(field, "must be " + range + ", got " + formatValue(*value));
    return min;
  }
  return value->get<std::uint64_t>();
}

std::uint64_t JsonReader::numberOr(const char* field, std::uint64_t defaultValue,
                                   std::uint64_t max) {
  return find(field) == nullptr ? defaultValue : number(field, 0, max);
}

core::IpAddress JsonReader::address(const char* field) {
  const std::string value = text(field);
  const std::optional<core::IpAddress> parsed = net::parseAddress(value);
  if (!parsed && ok()) {
    fail(field, "must be an IPv4 or IPv6 address, got \"" + shorten(value) + "\"");
  }
  return parsed.value_or(core::IpAddress{});
}

std::size_t JsonReader::choice(const char* field, std::initializer_list<const char*> choices,
                               std::size_t defaultValue) {
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return defaultValue;
  }
  std::string allowed;
  std::size_t index = 0;
  for (const char* candidate : choices) {
    if (value->is_string() && value->get_ref<const std::string&>() == candidate) {
      return index;
    }
    allowed += std::string(allowed.empty() ? "" : ", ") + candidate;
    ++index;
  }
  fail(field, "must be one of " + allowed + ", got " + formatValue(*value));
  return 0;
}

const nlohmann::json& JsonReader::array(const char* field) {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  const nlohmann::json* value = find(field);
  if (value == nullptr || !value->is_array()) {
    fail(field, value == nullptr ? "missing; an array is required" : "must be an array");
    return kEmpty;
  }
  return *value;
}

}  // namespace cobaltgauge::configuration
