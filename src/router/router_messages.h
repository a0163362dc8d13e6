#pragma once

#include "router_link.h"

#include "briarwind/error.h"

#include <string>
#include <string_view>
#include <variant>

namespace briarwind {

using router_message = std::variant<router_report, claim_request>;

std::string Encode(const router_report& aReport);
std::string Encode(const claim_request& aRequest);
std::string Encode(claim_verdict aVerdict);

/// Fails with kProtocol.
result<router_message> DecodeMessage(std::string_view aText);
result<claim_verdict> DecodeVerdict(std::string_view aText);

} // namespace briarwind
