/// @file
/// A Lua state with limits on instructions and memory. Provides no functions that access the
/// environment or whose results differ between processes.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

extern "C" {
#include <lua.h>
}

namespace cobaltgauge::policy {

class LuaSandbox {
 public:
  LuaSandbox(int maxInstructions, std::size_t maxMemoryBytes);

  /// Loads and runs a text chunk; rejects binary chunks.
  /// @return false on failure; see lastReason().
  bool run(const std::string& source, const std::string& chunkName);

  /// Calls the function on the stack with the arguments above it.
  /// @return false on failure, without a result on the stack; see lastReason().
  bool call(int argumentCount, int resultCount);

  /// Pushes a global function.
  /// @return false, without pushing anything, if the global is not a function.
  bool pushFunction(const char* name);

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
  static void onInstructionLimit(lua_State* state, lua_Debug* debug);
  void openLibraries();
  bool popError();

  MemoryBudget budget_;
  std::unique_ptr<lua_State, CloseState> state_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::policy
