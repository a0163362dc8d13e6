#pragma once

#include "briarwind/freshness.h"
#include "briarwind/settings_feed.h"
#include "libnet/peer.pb.h"

#include <vector>

namespace briarwind {

/// Freshness reports and handed over values in their form between members.
wire::PeerRequest FreshnessRequestOf(const settings_feed& aFeed);
wire::PeerAnswer FreshnessAnswerOf(const freshness_report& aReport, const freshness_check& aCheck,
                                   const settings_feed& aFeed,
                                   const wire::FreshnessRequest& aRequest);
freshness_report ReportOf(const wire::FreshnessAnswer& aAnswer);
std::vector<stored_value> HandedOver(const wire::FreshnessAnswer& aAnswer);

} // namespace briarwind
