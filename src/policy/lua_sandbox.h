/// @file
/// A Lua state with caps on instructions and memory and without any function that reaches outside
/// or differs between processes.
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

  /// Loads and runs a text chunk; binary chunks are refused.
  /// @return false on failure; see lastReason().
  bool run(const std::string& source, const std::string& chunkName);

  /// Calls the function and arguments on the stack.
  /// @return false on failure; the stack then holds no result.
  bool call(int argumentCount, int resultCount);

  /// Pushes a global function.
  /// @return false where the global is no function; nothing is pushed.
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
