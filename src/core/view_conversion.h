/// @file
/// Converts a view and its changes to peer messages and back.
#pragma once

#include <optional>
#include <vector>

#include "core/registration.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

std::uint32_t toMilliseconds(Duration duration);

ViewBackend toMessage(const StoreChange& change, const Registration& registration);
StoreChange toChange(const ViewBackend& backend);

ViewEvacuation toMessage(const StoreChange& change, const ZoneEvacuation& evacuation);
StoreChange toChange(const ViewEvacuation& evacuation);

ViewRoute toMessage(const Route& route);
ViewService toMessage(const ServiceTraits& service);
ServiceTraits toTraits(const ViewService& message);

/// @return the route, or nothing if it has no targets.
std::optional<Route> toRoute(const ViewRoute& message);

/// Adds changes to an update. Unreadable items are skipped.
void addToUpdate(const std::vector<StoreChange>& changes, ViewUpdate& update);
/// @return the changes of an update. Changes of one key are ordered by revision, so kinds may be in
/// any order.
std::vector<StoreChange> toStoreChanges(const ViewUpdate& update);

}  // namespace cobaltgauge::core
