#include "daemon/zone_page.h"

#include "daemon/json_page.h"

namespace cobaltgauge::daemon {

std::string zonePage(const core::ZoneEvacuations& evacuations, core::Revision viewRevision,
                     bool ready, const core::ServingReadiness& serving) {
  nlohmann::json list = nlohmann::json::array();
  for (const core::StoreChange& change : evacuations.GetContents()) {
    list.push_back({{"zone", std::get<core::ZoneEvacuation>(change.item).zone},
                    {"key", change.key},
                    {"revision", toString(change.revision)}});
  }
  const nlohmann::json page{{"revision", toString(viewRevision)},
                            {"evacuated", std::move(list)},
                            {"ready", ready},
                            {"serving", serving.IsServing()},
                            {"serving_reason", core::ToString(serving.GetReason())}};
  return renderJson(page);
}

}  // namespace cobaltgauge::daemon
