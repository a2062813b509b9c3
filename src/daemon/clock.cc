#include "daemon/clock.h"

#include <ctime>

namespace cobaltgauge::daemon {

core::Time bootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<core::Time>(std::chrono::seconds(now.tv_sec) +
                                                std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace cobaltgauge::daemon
