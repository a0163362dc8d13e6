#include "briarwind/catalogue.h"
#include "briarwind/json_fields.h"
#include "briarwind/options.h"
#include "briarwind/route_table.h"
#include "briarwind/serve.h"
#include "standins/hostlist/hostlist_state.h"

using namespace briarwind;

namespace {

constexpr milliseconds kDrainTime{ 2'000 };

http_response Reply(const boost::json::object& aBody)
{
  return JsonResponse(200, boost::json::serialize(aBody));
}

// Serves the host list over HTTP. POST /test/hosts replaces the list and POST /test/faults
// injects faults.
class hostlist_service
{
public:
  hostlist_service()
  {
    mRoutes.Add("GET", "/v1/hosts", [this](const http_request&, const path_captures&) {
      http_response response = Reply(mHosts.VisibleList(monotonic_clock::now()));
      response.mDrop = mDown;
      return response;
    });
    mRoutes.Add("GET", "/healthz",
                [](const http_request&, const path_captures&) { return http_response{}; });
    mRoutes.AddJson("POST", "/test/hosts",
                    [this](const boost::json::object& aBody, const path_captures&) {
                      mHosts.ReplaceHosts(ArrayField(aBody, "hosts"), monotonic_clock::now());
                      return Reply({});
                    });
    mRoutes.AddJson(
      "POST", "/test/faults", [this](const boost::json::object& aBody, const path_captures&) {
        mHosts.SetLag(milliseconds(NumberField(aBody, "lagMs", mHosts.Lag().count())));
        mDown = BooleanField(aBody, "down", mDown);
        return Reply({ { "lagMs", mHosts.Lag().count() }, { "down", mDown } });
      });
  }

  http_response Answer(const http_request& aRequest) const { return mRoutes.Answer(aRequest); }

private:
  hostlist_state mHosts;
  bool mDown = false;
  route_table mRoutes;
};

} // namespace

int main(int aCount, char** aArguments)
{
  endpoint listen{ "127.0.0.1", 0 };
  option_set options("standin-hostlist", "Stand-in for the platform's host list, for tests.");
  options.Add("listen", listen, "address to listen on; port 0 picks a free port");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);

  fiber_runtime runtime;
  const hostlist_service service;
  http_server server(runtime, listen,
                     [&](const http_request& aRequest) { return service.Answer(aRequest); });
  ServeUntilSignal(runtime, server, kDrainTime);
}
