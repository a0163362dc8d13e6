#pragma once

#include "briarwind/error.h"
#include "briarwind/http.h"

#include <boost/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The path segments that stood at the stars of a pattern.
using path_captures = std::vector<std::string_view>;

/// Picks a handler by method and path. Unknown paths are answered with 404, known paths with
/// another method with 405.
class route_table
{
public:
  using handler = std::function<http_response(const http_request&, const path_captures&)>;
  /// Gets the body as a JSON object, an empty one for an empty body.
  using json_handler =
    std::function<http_response(const boost::json::object&, const path_captures&)>;

  /// @param aPattern a path whose segments may be `*`, such as `/v1/leases/*/start`
  void Add(std::string_view aMethod, std::string_view aPattern, handler aHandler);
  /// A body that is no JSON object is answered with 400.
  void AddJson(std::string_view aMethod, std::string_view aPattern, json_handler aHandler);

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
