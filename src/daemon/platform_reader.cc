#include "daemon/platform_reader.h"

namespace cobaltgauge::daemon {

PlatformReader::PlatformReader(configuration::PlatformClient client,
                               std::function<void(PlatformReading)> deliver)
    : client_(std::move(client)), deliver_(std::move(deliver)), thread_([this] { run(); }) {}

PlatformReader::~PlatformReader() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void PlatformReader::request() {
  {
    const std::lock_guard lock(mutex_);
    requested_ = true;
  }
  wake_.notify_one();
}

PlatformReading PlatformReader::readOnce() {
  PlatformReading reading;
  core::ConfigurationDocument document;
  switch (client_.readConfiguration(document)) {
    case configuration::ReadResult::kNew:
      reading.configuration = std::move(document);
      break;
    case configuration::ReadResult::kUnchanged:
      break;
    case configuration::ReadResult::kFailed:
      reading.failure = client_.lastReason();
      break;
  }
  reading.machines = client_.readMachines();
  if (!reading.machines && reading.failure.empty()) {
    reading.failure = client_.lastReason();
  }
  return reading;
}

void PlatformReader::run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return requested_ || stopping_; });
      if (stopping_) {
        return;
      }
      requested_ = false;
    }
    deliver_(readOnce());
  }
}

}  // namespace cobaltgauge::daemon
