#include "core/token_flows.h"

namespace cobaltgauge::core {

TokenFlow* TokenFlows::find(FlowFingerprint fingerprint) {
  const auto found = index_.find(fingerprint);
  return found == index_.end() ? nullptr : &*found->second;
}

TokenFlow& TokenFlows::put(const TokenFlow& flow, Time now) {
  erase(flow.fingerprint);
  if (index_.size() >= capacity_ && !order_.empty()) {
    drop(order_.begin());
    ++evictions_;
  }
  order_.push_back(flow);
  const auto added = std::prev(order_.end());
  added->lastSeen = now;
  index_.emplace(flow.fingerprint, added);
  ++open_[flow.backend];
  return *added;
}

void TokenFlows::touch(TokenFlow& flow, Time now) {
  flow.lastSeen = now;
  order_.splice(order_.end(), order_, index_.at(flow.fingerprint));
}

void TokenFlows::erase(FlowFingerprint fingerprint) {
  const auto found = index_.find(fingerprint);
  if (found != index_.end()) {
    drop(found->second);
  }
}

void TokenFlows::expire(Time now, Duration idle) {
  while (!order_.empty() && now - order_.front().lastSeen > idle) {
    drop(order_.begin());
  }
}

std::uint32_t TokenFlows::openOn(BackendId backend) const {
  const auto found = open_.find(backend);
  return found == open_.end() ? 0 : found->second;
}

std::vector<BackendId> TokenFlows::backendsWithFlows() const {
  std::vector<BackendId> backends;
  backends.reserve(open_.size());
  for (const auto& [backend, count] : open_) {
    backends.push_back(backend);
  }
  return backends;
}

std::vector<TokenFlow> TokenFlows::takeAllOf(BackendId backend) {
  std::vector<TokenFlow> taken;
  for (auto flow = order_.begin(); flow != order_.end();) {
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
    countOut(flow.backend);
  }
}

void TokenFlows::countOut(BackendId backend) {
  const auto open = open_.find(backend);
  if (--open->second == 0) {
    open_.erase(open);
  }
}

void TokenFlows::drop(Order::iterator flow) {
  if (!flow->closed) {
    countOut(flow->backend);
  }
  index_.erase(flow->fingerprint);
  order_.erase(flow);
}

}  // namespace cobaltgauge::core
