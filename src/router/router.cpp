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

constexpr milliseconds kTickEvery{ 5 };
constexpr seconds kTrimEvery{ 1 };
constexpr milliseconds kLeaveTime{ 500 };

settings_node_options NodeOptions(const router_options& aOptions, const endpoint& aListening)
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

/// The settings from the store and the other members; empty for a router without a store.
struct store_side
{
  store_side(fiber_runtime& aRuntime, metrics& aMetrics, const router_options& aOptions,
             const endpoint& aListening)
  {
    if (!aOptions.mStores.empty()) {
      mStore.emplace(aRuntime, aOptions.mStores, aMetrics);
      mNode.emplace(aRuntime, *mStore, aMetrics, NodeOptions(aOptions, aListening));
    }
  }

  std::optional<etcd_store> mStore;
  std::optional<settings_node> mNode;
};

routing_options CoreOptions(const router_options& aOptions, const endpoint& aSelf)
{
  routing_options options;
  options.mSelf = ToString(aSelf);
  options.mDomain = aOptions.mDomain;
  options.mRelease = aOptions.mReleaseTime;
  options.mQueued = static_cast<std::size_t>(aOptions.mQueue);
  options.mSeed = std::random_device{}();
  return options;
}

broker_limits BrokerLimits(const router_options& aOptions)
{
  broker_limits limits;
  limits.mLinger = aOptions.mLinger;
  return limits;
}

http_response Text(unsigned aStatus, std::string aBody)
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

http_response OwnResponse(const reason_traits& aTraits)
{
  const bool mayRetry = aTraits.mOutcome == outcome::kNotRun;
  return ErrorResponse(aTraits.mStatus,
                       { mayRetry ? error_kind::kUnavailable : error_kind::kUnknownOutcome,
                         "router", std::string(aTraits.mWord) });
}

} // namespace

struct router::state
{
  state(fiber_runtime& aRuntime, router_options aOptions)
    : mRuntime(aRuntime)
    , mOptions(std::move(aOptions))
    , mServer(aRuntime, mOptions.mListen,
              [this](const http_request& aRequest) { return Answer(aRequest); })
    , mStoreSide(aRuntime, mMetrics, mOptions, mServer.Listening())
    , mSelf(mStoreSide.mNode ? mStoreSide.mNode->Self().mPeer : mOptions.mPeerListen)
    , mCore(CoreOptions(mOptions, mSelf), MakeTwoChoice())
    , mGroup(aRuntime, mOptions, mSelf, mCore)
    , mBroker(aRuntime, mCore, mMetrics, BrokerLimits(mOptions))
    , mHosts(aRuntime, mOptions.mHostLists, mOptions.mHostPoll, mMetrics,
             [this](const host_list& aList) { TakeHosts(aList); })
  {
    mServer.OnRefusal([this](http_server_refusal aRefusal) {
      mMetrics.Count(meters::kCallerRefusals, ToString(aRefusal));
    });
  }

  void Start()
  {
    if (mStoreSide.mNode) {
      mStoreSide.mNode->OnChange([this] { TakeSettings(); });
      mStoreSide.mNode->Start();
    }
    mRuntime.Spawn([this] { mHosts.Run(); });
    mRuntime.Spawn([this] { TickForever(); });
  }

  void TakeSettings()
  {
    mCore.SetSettings(*mStoreSide.mNode->View(), monotonic_clock::now());
    mBroker.Pump();
    mBroker.TrimConnections();
  }

  void TakeMembers(instant aNow)
  {
    if (!mStoreSide.mNode) {
      return;
    }
    const freshness_check check = mStoreSide.mNode->Check(aNow);
    if (check.IsFresh() && check.mSource == confirmation_source::kStore) {
      mGroup.OnMembers(mStoreSide.mNode->Members(), aNow);
    }
  }

  void TakeHosts(const host_list& aList)
  {
    mHasHosts = true;
    mCore.SetHosts(aList, monotonic_clock::now());
    mBroker.Pump();
    mBroker.TrimConnections();
  }

  bool IsReady() const { return !mStopping && mHasHosts && mGroup.IsReady(); }

  http_response Answer(const http_request& aRequest)
  {
    using own_page = http_response (state::*)();
    struct page
    {
      std::string_view mPath;
      own_page mAnswer;
    };
    static constexpr std::array kPages{
      page{ "/healthz", &state::Health },      page{ "/readyz", &state::Readiness },
      page{ "/metrics", &state::MetricsPage }, page{ "/v1/inforce", &state::InForce },
      page{ kLinkPage, &state::Link },
    };
    const std::string_view path = TargetPath(aRequest.mTarget);
    const auto* own = std::ranges::find(kPages, path, &page::mPath);
    return own == kPages.end() ? AnswerCaller(aRequest) : (this->*own->mAnswer)();
  }

  http_response Health() { return Text(200, "ok\n"); }

  http_response Readiness()
  {
    if (IsReady()) {
      return Text(200, "ready\n");
    }
    return Text(503, mStopping ? "stopping\n" : mHasHosts ? "no share yet\n" : "no hosts\n");
  }

  http_response InForce()
  {
    return mStoreSide.mNode ? mStoreSide.mNode->InForce()
                            : JsonResponse(200, R"({"member":"","revision":0})");
  }

  http_response Link() { return Text(200, std::to_string(mGroup.LinkPort())); }

  http_response MetricsPage()
  {
    mMetrics.Set(meters::kQueued, static_cast<double>(mCore.Queued()));
    mMetrics.Set(meters::kRunning, static_cast<double>(mCore.Running()));
    mMetrics.Set(meters::kInstances, static_cast<double>(mCore.LiveInstances()));
    mMetrics.Set(meters::kMembers, static_cast<double>(mCore.Shares().Members()));
    mMetrics.Set(meters::kConnections, static_cast<double>(mServer.Connections()));
    return Text(200, mMetrics.Render());
  }

  http_response AnswerCaller(const http_request& aRequest)
  {
    const instant begun = monotonic_clock::now();
    findings wrong;
    const caller_request caller = ReadCallerRequest(aRequest, mCore.Settings(), wrong);
    if (!wrong.empty()) {
      return Finish(FindingsResponse(TraitsOf(reason::kBadHeader).mStatus, wrong),
                    reason::kBadHeader, caller, begun);
    }
    routed_answer answer = caller.mKey.empty()
                             ? mBroker.Route(caller, aRequest, begun + caller.mWait)
                             : RouteOnce(caller, aRequest, begun + caller.mWait);
    const reason_traits& traits = TraitsOf(answer.mReason);
    http_response response = answer.mResponse ? std::move(*answer.mResponse) : OwnResponse(traits);
    return Finish(std::move(response), answer.mReason, caller, begun);
  }

  /// Routes a request with an idempotency key: the key is claimed before anything is sent.
  routed_answer RouteOnce(const caller_request& aCaller, const http_request& aRequest,
                          instant aDeadline)
  {
    const key_digest key = DigestKey(aCaller.mOrganisation, aCaller.mKey);
    const claim_owner owner = mGroup.NewOwner();
    if (const auto refused = mGroup.Claims().Claim(key, owner, aDeadline)) {
      return { *refused, std::nullopt };
    }
    routed_answer answer = mBroker.Route(aCaller, aRequest, aDeadline);
    if (TraitsOf(answer.mReason).mOutcome == outcome::kNotRun) {
      mGroup.Claims().Withdraw(key, owner);
    }
    return answer;
  }

  http_response Finish(http_response aResponse, reason aReason, const caller_request& aCaller,
                       instant aBegun)
  {
    const reason_traits& traits = TraitsOf(aReason);
    const std::string_view result = ToString(traits.mOutcome);
    EraseConnectionHeaders(aResponse.mHeaders);
    aResponse.mHeaders.Set(kRequestIdHeader, aCaller.mRequestId);
    aResponse.mHeaders.Set(kOutcomeHeader, result);
    aResponse.mHeaders.Set(kReasonHeader, traits.mWord);
    mMetrics.Count(meters::kRequests, traits.mWord);
    mMetrics.Count(meters::kOutcomes, result);
    mMetrics.Observe(meters::kRequestTime, monotonic_clock::now() - aBegun, result);
    return aResponse;
  }

  void TickForever()
  {
    instant trimAt = monotonic_clock::now() + kTrimEvery;
    while (true) {
      SleepFor(kTickEvery);
      mBroker.Tick();
      TakeMembers(monotonic_clock::now());
      mGroup.Step(monotonic_clock::now());
      if (monotonic_clock::now() >= trimAt) {
        mBroker.TrimConnections();
        trimAt += kTrimEvery;
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
    if (mStoreSide.mNode) {
      mStoreSide.mNode->Leave(monotonic_clock::now() + kLeaveTime);
    }
    LogEvent(events::kRouterStopped);
    return 0;
  }

  fiber_runtime& mRuntime;
  router_options mOptions;
  metrics mMetrics;
  bool mHasHosts = false;
  bool mStopping = false;
  http_server mServer; // answers nothing before the members below are there: no fiber runs yet
  store_side mStoreSide;
  endpoint mSelf; // this router among the members
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
