/// @file
/// A Lua state with limits on instructions, processor time and memory. Provides no functions that
/// access the environment or whose results differ between processes.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

extern "C" {
#include <lua.h>
}

namespace cobaltgauge::policy {

class LuaSandbox {
 public:
  /// @param maxProcessorTime of the calling thread, from the construction on. An instruction on
  /// long
  ///     strings may take a fraction of a millisecond.
  LuaSandbox(int maxInstructions, std::size_t maxMemoryBytes,
             std::chrono::milliseconds maxProcessorTime);
  LuaSandbox(const LuaSandbox&) = delete;
  LuaSandbox& operator=(const LuaSandbox&) = delete;

  /// Loads and runs a text chunk; rejects binary chunks.
  /// @return false on failure; see lastReason().
  bool run(const std::string& source, const std::string& chunkName);

  /// Runs a C function that works on the state, with `argument` as its only argument. Outside of
  /// one, a failed allocation would end the process. The function is left by longjmp on an error,
  /// so it must not hold objects with destructors.
  /// @param results number of values that it leaves on the stack.
  /// @return false on failure, without a result on the stack; see lastReason().
  bool runProtected(lua_CFunction function, void* argument, int results);

  lua_State* state() { return state_.get(); }
  const std::string& lastReason() const { return lastReason_; }

 private:
  struct MemoryBudget {
    std::size_t used = 0;
    std::size_t limit = 0;
  };
  struct CloseState {
    void operator()(lua_State* state) const { lua_close(state); }
  };

  static void* allocate(void* budget, void* block, std::size_t oldSize, std::size_t newSize);
  bool call(int argumentCount, int resultCount);
  static void onInstructions(lua_State* state, lua_Debug* debug);
  void openLibraries();
  bool popError();

  int remainingInstructions_;
  std::chrono::nanoseconds processorDeadline_;
  MemoryBudget budget_;
  std::unique_ptr<lua_State, CloseState> state_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::policy
