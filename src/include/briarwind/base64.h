#pragma once

#include "briarwind/error.h"

#include <string>
#include <string_view>

namespace briarwind {

/// Encodes bytes as base64 with padding, the encoding of keys and values in the store's JSON API.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes padded base64. Fails with kProtocol when the text is not valid base64.
result<std::string> DecodeBase64(std::string_view aText);

} // namespace briarwind
