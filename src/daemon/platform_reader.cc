#include "daemon/platform_reader.h"

namespace cobaltgauge::daemon {

PlatformReader::PlatformReader(configuration::PlatformClient client,
                               std::function<void(PlatformReadResult)> onResult)
    : client_(std::move(client)), onResult_(std::move(onResult)), thread_([this] { run(); }) {}

PlatformReader::~PlatformReader() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  condition_.notify_one();
  thread_.join();
}

void PlatformReader::requestRead() {
  {
    const std::lock_guard lock(mutex_);
    requested_ = true;
  }
  condition_.notify_one();
}

PlatformReadResult PlatformReader::readOnce() {
  PlatformReadResult result;
  core::ConfigurationDocument document;
  switch (client_.readConfiguration(document)) {
    case configuration::ReadResult::kNew:
      result.configuration = std::move(document);
      break;
    case configuration::ReadResult::kUnchanged:
      break;
    case configuration::ReadResult::kFailed:
      result.failure = client_.lastReason();
      break;
  }
  result.machines = client_.readMachines();
  if (!result.machines && result.failure.empty()) {
    result.failure = client_.lastReason();
  }
  return result;
}

void PlatformReader::run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      condition_.wait(lock, [this] { return requested_ || stopping_; });
      if (stopping_) {
        return;
      }
      requested_ = false;
    }
    onResult_(readOnce());
  }
}

}  // namespace cobaltgauge::daemon
