#include "briarwind/http.h"
#include "briarwind/testing.h"

using namespace briarwind;

BW_STORY("header fields")
{
  http_headers headers;
  headers.Add("Content-Type", "text/plain");
  headers.Add("X", "1");
  headers.Add("x", "2");
  BW_SECTION("are found case-insensitively")
  {
    BW_CHECK(headers.Find("content-TYPE") == "text/plain");
  }
  BW_SECTION("with the same name are replaced and erased together")
  {
    headers.Set("X", "3");
    BW_CHECK(headers.Find("x") == "3");
    headers.Erase("x");
    BW_CHECK(!headers.Find("X").has_value());
  }
}

BW_STORY("a request target is split into its path and its decoded query parameters")
{
  const std::string_view target = "/v1/jobs?wait=1&name=a%20b+c%";
  BW_CHECK(TargetPath(target) == "/v1/jobs");
  BW_CHECK(QueryParameter(target, "wait") == "1");
  BW_CHECK(QueryParameter(target, "name") == "a b c%");
  BW_CHECK(!QueryParameter(target, "other").has_value());
  BW_CHECK(!QueryParameter("/plain", "wait").has_value());
}
