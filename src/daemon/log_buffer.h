/// @file
/// Holds log lines until they can be written without blocking. Bounded: what does not fit is
/// dropped and counted, and the count is logged once there is room again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace cobaltgauge::daemon {

class LogBuffer {
 public:
  /// @param capacity most bytes held.
  explicit LogBuffer(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a line without its end; drops it where it does not fit.
  void append(const std::string& line);

  /// Writes what the descriptor takes at once.
  void flush(int descriptor);

  std::uint64_t dropped() const;

 private:
  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
};

}  // namespace cobaltgauge::daemon
