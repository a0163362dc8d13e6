#include "router.h"

#include "briarwind/host_poller.h"
#include "caller_request.h"
#include "request_broker.h"
#include "router_events.h"
#include "router_group.h"

#include "briarwind/http_server.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"
#include "briarwind/routing_core.h"
#include "briarwind/settings_node.h"
#include "briarwind/store_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kTickInterval{ 5 };
constexpr seconds kTrimInterval{ 1 };
constexpr milliseconds kLeaveTimeout{ 500 };

settings_node_options SettingsNodeOptions(const router_options& aOptions,
                                          const endpoint& aListening)
{
  settings_node_options options;
  options.mSelf.mKind = member_kind::kRouter;
  options.mSelf.mHttp = aListening;
  options.mSelf.mPeer = aOptions.mPeerListen;
  options.mSelf.mDomain = aOptions.mDomain;
  options.mPeers = aOptions.mPeers;
  options.mSeed = std::random_device()();
  return options;
}

/// Provides the settings and the list of members, read from the store and from other members. Both
/// parts are empty for a router without a store.
struct settings_source
{
  settings_source(fiber_runtime& aRuntime, metrics& aMetrics, const router_options& aOptions,
                  const endpoint& aListening)
  {
    if (!aOptions.mStores.empty()) {
      mStore.emplace(aRuntime, aOptions.mStores, aMetrics);
      mNode.emplace(aRuntime, *mStore, aMetrics, SettingsNodeOptions(aOptions, aListening));
    }
  }

  std::optional<etcd_store> mStore;
  std::optional<settings_node> mNode;
};

routing_options RoutingOptions(const router_options& aOptions, const endpoint& aSelf)
{
  routing_options options;
  options.mSelf = ToString(aSelf);
  options.mDomain = aOptions.mDomain;
  options.mRelease = aOptions.mReleaseTime;
  options.mQueueCapacity = static_cast<std::size_t>(aOptions.mMaxQueued);
  options.mSeed = std::random_device{}();
  return options;
}

broker_limits BrokerLimits(const router_options& aOptions)
{
  broker_limits limits;
  limits.mLinger = aOptions.mLinger;
  return limits;
}

http_response PlainTextResponse(unsigned aStatus, std::string aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
  response.mBody = std::move(aBody);
  return response;
}

http_response FindingsResponse(unsigned aStatus, const findings& aFindings)
{
  boost::json::array list;
  for (const finding& each : aFindings) {
    list.push_back(boost::json::object{
      { "place", each.mPlace }, { "value", each.mValue }, { "expected", each.mExpected } });
  }
  const boost::json::object body{
    { "error",
      { { "kind", "invalid" }, { "where", "headers" }, { "what", "the request is not valid" } } },
    { "findings", std::move(list) },
  };
  return JsonResponse(aStatus, boost::json::serialize(body));
}

http_response LocalResponse(const reason_traits& aTraits)
{
  const bool mayRetry = aTraits.mOutcome == outcome::kNotRun;
  return ErrorResponse(aTraits.mStatus,
                       { mayRetry ? error_kind::kUnavailable : error_kind::kUnknownOutcome,
                         "router", std::string(aTraits.mWireName) });
}

} // namespace

struct router::state
{
  state(fiber_runtime& aRuntime, router_options aOptions)
    : mRuntime(aRuntime)
    , mOptions(std::move(aOptions))
    , mServer(aRuntime, mOptions.mListen,
              [this](const http_request& aRequest) { return HandleRequest(aRequest); })
    , mSettingsSource(aRuntime, mMetrics, mOptions, mServer.Listening())
    , mSelf(mSettingsSource.mNode ? mSettingsSource.mNode->Self().mPeer : mOptions.mPeerListen)
    , mCore(RoutingOptions(mOptions, mSelf), MakeTwoChoice())
    , mGroup(aRuntime, mOptions, mSelf, mCore)
    , mBroker(aRuntime, mCore, mMetrics, BrokerLimits(mOptions))
    , mHosts(aRuntime, mOptions.mHostLists, mOptions.mHostPoll, mMetrics,
             [this](const host_list& aList) { OnHostList(aList); })
  {
    mServer.OnRefusal([this](http_server_refusal aRefusal) {
      mMetrics.Count(meters::kCallerRefusals, ToString(aRefusal));
    });
  }

  void Start()
  {
    if (mSettingsSource.mNode) {
      mSettingsSource.mNode->OnChange([this] { OnSettingsChange(); });
      mSettingsSource.mNode->Start();
    }
    mRuntime.Spawn([this] { mHosts.Run(); });
    mRuntime.Spawn([this] { RunTicks(); });
  }

  void OnSettingsChange()
  {
    mCore.SetSettings(*mSettingsSource.mNode->View(), monotonic_clock::now());
    mBroker.ExecuteActions();
    mBroker.TrimConnections();
  }

  void UpdateMembers(instant aNow)
  {
    if (!mSettingsSource.mNode) {
      return;
    }
    const freshness_check check = mSettingsSource.mNode->Check(aNow);
    if (check.IsFresh() && check.mSource == confirmation_source::kStore) {
      mGroup.OnMembers(mSettingsSource.mNode->Members(), aNow);
    }
  }

  void OnHostList(const host_list& aList)
  {
    mHasHostList = true;
    mCore.SetHosts(aList, monotonic_clock::now());
    mBroker.ExecuteActions();
    mBroker.TrimConnections();
  }

  bool IsReady() const { return !mStopping && mHasHostList && mGroup.IsReady(); }

  http_response HandleRequest(const http_request& aRequest)
  {
    using page_handler = http_response (state::*)();
    struct page
    {
      std::string_view mPath;
      page_handler mHandler;
    };
    static constexpr std::array kPages{
      page{ "/healthz", &state::HealthPage },  page{ "/readyz", &state::ReadinessPage },
      page{ "/metrics", &state::MetricsPage }, page{ "/v1/inforce", &state::InForcePage },
      page{ kLinkPath, &state::LinkPage },
    };
    const std::string_view path = TargetPath(aRequest.mTarget);
    const auto* ownPage = std::ranges::find(kPages, path, &page::mPath);
    return ownPage == kPages.end() ? HandleCallerRequest(aRequest) : (this->*ownPage->mHandler)();
  }

  http_response HealthPage() { return PlainTextResponse(200, "ok\n"); }

  http_response ReadinessPage()
  {
    if (IsReady()) {
      return PlainTextResponse(200, "ready\n");
    }
    return PlainTextResponse(503, mStopping      ? "stopping\n"
                                  : mHasHostList ? "no share yet\n"
                                                 : "no hosts\n");
  }

  http_response InForcePage()
  {
    return mSettingsSource.mNode ? mSettingsSource.mNode->InForce()
                                 : JsonResponse(200, R"({"member":"","revision":0})");
  }

  http_response LinkPage() { return PlainTextResponse(200, std::to_string(mGroup.LinkPort())); }

  http_response MetricsPage()
  {
    mMetrics.Set(meters::kQueued, static_cast<double>(mCore.Queued()));
    mMetrics.Set(meters::kRunning, static_cast<double>(mCore.Running()));
    mMetrics.Set(meters::kInstances, static_cast<double>(mCore.LiveInstances()));
    mMetrics.Set(meters::kMembers, static_cast<double>(mCore.Shares().Members()));
    mMetrics.Set(meters::kConnections, static_cast<double>(mServer.Connections()));
    return PlainTextResponse(200, mMetrics.Render());
  }

  http_response HandleCallerRequest(const http_request& aRequest)
  {
    const instant startedAt = monotonic_clock::now();
    findings headerFindings;
    const caller_request caller = ReadCallerRequest(aRequest, mCore.Settings(), headerFindings);
    if (!headerFindings.empty()) {
      return FinishResponse(FindingsResponse(TraitsOf(reason::kBadHeader).mStatus, headerFindings),
                            reason::kBadHeader, caller, startedAt);
    }
    routed_answer answer = caller.mIdempotencyKey.empty()
                             ? mBroker.Route(caller, aRequest, startedAt + caller.mTimeout)
                             : RouteWithKey(caller, aRequest, startedAt + caller.mTimeout);
    const reason_traits& traits = TraitsOf(answer.mReason);
    http_response response =
      answer.mResponse ? std::move(*answer.mResponse) : LocalResponse(traits);
    return FinishResponse(std::move(response), answer.mReason, caller, startedAt);
  }

  // Routes a request with an idempotency key. The key is claimed before anything is sent to an
  // instance, and withdrawn when the request did not run, so that the caller may repeat it.
  routed_answer RouteWithKey(const caller_request& aCaller, const http_request& aRequest,
                             instant aDeadline)
  {
    const key_digest key = DigestKey(aCaller.mOrganisation, aCaller.mIdempotencyKey);
    const claim_owner claimOwner = mGroup.MakeClaimOwner();
    if (const auto refused = mGroup.Claimer().Claim(key, claimOwner, aDeadline)) {
      return { *refused, std::nullopt };
    }
    routed_answer answer = mBroker.Route(aCaller, aRequest, aDeadline);
    if (TraitsOf(answer.mReason).mOutcome == outcome::kNotRun) {
      mGroup.Claimer().Withdraw(key, claimOwner);
    }
    return answer;
  }

  http_response FinishResponse(http_response aResponse, reason aReason,
                               const caller_request& aCaller, instant aStartedAt)
  {
    const reason_traits& traits = TraitsOf(aReason);
    const std::string_view outcomeName = ToString(traits.mOutcome);
    EraseConnectionHeaders(aResponse.mHeaders);
    aResponse.mHeaders.Set(kRequestIdHeader, aCaller.mRequestId);
    aResponse.mHeaders.Set(kOutcomeHeader, outcomeName);
    aResponse.mHeaders.Set(kReasonHeader, traits.mWireName);
    mMetrics.Count(meters::kRequests, traits.mWireName);
    mMetrics.Count(meters::kOutcomes, outcomeName);
    mMetrics.Observe(meters::kRequestTime, monotonic_clock::now() - aStartedAt, outcomeName);
    return aResponse;
  }

  void RunTicks()
  {
    instant trimAt = monotonic_clock::now() + kTrimInterval;
    while (true) {
      SleepFor(kTickInterval);
      mBroker.Tick();
      UpdateMembers(monotonic_clock::now());
      mGroup.Step(monotonic_clock::now());
      if (monotonic_clock::now() >= trimAt) {
        mBroker.TrimConnections();
        trimAt += kTrimInterval;
      }
    }
  }

  int Stop()
  {
    mStopping = true;
    LogEvent(events::kRouterStopping, { Field("lagMs", mOptions.mBalancerLag.count()) });
    SleepFor(mOptions.mBalancerLag);
    LogEvent(events::kRouterDraining, { Field("inFlight", mServer.InFlight()) });
    if (!mServer.Drain(monotonic_clock::now() + mOptions.mDrainTime)) {
      LogEvent(events::kRouterCutRequests, { Field("inFlight", mServer.InFlight()) });
      return 1;
    }
    if (mSettingsSource.mNode) {
      mSettingsSource.mNode->Leave(monotonic_clock::now() + kLeaveTimeout);
    }
    LogEvent(events::kRouterStopped);
    return 0;
  }

  fiber_runtime& mRuntime;
  router_options mOptions;
  metrics mMetrics;
  bool mHasHostList = false;
  bool mStopping = false;
  // The server's handler uses the members below. No fiber runs while they are constructed, so no
  // request is handled before they exist.
  http_server mServer;
  settings_source mSettingsSource;
  endpoint mSelf; // peer address that identifies this router in the list of members
  routing_core mCore;
  router_group mGroup;
  request_broker mBroker;
  host_poller mHosts;
};

router::router(fiber_runtime& aRuntime, router_options aOptions)
  : mState(std::make_unique<state>(aRuntime, std::move(aOptions)))
{
}

router::~router() = default;

int router::Run()
{
  mState->Start();
  LogEvent(events::kRouterStarted,
           { Field("listen", ToString(mState->mServer.Listening())),
             Field("name", mState->mOptions.mName), Field("domain", mState->mOptions.mDomain) });
  static constexpr std::array kSignals{ SIGTERM, SIGINT };
  mState->mRuntime.WaitForSignal(kSignals);
  return mState->Stop();
}

} // namespace briarwind
