/// @file
/// How long the answers of a route are, so that one which only says "not run"
/// is told from the usual ones.
#pragma once

#include <array>
#include <cstdint>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {

/** \class ResponseLengths
 * \brief Remember the latest lengths of one route's answers.
 *
 * The usual length is the upper quartile of them: while up to three quarters
 * are rejections it is still that of an answer.  Short ones are remembered
 * rarely, so that many more than that do not change it at once.
 */
class ResponseLengths
{
public:
  /// Tell whether an answer with this many bytes, or fewer, is a rejection.
  /// Never, where too little is known or lengths are not stable.
  bool IsShort(std::uint32_t bytes) const
  {
    return bytes <= this->MaxShortBytes;
  }

  void Add(std::uint32_t bytes);

private:
  void UpdateThreshold();

  std::array<std::uint32_t, kResponseLengthSamples> Lengths{};
  std::size_t Samples = 0;
  std::size_t Next = 0;
  std::uint32_t ShortResponses = 0;
  std::uint32_t MaxShortBytes = 0; ///< Zero: nothing is.
};

} // namespace cobaltgauge::core
