#include "daemon/load_page.h"

#include "daemon/json_page.h"

namespace cobaltgauge::daemon {

std::string loadPage(const core::FleetLoad& load, const core::BackendRegistry& backends,
                     core::Time now) {
  nlohmann::json zones = nlohmann::json::array();
  for (const auto& [key, slots] : load.GetSlots()) {
    const core::ZoneLoad zoneLoad = load.GetLoad(key);
    const std::optional<core::ZoneCapacity> capacity =
        load.GetZoneCapacity(key.first, key.second, now);
    nlohmann::json zone{{"service", backends.nameOf(key.first)},
                        {"zone", backends.nameOf(key.second)},
                        {"in_flight", zoneLoad.InFlight},
                        {"slots", slots},
                        {"openings_in_second", zoneLoad.OpeningsInSecond},
                        {"rejected_in_second", zoneLoad.RejectedInSecond}};
    zone["utilization"] = capacity ? nlohmann::json(capacity->Utilization) : nlohmann::json();
    zones.push_back(std::move(zone));
  }
  const std::optional<core::Duration> age = load.GetAge(now);
  const nlohmann::json page{
      {"reports", load.IsEnabled()},
      {"daemons", load.CountDaemons()},
      {"age_ms", age ? nlohmann::json(*age / std::chrono::milliseconds(1)) : nlohmann::json()},
      {"load", std::move(zones)}};
  return renderJson(page);
}

}  // namespace cobaltgauge::daemon
