#pragma once

#include "briarwind/error.h"
#include "briarwind/http.h"

#include <boost/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The path segments that matched the wildcards of a pattern, in order.
using path_captures = std::vector<std::string_view>;

/// Dispatches requests to handlers by method and path. The first route that matches is used.
/// Unknown paths are answered with 404, known paths with an unknown method with 405.
class route_table
{
public:
  using handler = std::function<http_response(const http_request&, const path_captures&)>;
  /// A handler that receives the request body as a JSON object; an empty body is an empty object.
  using json_handler =
    std::function<http_response(const boost::json::object&, const path_captures&)>;

  /// Adds a route.
  /// @param aPattern a path in which a segment `*` matches any non-empty segment, such as
  ///   `/v1/leases/*/start`
  void Add(std::string_view aMethod, std::string_view aPattern, handler aHandler);
  /// Adds a route whose requests carry JSON. A body that is no JSON object is answered with 400.
  void AddJson(std::string_view aMethod, std::string_view aPattern, json_handler aHandler);

  /// Returns the response of the matching handler, or an error response.
  http_response Answer(const http_request& aRequest) const;

private:
  struct route
  {
    std::string mMethod;
    std::string mPattern;
    handler mHandler;
  };

  std::vector<route> mRoutes;
};

} // namespace briarwind
