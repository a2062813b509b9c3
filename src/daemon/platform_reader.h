/// @file
/// Reads the configuration and the machine list from the platform on a separate thread, so that a
/// slow response does not delay packets.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "configuration/platform_client.h"

namespace cobaltgauge::daemon {

/// Result of one read of the configuration and the machine list.
struct PlatformReadResult {
  std::optional<core::ConfigurationDocument> configuration;
  std::optional<configuration::MachineList> machines;
  std::string failure;  ///< Reason of the first failure; empty if both reads succeeded.
};

class PlatformReader {
 public:
  /// @param onResult called on the reader's thread after each read.
  PlatformReader(configuration::PlatformClient client,
                 std::function<void(PlatformReadResult)> onResult);
  ~PlatformReader();
  PlatformReader(const PlatformReader&) = delete;
  PlatformReader& operator=(const PlatformReader&) = delete;

  /// Requests a read. Requests made before the read starts are merged.
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
