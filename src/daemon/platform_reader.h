/// @file
/// Reads the platform on a thread of its own, so that a slow answer never delays a packet.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "configuration/platform_client.h"

namespace cobaltgauge::daemon {

/// Everything that one round of reads gave.
struct PlatformReadResult {
  std::optional<core::ConfigurationDocument> configuration;
  std::optional<configuration::MachineList> machines;
  std::string failure;  ///< Empty where both reads succeeded.
};

class PlatformReader {
 public:
  /// @param onResult called on the reader's thread after each round.
  PlatformReader(configuration::PlatformClient client,
                 std::function<void(PlatformReadResult)> onResult);
  ~PlatformReader();
  PlatformReader(const PlatformReader&) = delete;
  PlatformReader& operator=(const PlatformReader&) = delete;

  /// Asks for one round; ignored while one is running.
  void requestRead();

 private:
  void run();
  PlatformReadResult readOnce();

  configuration::PlatformClient client_;
  std::function<void(PlatformReadResult)> onResult_;
  std::mutex mutex_;
  std::condition_variable condition_;
  bool requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cobaltgauge::daemon
