#include "briarwind/route_table.h"
#include "briarwind/testing.h"

using namespace briarwind;

namespace {

http_request Request(const char* aMethod, const char* aTarget, const char* aBody = "")
{
  http_request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  return request;
}

} // namespace

BW_STORY("a route table")
{
  route_table routes;
  routes.Add("GET", "/gates",
             [](const http_request&, const path_captures&) { return JsonResponse(200, "[]"); });
  routes.AddJson(
    "POST", "/gates/*/open", [](const boost::json::object& aBody, const path_captures& aCaptures) {
      return JsonResponse(200, std::string(aCaptures.front()) + std::to_string(aBody.size()));
    });
  BW_SECTION("dispatches by method and path and ignores the query")
  {
    BW_EQUAL(std::string("[]"), routes.Answer(Request("GET", "/gates?x=1")).mBody);
  }
  BW_SECTION("passes the captured segments and the JSON body to the handler")
  {
    BW_EQUAL(std::string("north1"),
             routes.Answer(Request("POST", "/gates/north/open", R"({"a":1})")).mBody);
    BW_EQUAL(std::string("north0"), routes.Answer(Request("POST", "/gates/north/open")).mBody);
  }
  BW_SECTION("rejects malformed JSON, unknown paths and unknown methods")
  {
    BW_EQUAL(400U, routes.Answer(Request("POST", "/gates/north/open", "{")).mStatus);
    BW_EQUAL(404U, routes.Answer(Request("GET", "/gate")).mStatus);
    BW_EQUAL(404U, routes.Answer(Request("POST", "/gates//open")).mStatus);
    BW_EQUAL(405U, routes.Answer(Request("DELETE", "/gates")).mStatus);
  }
}
