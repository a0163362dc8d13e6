#pragma once

#include "router_link.h"

#include "briarwind/error.h"

#include <string>
#include <string_view>
#include <variant>

namespace briarwind {

/// A message that one router sends to another.
using router_message = std::variant<router_report, claim_request>;

/// Encodes a message, or the answer to a claim, for the link between routers.
std::string Encode(const router_report& aReport);
std::string Encode(const claim_request& aRequest);
std::string Encode(claim_verdict aVerdict);

/// Both fail with error_kind::kProtocol when the text is malformed.
result<router_message> DecodeMessage(std::string_view aText);
result<claim_verdict> DecodeVerdict(std::string_view aText);

} // namespace briarwind
