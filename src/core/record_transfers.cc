#include "core/record_transfers.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// How long the received batches of a transfer are tracked. Longer than a sender retransmits them.
constexpr Duration kTransferRetention = 4 * kResendTimeout;

}  // namespace

RecordsMessage RecordTransfers::makeBatch(const TransferHeader& header,
                                          const std::vector<FlowRecord>& records,
                                          std::size_t first) const {
  RecordsMessage batch;
  batch.transfer = nextTransfer_;
  batch.purpose = header.purpose;
  batch.shard = header.shard;
  batch.version = header.version;
  batch.authoritative = header.authoritative;
  batch.windowMs =
      static_cast<std::uint32_t>(header.windowRemaining / std::chrono::milliseconds(1));
  std::set<BackendId> named;
  const std::size_t last = std::min(records.size(), first + kMaxRecordsPerMessage);
  for (std::size_t i = first; i < last; ++i) {
    const BackendAddress* address = directory_.find(records[i].backend);
    if (address == nullptr) {
      continue;
    }
    batch.records.push_back(records[i]);
    if (named.insert(address->id).second) {
      batch.backends.push_back(*address);
    }
  }
  return batch;
}

void RecordTransfers::send(MemberId to, const TransferHeader& header,
                           const std::vector<FlowRecord>& records, Time now) {
  const Member* receiver = membership_.members().find(to);
  if (receiver == nullptr) {
    return;
  }
  const std::size_t batches = std::max<std::size_t>(
      1, (records.size() + kMaxRecordsPerMessage - 1) / kMaxRecordsPerMessage);
  for (std::size_t batch = 0; batch < batches; ++batch) {
    RecordsMessage message = makeBatch(header, records, batch * kMaxRecordsPerMessage);
    message.batchCount = static_cast<std::uint32_t>(batches);
    outbox_.sendReliably(to, receiver->identity.control, std::move(message), now);
  }
  ++nextTransfer_;
}

bool RecordTransfers::addBatch(MemberId from, const RecordsMessage& message, Time now) {
  Incoming& incoming = incoming_[{from, message.transfer}];
  incoming.since = incoming.batches.empty() ? now : incoming.since;
  incoming.batches.insert(message.id);
  const bool becomesComplete = !incoming.complete && incoming.batches.size() >= message.batchCount;
  incoming.complete = incoming.complete || becomesComplete;
  return becomesComplete;
}

void RecordTransfers::removeExpired(Time now) {
  std::erase_if(incoming_,
                [now](const auto& item) { return now - item.second.since > kTransferRetention; });
}

}  // namespace cobaltgauge::core
