#include "core/backend_health.h"

#include "core/constants.h"

namespace cobaltgauge::core {

const char* toString(ProbeResult result) {
  switch (result) {
    case ProbeResult::kConnected:
      return "connected";
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kTimedOut:
      return "timed_out";
  }
  return "invalid";
}

void BackendHealth::ask(BackendId backend, Time since, Time now) {
  Signs& signs = signs_[backend];
  signs.lastSign = now;
  if (signs.unansweredSince == Time{}) {
    signs.unansweredSince = since;
    open_.insert(backend);
  }
}

void BackendHealth::onOpening(BackendId backend, Time now) { ask(backend, now, now); }

void BackendHealth::onRepeatedData(BackendId backend, Time firstSentAt, Time now) {
  ask(backend, firstSentAt, now);
}

void BackendHealth::onAnswer(BackendId backend, Time now) {
  Signs& signs = signs_[backend];
  signs.lastSign = now;
  signs.unansweredSince = Time{};
  counters_.revived += signs.dead ? 1U : 0U;
  signs.dead = false;
  open_.erase(backend);
}

bool BackendHealth::isSuspected(BackendId backend, Time now) const {
  const auto found = signs_.find(backend);
  if (found == signs_.end()) {
    return false;
  }
  const Signs& signs = found->second;
  const bool silent =
      signs.unansweredSince != Time{} && now - signs.unansweredSince > kAnswerPatience;
  return signs.dead || silent;
}

bool BackendHealth::isDead(BackendId backend) const {
  const auto found = signs_.find(backend);
  return found != signs_.end() && found->second.dead;
}

std::vector<BackendId> BackendHealth::takeProbes(std::size_t known, Time now) {
  std::vector<BackendId> due;
  std::size_t suspects = 0;
  for (const BackendId id : open_) {
    const Signs& signs = signs_.at(id);
    const bool suspected = isSuspected(id, now);
    suspects += suspected ? 1U : 0U;
    if (suspected && !signs.probing && now >= signs.nextProbe) {
      due.push_back(id);
    }
  }
  if (suspects > 1 && suspects * 2 > known) {
    return {};
  }
  for (const BackendId id : due) {
    signs_.at(id).probing = true;
    ++counters_.probes;
  }
  return due;
}

bool BackendHealth::onProbe(BackendId backend, ProbeResult result, Time now) {
  const auto found = signs_.find(backend);
  if (found == signs_.end()) {
    return false;
  }
  Signs& signs = found->second;
  signs.probing = false;
  signs.nextProbe = now + kProbeAgainAfter;
  if (result == ProbeResult::kConnected) {
    onAnswer(backend, now);
    return false;
  }
  const bool answeredMeanwhile = signs.unansweredSince == Time{};
  if (result == ProbeResult::kRefused || answeredMeanwhile || signs.dead) {
    return false;
  }
  signs.dead = true;
  ++counters_.declaredDead;
  return true;
}

void BackendHealth::onResume() {
  for (auto& [id, signs] : signs_) {
    signs.unansweredSince = Time{};
  }
  std::erase_if(open_, [this](BackendId id) { return !signs_.at(id).dead; });
}

void BackendHealth::onReachChanged() {
  for (auto& [id, signs] : signs_) {
    signs.unansweredSince = Time{};
    signs.dead = false;
  }
  open_.clear();
}

void BackendHealth::expire(Time now) {
  std::erase_if(signs_, [this, now](const auto& item) {
    const bool forget = now - item.second.lastSign > kSignsMemory && !item.second.probing;
    if (forget) {
      open_.erase(item.first);
    }
    return forget;
  });
}

}  // namespace cobaltgauge::core
