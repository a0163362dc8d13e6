#pragma once

#include "briarwind/freshness.h"
#include "briarwind/settings_feed.h"
#include "libnet/peer.pb.h"

#include <vector>

namespace briarwind {

/// Conversions between freshness reports and the messages that members exchange.

/// The request of a process with the settings and the member record of aFeed.
wire::PeerRequest MakeFreshnessRequest(const settings_feed& aFeed);
/// The answer to aRequest, with every value of aFeed that is newer than what the request names.
wire::PeerAnswer MakeFreshnessAnswer(const freshness_report& aReport, const freshness_check& aCheck,
                                     const settings_feed& aFeed,
                                     const wire::FreshnessRequest& aRequest);
/// The freshness report in an answer.
freshness_report ToReport(const wire::FreshnessAnswer& aAnswer);
/// The settings and the member record in an answer, if it carries any.
std::vector<stored_value> NewerValues(const wire::FreshnessAnswer& aAnswer);

} // namespace briarwind
