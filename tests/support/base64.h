/// @file
/// Base64, in which the store gives the values of its items.
#pragma once

#include <openssl/evp.h>

#include <string>
#include <string_view>

namespace cobaltgauge::tests {

inline std::string encodeBase64(std::string_view bytes) {
  std::string encoded((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  encoded.resize(static_cast<std::size_t>(size));
  return encoded;
}

}  // namespace cobaltgauge::tests
