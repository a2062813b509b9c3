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

void BackendHealth::ask(Signs& signs, Time since, Time now) {
  signs.lastSign = now;
  if (signs.unansweredSince == Time{}) {
    signs.unansweredSince = since;
  }
}

void BackendHealth::onOpening(BackendId backend, Time now) { ask(signs_[backend], now, now); }

void BackendHealth::onRepeatedData(BackendId backend, Time firstSentAt, Time now) {
  ask(signs_[backend], firstSentAt, now);
}

void BackendHealth::onAnswer(BackendId backend, Time now) {
  Signs& signs = signs_[backend];
  signs.lastSign = now;
  signs.unansweredSince = Time{};
  if (signs.dead) {
    signs.dead = false;
    --dead_;
    ++counters_.revived;
  }
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
  std::vector<BackendId> suspects;
  for (const auto& [id, signs] : signs_) {
    const bool suspected = isSuspected(id, now);
    suspects.insert(suspects.end(), suspected ? 1 : 0, id);
    if (suspected && !signs.probing && now >= signs.nextProbe) {
      due.push_back(id);
    }
  }
  if (suspects.size() > 1 && suspects.size() * 2 > known) {
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
  ++dead_;
  ++counters_.declaredDead;
  return true;
}

void BackendHealth::onResume() {
  for (auto& [id, signs] : signs_) {
    signs.unansweredSince = Time{};
  }
}

void BackendHealth::expire(Time now) {
  std::erase_if(signs_, [this, now](const auto& item) {
    const bool forget = now - item.second.lastSign > kSignsMemory && !item.second.probing;
    dead_ -= forget && item.second.dead ? 1U : 0U;
    return forget;
  });
}

}  // namespace cobaltgauge::core
