/// @file
/// Limits on documents that come from outside the process: the store, peers,
/// files and HTTP responses.  See docs/design/015-decoders.md.
#pragma once

#include <cstddef>

namespace cobaltgauge::decoding {

/// What a document may cost.  A parser checks its limits before it allocates,
/// converts or copies anything that the document contains.
struct DecodingLimits
{
  std::size_t MaxBytes = 0;  ///< Size of the encoded document.
  std::size_t MaxDepth = 0;  ///< Lists and tables inside one another.
  std::size_t MaxValues = 0; ///< Scalars, keys, lists and tables in total.
};

} // namespace cobaltgauge::decoding
