/// @file
/// Bounded buffer of log lines that are written without blocking. Lines that do not fit are dropped
/// and counted; the count is logged once the buffer has been emptied.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace cobaltgauge::daemon {

class LogBuffer {
 public:
  /// @param capacity maximum size of the buffered lines in bytes.
  explicit LogBuffer(std::size_t capacity) : capacity_(capacity) {}

  /// Appends a line, given without its newline, or drops it if it does not fit.
  void append(const std::string& line);

  /// Writes buffered lines until the descriptor would block.
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
