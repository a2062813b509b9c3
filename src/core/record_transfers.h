/// @file
/// Sends flow records in batches and detects when a received transfer is complete.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/backend_directory.h"
#include "core/membership.h"
#include "core/messages.h"
#include "core/outbox.h"

namespace cobaltgauge::core {

/// Metadata of a transfer.
struct TransferHeader {
  RecordPurpose purpose = RecordPurpose::kListing;
  ShardKey shard;
  ConfigurationVersion version = 0;
  bool authoritative = false;
  Duration windowRemaining{0};
};

class RecordTransfers {
 public:
  RecordTransfers(const Membership& membership, const BackendDirectory& directory, Outbox& outbox)
      : membership_(membership), directory_(directory), outbox_(outbox) {}

  /// Sends records reliably; sends one batch if there are no records.
  void send(MemberId to, const TransferHeader& header, const std::vector<FlowRecord>& records,
            Time now);

  /// Registers a received batch.
  /// @return true for the batch that completes the transfer, once per transfer.
  bool addBatch(MemberId from, const RecordsMessage& message, Time now);

  /// Discards the state of transfers older than the retention time.
  void removeExpired(Time now);

 private:
  struct Incoming {
    std::set<std::uint64_t> batches;
    bool complete = false;
    Time since{};
  };

  RecordsMessage makeBatch(const TransferHeader& header, const std::vector<FlowRecord>& records,
                           std::size_t first) const;

  const Membership& membership_;
  const BackendDirectory& directory_;
  Outbox& outbox_;
  std::map<std::pair<MemberId, std::uint64_t>, Incoming> incoming_;
  std::uint64_t nextTransfer_ = 1;
};

}  // namespace cobaltgauge::core
