#pragma once

#include "briarwind/error.h"
#include "briarwind/time.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

struct http_header
{
  std::string mName;
  std::string mValue;
};

/// Header fields in the order of arrival or insertion. Names compare case-insensitively.
class http_headers
{
public:
  /// The value of the first field with the name, valid until the headers change; nullopt when there
  /// is none.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// Replaces all fields with the name by a single one.
  void Set(std::string_view aName, std::string_view aValue);
  void Add(std::string_view aName, std::string_view aValue);
  void Erase(std::string_view aName);

  auto begin() const { return mFields.begin(); }
  auto end() const { return mFields.end(); }

private:
  std::vector<http_header> mFields;
};

/// An HTTP/1.1 request. The target is the path with its query.
struct http_request
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  http_headers mHeaders;
  std::string mBody;
  /// Server only: time from when the request may have arrived until its handler is called.
  milliseconds mWaited{ 0 };
};

/// Writes the body of a response with chunked transfer encoding; each piece is sent at once.
class http_chunk_writer
{
public:
  virtual ~http_chunk_writer() = default;
  /// Returns false when the piece could not be sent, such as when the client has closed the
  /// connection.
  virtual bool Write(std::string_view aPiece) = 0;
};

/// An HTTP/1.1 response.
struct http_response
{
  unsigned mStatus = 200;
  http_headers mHeaders;
  std::string mBody;
  /// When set, the server calls this function to write the body with chunked transfer encoding and
  /// ignores mBody.
  std::function<void(http_chunk_writer&)> mStream;
  /// Fault injection, server only: close the connection without a response.
  bool mDrop = false;
  /// Fault injection, server only: send at most this many bytes of the body, then close the
  /// connection.
  std::optional<std::size_t> mTruncateAt;
  /// Fault injection, server only: send the response this many times.
  unsigned mCopies = 1;
};

/// A response with the given JSON text as body and the content type `application/json`.
http_response JsonResponse(unsigned aStatus, std::string aBody);

/// A JSON response that describes an error: `{"error":{"kind":…,"where":…,"what":…}}`.
http_response ErrorResponse(unsigned aStatus, const error& aError);

/// The path of a request target, without the query.
std::string_view TargetPath(std::string_view aTarget);

/// The percent-decoded value of the first query parameter with the name; empty when the parameter
/// has no value, nullopt when it does not occur.
std::optional<std::string> QueryParameter(std::string_view aTarget, std::string_view aName);

} // namespace briarwind
