#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace briarwind {

inline boost::asio::ip::tcp::endpoint ToAsio(const endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort };
}

// Copies all header fields.
inline http_headers FromBeast(const boost::beast::http::fields& aFields)
{
  http_headers headers;
  for (const auto& each : aFields) {
    headers.Add(std::string_view(each.name_string().data(), each.name_string().size()),
                std::string_view(each.value().data(), each.value().size()));
  }
  return headers;
}

// Copies the header fields but for those that describe the connection or the framing of the body,
// which Beast sets itself.
inline void ToBeast(const http_headers& aHeaders, boost::beast::http::fields& aFields)
{
  using boost::beast::http::field;
  for (const http_header& each : aHeaders) {
    const field known = boost::beast::http::string_to_field(each.mName);
    const bool ofConnection = known == field::connection || known == field::content_length ||
                              known == field::transfer_encoding || known == field::keep_alive;
    if (!ofConnection) {
      aFields.insert(each.mName, each.mValue);
    }
  }
}

} // namespace briarwind
