#include "core/backend_health.h"

#include "core/constants.h"

namespace cobaltgauge::core {

void BackendHealth::recordRequest(BackendId backend, Time since, Time now) {
  Record& record = records_[backend];
  record.lastActivity = now;
  if (record.unansweredSince == Time{}) {
    record.unansweredSince = since;
    pending_.insert(backend);
  }
}

void BackendHealth::onOpening(BackendId backend, Time now) { recordRequest(backend, now, now); }

void BackendHealth::onRetransmittedData(BackendId backend, Time firstSentAt, Time now) {
  recordRequest(backend, firstSentAt, now);
}

void BackendHealth::onResponse(BackendId backend, Time now) {
  Record& record = records_[backend];
  record.lastActivity = now;
  record.lastResponse = now;
  record.unansweredSince = Time{};
  counters_.recovered += record.dead ? 1U : 0U;
  record.dead = false;
  pending_.erase(backend);
}

bool BackendHealth::isSuspected(BackendId backend, Time now) const {
  const auto found = records_.find(backend);
  if (found == records_.end()) {
    return false;
  }
  const Record& record = found->second;
  const bool unresponsive =
      record.unansweredSince != Time{} && now - record.unansweredSince > kResponseTimeout;
  return record.dead || unresponsive;
}

bool BackendHealth::isDead(BackendId backend) const {
  const auto found = records_.find(backend);
  return found != records_.end() && found->second.dead;
}

std::vector<BackendId> BackendHealth::takeProbes(std::size_t backendCount, Time now) {
  std::vector<BackendId> due;
  std::size_t suspects = 0;
  for (const BackendId id : pending_) {
    const Record& record = records_.at(id);
    const bool suspected = isSuspected(id, now);
    suspects += suspected ? 1U : 0U;
    if (suspected && !record.probing && now >= record.nextProbe) {
      due.push_back(id);
    }
  }
  if (suspects > 1 && suspects * 2 > backendCount) {
    return {};
  }
  for (const BackendId id : due) {
    Record& record = records_.at(id);
    record.probing = true;
    record.probeValid = true;
    record.probeStartedAt = now;
    ++counters_.probes;
  }
  return due;
}

bool BackendHealth::onProbe(BackendId backend, ProbeResult result, Time now) {
  const auto found = records_.find(backend);
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  record.probing = false;
  record.nextProbe = now + kProbeRetryInterval;
  if (result == ProbeResult::kConnected) {
    onResponse(backend, now);
    return false;
  }
  const bool respondedMeanwhile = record.unansweredSince == Time{} || !record.probeValid ||
                                  record.lastResponse >= record.probeStartedAt;
  if (result != ProbeResult::kTimedOut || respondedMeanwhile) {
    counters_.inconclusive += result == ProbeResult::kInconclusive ? 1U : 0U;
    return false;
  }
  record.confirmedDeadAt = now;
  if (record.dead) {
    return false;
  }
  record.dead = true;
  ++counters_.declaredDead;
  return true;
}

void BackendHealth::onResume() {
  for (auto& [id, record] : records_) {
    record.unansweredSince = Time{};
    record.dead = false;
    record.probeValid = false;
  }
  pending_.clear();
}

std::vector<std::pair<BackendId, Time>> BackendHealth::respondingBackends(Time now) const {
  std::vector<std::pair<BackendId, Time>> found;
  for (const auto& [id, record] : records_) {
    if (record.lastResponse != Time{} && !isSuspected(id, now)) {
      found.emplace_back(id, record.lastResponse);
    }
  }
  return found;
}

void BackendHealth::remove(BackendId backend) {
  // Without the record, the result of a pending probe is ignored.
  records_.erase(backend);
  pending_.erase(backend);
}

void BackendHealth::onReachabilityChanged() { onResume(); }

void BackendHealth::expire(Time now) {
  for (const BackendId id : pending_) {
    Record& record = records_.at(id);
    record.dead = record.dead && now - record.confirmedDeadAt < kDeadStateTtl;
  }
  std::erase_if(records_, [this, now](const auto& item) {
    const bool isExpired =
        now - item.second.lastActivity > kHealthRecordTtl && !item.second.probing;
    if (isExpired) {
      pending_.erase(item.first);
    }
    return isExpired;
  });
}

}  // namespace cobaltgauge::core
