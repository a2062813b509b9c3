/// @file
/// Discrete-event loop in virtual time. Events with equal timestamps run in scheduling order, so
/// that runs with the same seed are identical.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::sim {

class EventQueue {
 public:
  using Action = std::function<void()>;

  core::Time now() const { return now_; }

  /// Schedules an action; times in the past are clamped to now().
  void at(core::Time time, Action action);
  void after(core::Duration delay, Action action) { at(now_ + delay, std::move(action)); }

  /// Runs all events up to and including `end`, then advances the clock to `end`.
  void runUntil(core::Time end);

  std::uint64_t executed() const { return executed_; }

 private:
  struct Item {
    core::Time time;
    std::uint64_t order;
    Action action;
  };
  struct Later {
    bool operator()(const Item& a, const Item& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  std::priority_queue<Item, std::vector<Item>, Later> items_;
  core::Time now_{};
  std::uint64_t nextOrder_ = 0;
  std::uint64_t executed_ = 0;
};

}  // namespace cobaltgauge::sim
