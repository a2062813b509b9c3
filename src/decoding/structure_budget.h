/// @file
/// Counts the nesting depth and the values of a document while it is scanned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "decoding/decoding_limits.h"

namespace cobaltgauge::decoding {

/** \class StructureBudget
 * \brief Check a document against its limits without building it.
 *
 * Scanners of the different encodings report each value in document order.
 * They stop as soon as a call returns false.
 */
class StructureBudget
{
public:
  explicit StructureBudget(const DecodingLimits& limits)
    : Limits(limits)
  {
  }

  /// Check the size of the encoded document.
  bool CheckSize(std::size_t bytes);

  /// Count values.
  bool Take(std::uint64_t values);

  /// Begin a list or table.
  bool Enter();

  /// End the innermost list or table.
  void Leave() { --this->Depth; }

  /// Describe the limit that was exceeded; empty if none was.
  const std::string& GetViolation() const { return this->Violation; }

private:
  bool Fail(const char* what, std::size_t limit);

  DecodingLimits Limits;
  std::size_t Depth = 0;
  std::uint64_t Values = 0;
  std::string Violation;
};

} // namespace cobaltgauge::decoding
