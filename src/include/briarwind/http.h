#pragma once

#include "briarwind/error.h"

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

/// Header fields in the order received; names compare without case.
class http_headers
{
public:
  /// The first field of that name.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// Replaces all fields of that name by one.
  void Set(std::string_view aName, std::string_view aValue);
  void Add(std::string_view aName, std::string_view aValue);
  void Erase(std::string_view aName);

  auto begin() const { return mFields.begin(); }
  auto end() const { return mFields.end(); }

private:
  std::vector<http_header> mFields;
};

struct http_request
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  http_headers mHeaders;
  std::string mBody;
};

/// Writes pieces of a chunked answer; each call is sent at once.
class http_chunk_writer
{
public:
  virtual ~http_chunk_writer() = default;
  /// False when the other side has gone.
  virtual bool Write(std::string_view aPiece) = 0;
};

struct http_response
{
  unsigned mStatus = 200;
  http_headers mHeaders;
  std::string mBody;
  /// When set, the body is what this call writes, chunked, until it returns.
  std::function<void(http_chunk_writer&)> mStream;
  /// Server only: cut the connection in place of answering (fault switches of the stand-ins).
  bool mDrop = false;
  /// Server only: send no more than this many bytes of the body, then cut the connection.
  std::optional<std::size_t> mTruncateAt;
  /// Server only: write the answer this many times (fault switch of the stand-ins).
  unsigned mCopies = 1;
};

/// A JSON answer with content type.
http_response JsonResponse(unsigned aStatus, std::string aBody);

/// `{"error":{"kind":…,"where":…,"what":…}}` with that status.
http_response ErrorResponse(unsigned aStatus, const error& aError);

/// The path of a target without its query.
std::string_view TargetPath(std::string_view aTarget);

/// One query parameter of a target, percent-decoded.
std::optional<std::string> QueryParameter(std::string_view aTarget, std::string_view aName);

} // namespace briarwind
