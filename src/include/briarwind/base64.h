#pragma once

#include "briarwind/error.h"

#include <string>
#include <string_view>

namespace briarwind {

/// Base64 with padding, as the store's JSON form carries keys and values.
std::string EncodeBase64(std::string_view aBytes);

/// Fails with kProtocol when the text is no base64.
result<std::string> DecodeBase64(std::string_view aText);

} // namespace briarwind
