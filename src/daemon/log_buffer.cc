#include "daemon/log_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace cobaltgauge::daemon {
namespace {

/// A writable pipe accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t kMaxWriteBytes = 4096;

bool isWritable(int descriptor) {
  pollfd request{descriptor, POLLOUT, 0};
  return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

}  // namespace

void LogBuffer::append(const std::string& line) {
  const std::lock_guard lock(mutex_);
  if (pending_.size() + line.size() + 1 > capacity_) {
    ++dropped_;
    return;
  }
  if (reportedDropped_ != dropped_ && pending_.empty()) {
    pending_ += "level=warning event=log_lines_dropped total=" + std::to_string(dropped_) + "\n";
    reportedDropped_ = dropped_;
  }
  pending_ += line;
  pending_ += '\n';
}

void LogBuffer::flush(int descriptor) {
  const std::lock_guard lock(mutex_);
  std::size_t written = 0;
  while (written < pending_.size() && isWritable(descriptor)) {
    const std::size_t size = std::min(kMaxWriteBytes, pending_.size() - written);
    const ssize_t result = ::write(descriptor, pending_.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

std::uint64_t LogBuffer::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace cobaltgauge::daemon
