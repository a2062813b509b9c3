/// @file
/// Packs some of a view's back ends into a message, and unpacks them.
#pragma once

#include <vector>

#include "core/registration.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/// Put registrations, in the order of their keys, into a page.
void PackBackends(const std::vector<StoreChange>& backends, ViewPage& page);

/// Get the registrations of a page.
/// \return nothing of a back end whose indices or address are not valid: a
/// peer's message is not trusted to be well formed.
std::vector<StoreChange> UnpackBackends(const ViewPage& page);

/// Get the key after which the next page begins.
std::string GetLastKey(const ViewPage& page);

} // namespace cobaltgauge::core
