/// @file
/// Response lengths of a route, used to detect rejections.
#pragma once

#include <array>
#include <cstdint>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {

/** \class ResponseLengths
 * \brief Keeps samples of the response lengths of one route.
 *
 * The typical length is the upper quartile, which holds while up to three
 * quarters of the samples are rejections.  Only a part of the short responses
 * is sampled, so that a burst of rejections does not change it.
 */
class ResponseLengths
{
public:
  /// Return whether a response of this length in bytes is a rejection.  False
  /// if there are too few samples or lengths are not clearly separated.
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
  std::uint32_t MaxShortBytes = 0; ///< Zero: rejections are not detected.
};

} // namespace cobaltgauge::core
