/// @file
/// Reads files whose size is not known to be small.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace cobaltgauge::decoding {

/** \class FileReader
 * \brief Read files up to a maximum size.
 */
class FileReader
{
public:
  explicit FileReader(std::size_t maxBytes)
    : MaxBytes(maxBytes)
  {
  }

  /// Read a file.
  /// \return nothing if it cannot be read or is larger than the maximum.
  std::optional<std::string> Read(const std::string& path);

  /// Explain the last failure; begins with the path.
  const std::string& GetLastReason() const { return this->LastReason; }

private:
  std::size_t MaxBytes;
  std::string LastReason;
};

} // namespace cobaltgauge::decoding
