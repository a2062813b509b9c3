#include "core/backend_health.h"

#include "core/constants.h"

namespace cobaltgauge::core {

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
  signs.lastAnswer = now;
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
    Signs& signs = signs_.at(id);
    signs.probing = true;
    signs.probeCounts = true;
    signs.probeBegan = now;
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
  const bool answeredMeanwhile =
      signs.unansweredSince == Time{} || !signs.probeCounts || signs.lastAnswer >= signs.probeBegan;
  if (result != ProbeResult::kTimedOut || answeredMeanwhile) {
    counters_.unproven += result == ProbeResult::kInconclusive ? 1U : 0U;
    return false;
  }
  signs.provenDeadAt = now;
  if (signs.dead) {
    return false;
  }
  signs.dead = true;
  ++counters_.declaredDead;
  return true;
}

void BackendHealth::onResume() {
  for (auto& [id, signs] : signs_) {
    signs.unansweredSince = Time{};
    signs.dead = false;
    signs.probeCounts = false;
  }
  open_.clear();
}

std::vector<std::pair<BackendId, Time>> BackendHealth::answering(Time now) const {
  std::vector<std::pair<BackendId, Time>> found;
  for (const auto& [id, signs] : signs_) {
    if (signs.lastAnswer != Time{} && !isSuspected(id, now)) {
      found.emplace_back(id, signs.lastAnswer);
    }
  }
  return found;
}

void BackendHealth::forget(BackendId backend) {
  // A probe that is under way meets signs that know nothing of it, and proves nothing.
  signs_.erase(backend);
  open_.erase(backend);
}

void BackendHealth::onReachChanged() { onResume(); }

void BackendHealth::expire(Time now) {
  for (const BackendId id : open_) {
    Signs& signs = signs_.at(id);
    signs.dead = signs.dead && now - signs.provenDeadAt < kDeathHolds;
  }
  std::erase_if(signs_, [this, now](const auto& item) {
    const bool forget = now - item.second.lastSign > kSignsMemory && !item.second.probing;
    if (forget) {
      open_.erase(item.first);
    }
    return forget;
  });
}

}  // namespace cobaltgauge::core
