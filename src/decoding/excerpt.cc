#include "decoding/excerpt.h"

#include <nlohmann/json.hpp>

namespace cobaltgauge::decoding {

std::string Excerpt(std::string_view text, std::size_t maxBytes)
{
  using Json = nlohmann::json;
  const std::string quoted =
    Json(text.substr(0, maxBytes))
      .dump(-1, ' ', true, Json::error_handler_t::replace);
  const std::string escaped = quoted.substr(1, quoted.size() - 2);
  return text.size() > maxBytes ? escaped + "..." : escaped;
}

} // namespace cobaltgauge::decoding
