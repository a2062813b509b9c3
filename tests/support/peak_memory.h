/// @file
/// Measures what a call costs at its peak, in a process of its own.
#pragma once

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace cobaltgauge::tests {

inline std::int64_t peakResidentKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/// Calls the function in a child process.
/// @return by how many kilobytes its resident memory grew at the peak, or nullopt if it ended by a
///     signal.
inline std::optional<std::int64_t> peakGrowthOf(const std::function<void()>& call) {
  int ends[2];
  if (pipe(ends) != 0) {
    return std::nullopt;
  }
  const pid_t child = fork();
  if (child == 0) {
    const std::int64_t before = peakResidentKilobytes();
    call();
    const std::int64_t growth = peakResidentKilobytes() - before;
    const bool written = write(ends[1], &growth, sizeof(growth)) == sizeof(growth);
    _exit(written ? 0 : 1);
  }
  close(ends[1]);
  std::int64_t growth = 0;
  const bool isRead = read(ends[0], &growth, sizeof(growth)) == sizeof(growth);
  close(ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  return isRead ? std::optional(growth) : std::nullopt;
}

}  // namespace cobaltgauge::tests
