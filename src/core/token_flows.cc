#include "core/token_flows.h"

namespace cobaltgauge::core {

TokenFlow* TokenFlows::find(FlowFingerprint fingerprint) {
  const auto found = index_.find(fingerprint);
  return found == index_.end() ? nullptr : &*found->second;
}

TokenFlow& TokenFlows::put(const TokenFlow& flow, Time now) {
  erase(flow.fingerprint);
  if (index_.size() >= capacity_ && !lruOrder_.empty()) {
    drop(lruOrder_.begin());
    ++evictions_;
  }
  lruOrder_.push_back(flow);
  const auto added = std::prev(lruOrder_.end());
  added->lastSeen = now;
  index_.emplace(flow.fingerprint, added);
  ++openCounts_[flow.backend];
  return *added;
}

void TokenFlows::touch(TokenFlow& flow, Time now) {
  flow.lastSeen = now;
  lruOrder_.splice(lruOrder_.end(), lruOrder_, index_.at(flow.fingerprint));
}

void TokenFlows::erase(FlowFingerprint fingerprint) {
  const auto found = index_.find(fingerprint);
  if (found != index_.end()) {
    drop(found->second);
  }
}

void TokenFlows::expire(Time now, Duration idle) {
  while (!lruOrder_.empty() && now - lruOrder_.front().lastSeen > idle) {
    drop(lruOrder_.begin());
  }
}

std::uint32_t TokenFlows::openFlowCount(BackendId backend) const {
  const auto found = openCounts_.find(backend);
  return found == openCounts_.end() ? 0 : found->second;
}

std::vector<TokenFlow> TokenFlows::takeAcknowledgements(BackendId backend) {
  std::vector<TokenFlow> taken;
  for (TokenFlow& flow : lruOrder_) {
    if (flow.backend == backend && !flow.closed && !flow.lastAcknowledgement.empty()) {
      taken.push_back(flow);
      flow.lastAcknowledgement.clear();
    }
  }
  return taken;
}

std::vector<TokenFlow> TokenFlows::removeFlowsOf(BackendId backend) {
  std::vector<TokenFlow> taken;
  for (auto flow = lruOrder_.begin(); flow != lruOrder_.end();) {
    const auto next = std::next(flow);
    if (flow->backend == backend && !flow->closed) {
      taken.push_back(*flow);
      drop(flow);
    }
    flow = next;
  }
  return taken;
}

void TokenFlows::close(TokenFlow& flow) {
  if (!flow.closed) {
    flow.closed = true;
    decrementOpenCount(flow.backend);
  }
}

void TokenFlows::decrementOpenCount(BackendId backend) {
  const auto open = openCounts_.find(backend);
  if (--open->second == 0) {
    openCounts_.erase(open);
  }
}

void TokenFlows::drop(LruList::iterator flow) {
  if (!flow->closed) {
    decrementOpenCount(flow->backend);
  }
  index_.erase(flow->fingerprint);
  lruOrder_.erase(flow);
}

}  // namespace cobaltgauge::core
