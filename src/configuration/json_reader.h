/// @file
/// Reads and validates the fields of a JSON object. Keeps the first error with the field's path.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "core/types.h"

namespace cobaltgauge::configuration {

class JsonReader {
 public:
  /// @param path path of the object for error messages, for example "services[2]".
  JsonReader(const nlohmann::json& object, std::string path);

  /// Records an error for each field that is not in the list.
  void rejectUnknownFields(std::initializer_list<const char*> fields);

  std::string text(const char* field);
  std::string textOr(const char* field, const std::string& defaultValue);
  std::uint64_t number(const char* field, std::uint64_t min, std::uint64_t max);
  std::uint64_t numberOr(const char* field, std::uint64_t defaultValue, std::uint64_t max);
  core::IpAddress address(const char* field);
  /// Reads a string that must be one of the given choices.
  /// @return its index, `defaultValue` if the field is missing, or 0 after an error.
  std::size_t choice(const char* field, std::initializer_list<const char*> choices,
                     std::size_t defaultValue);
  /// @return the array, or an empty array after an error.
  const nlohmann::json& array(const char* field);

  /// @return a set of non-empty strings; empty if the field is missing or after an error.
  std::set<std::string> optionalNames(const char* field);

  /// Records an error for a field unless an earlier one exists.
  void fail(const std::string& field, const std::string& problem);
  bool ok() const { return !error_.has_value(); }
  /// @return the first error: path, field, value and allowed values.
  const std::string& error() const { return *error_; }

 private:
  const nlohmann::json* find(const char* field) const;

  const nlohmann::json& object_;
  std::string path_;
  std::optional<std::string> error_;
};

}  // namespace cobaltgauge::configuration
