#include "briarwind/control_node.h"

#include "caller_service.h"
#include "control_events.h"
#include "relayed_store.h"
#include "work_driver.h"

#include "briarwind/http_server.h"
#include "briarwind/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <ranges>

namespace briarwind {

namespace json = boost::json;

namespace {

// The balancer asks once a second and needs two refusals; the rest is for the way.
constexpr milliseconds kOutOfRotation{ 2'600 };
// What is left of the grace time once callers were answered is kept for the exit.
constexpr milliseconds kExitMargin{ 700 };
// The settings file may change without a signal; nothing in it has to be in force sooner.
constexpr milliseconds kReloadEvery{ 2'000 };
constexpr milliseconds kOrdersDeadline{ 700 };
constexpr milliseconds kOrdersPoll{ 10 };
constexpr std::string_view kStorePath = "/v1/store/";
constexpr std::string_view kWaitingPath = "/v1/waiting";
constexpr std::string_view kStatePath = "/v1/state";
constexpr std::string_view kStoredPath = "/v1/stored";
// The leader's watch has found it by then.
constexpr milliseconds kNotifyDeadline{ 1'000 };

http_response Plain(unsigned aStatus, std::string aText)
{
  http_response response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain");
  response.mBody = std::move(aText);
  return response;
}

} // namespace

struct control_node::state
{
  state(fiber_runtime& aRuntime, metrics& aMetrics, const node_settings& aSettings,
        const control_adapters& aAdapters)
    : mRuntime(aRuntime)
    , mMetrics(aMetrics)
    , mSettings(aSettings)
    , mAdapters(aAdapters)
    , mStore(aRuntime, *aAdapters.mStore, aMetrics, [this] { return PeerAddresses(); })
    , mRegistry(aAdapters.mMakeRegistry(mStore))
    , mView(aRuntime, mStore, aMetrics, *aAdapters.mOperators)
    , mIntake(mStore, aMetrics, [this](const stored_value& aValue) { NotifyLeader(aValue); })
    , mCallerService(mIntake, mView, aMetrics,
                     { [this](const std::string& aQueue, instant aDeadline) {
                        return CountWaiting(aQueue, aDeadline);
                      },
                       [this](const std::string& aJob, instant aDeadline) {
                         return StateAtLeader(aJob, aDeadline);
                       } })
    , mDriver(aRuntime, mStore, { aAdapters.mWorkers, aAdapters.mAdvisor, mRegistry.get() },
              aMetrics, aSettings.mWork)
    , mLead(aRuntime, mStore, aMetrics, aSettings.mName, ToString(aSettings.mPeers),
            aSettings.mProcessorShare,
            { [this](std::int64_t /*aEpoch*/) { Gained(); }, [this] { mDriver.StepDown(); },
              [this](std::int64_t aEpoch) { mDriver.GoOnUnder(aEpoch); } })
    , mPeerPool(aRuntime)
    , mPeers(aRuntime, aSettings.mPeers,
             [this](const http_request& aRequest) { return AnswerPeer(aRequest); })
    , mReadiness(aRuntime, aSettings.mReadiness,
                 [this](const http_request&) { return Plain(IsReady() ? 200 : 503, {}); })
    , mCallers(aRuntime, aSettings.mCallers, [this](const http_request& aRequest) {
      return mAdapters.mAnswerCaller(mCallerService, aRequest);
    })
  {
    CountRefusals(mCallers, "callers");
    CountRefusals(mReadiness, "readiness");
    CountRefusals(mPeers, "peers");
    mView.OnChange([this] {
      mDriver.SetSettings(mView.ForWork());
      NoteReadiness();
    });
  }

  void Start()
  {
    LogEvent(kNodeStarted, { Field("name", mSettings.mName), Field("domain", mSettings.mDomain),
                             Field("callers", ToString(mSettings.mCallers)),
                             Field("peers", ToString(mSettings.mPeers)),
                             Field("store", ToString(mSettings.mStore)) });
    mView.Start();
    mLead.Start();
    mRuntime.Spawn([this] { FollowSettingsFile(); });
  }

  void CountRefusals(http_server& aServer, std::string_view aName)
  {
    aServer.OnRefusal([this, aName](http_server_refusal aRefusal) {
      mMetrics.Count(kHttpRefusals, ToString(aRefusal));
      if (aRefusal == http_server_refusal::kHandlerFailed) {
        LogEvent(kRequestFailed, { Field("server", aName) });
      }
    });
  }

  void FollowSettingsFile()
  {
    while (true) {
      SleepFor(kReloadEvery);
      mAdapters.mReload();
      if (const auto dropped = TakeDroppedLines(); dropped > 0) {
        LogEvent(kLogLinesDropped, { Field("lines", dropped) });
      }
    }
  }

  bool IsReady() const { return !mStopping && mView.Settings().mVersion > 0; }

  void NoteReadiness()
  {
    if (std::exchange(mWasReady, IsReady()) != IsReady()) {
      LogEvent(kNodeReady, { Field("ready", IsReady()), Field("stopping", mStopping),
                             Field("settings", mView.Settings().mVersion) });
    }
  }

  void Gained()
  {
    mRuntime.Spawn([this] { mDriver.RunTerm(mLead, [this] { mLead.LoseLead(); }); });
  }

  std::vector<std::string> PeerAddresses() const
  {
    std::vector<std::string> others;
    const std::string own = ToString(mSettings.mPeers);
    std::ranges::copy_if(mLead.Peers() | std::views::values, std::back_inserter(others),
                         [&](const std::string& aAddress) { return aAddress != own; });
    // Each host begins with another peer, so that one peer does not carry for all.
    const std::size_t first =
      others.empty() ? 0 : std::hash<std::string>{}(mSettings.mName) % others.size();
    std::ranges::rotate(others, others.begin() + static_cast<std::ptrdiff_t>(first));
    return others;
  }

  std::optional<int> CountWaiting(const std::string& aQueue, instant aDeadline)
  {
    if (mDriver.IsActing()) {
      return mDriver.CountWaiting(aQueue);
    }
    const auto answer = AskLeader(kWaitingPath, aQueue, aDeadline);
    return answer ? std::optional(static_cast<int>(NumberField(*answer, "waiting"))) : std::nullopt;
  }

  std::optional<leader_state> StateAtLeader(const std::string& aJob, instant aDeadline)
  {
    if (mDriver.IsActing()) {
      const auto stored = mDriver.StoredState(aJob);
      return stored ? std::optional(leader_state{ *stored, mLead.SinceConfirmed() }) : std::nullopt;
    }
    const auto answer = AskLeader(kStatePath, aJob, aDeadline);
    const auto told = answer ? ParseWorkState(TextField(*answer, "state")) : std::nullopt;
    return told ? std::optional(leader_state{ *told, milliseconds(NumberField(*answer, "age_ms")) })
                : std::nullopt;
  }

  http_response AnswerState(const std::string& aJob)
  {
    const auto known = mDriver.IsActing() ? StateAtLeader(aJob, {}) : std::nullopt;
    return known
             ? JsonResponse(200, json::serialize(json::object{ { "state", ToString(known->mState) },
                                                               { "age_ms", known->mAge.count() } }))
             : Plain(503, "not leading, or no such job");
  }

  std::optional<json::object> AskLeader(std::string_view aPath, const std::string& aBody,
                                        instant aDeadline)
  {
    const auto leader = Settle([&] { return ParseEndpoint(mLead.LeaderAddress()); });
    if (!leader || leader.value() == mSettings.mPeers) {
      return std::nullopt;
    }
    http_request request;
    request.mMethod = "POST";
    request.mTarget = std::string(aPath);
    request.mBody = aBody;
    const auto answer = mPeerPool.Call(leader.value(), request, aDeadline);
    const bool answered = answer && answer.value().mStatus == 200;
    mMetrics.Count(kPeerCalls, answered ? "answered" : "failed");
    if (!answered) {
      return std::nullopt;
    }
    auto object = Settle([&] { return ParseJsonObject(answer.value().mBody); });
    return object ? std::optional(std::move(object).value()) : std::nullopt;
  }

  // Best effort: the leader's own watch finds whatever does not arrive.
  void NotifyLeader(const stored_value& aValue)
  {
    if (mDriver.IsActing()) {
      mDriver.NotifyStored(aValue);
      return;
    }
    const auto leader = Settle([&] { return ParseEndpoint(mLead.LeaderAddress()); });
    if (!leader || leader.value() == mSettings.mPeers) {
      return;
    }
    mRuntime.Spawn([this, peer = leader.value(), aValue] {
      http_request request;
      request.mMethod = "POST";
      request.mTarget = std::string(kStoredPath);
      request.mBody =
        json::serialize(json::object{ { "key", aValue.mKey }, { "value", aValue.mValue } });
      const auto answer = mPeerPool.Call(peer, request, monotonic_clock::now() + kNotifyDeadline);
      mMetrics.Count(kPeerCalls, answer ? "notified" : ToString(answer.error().mKind));
    });
  }

  http_response AnswerNotification(const std::string& aBody)
  {
    const auto body = Settle([&] { return ParseJsonObject(aBody); });
    if (!body) {
      return Plain(400, "not an object");
    }
    stored_value told;
    told.mKey = TextField(body.value(), "key");
    told.mValue = TextField(body.value(), "value");
    mDriver.NotifyStored(told);
    return Plain(200, {});
  }

  http_response AnswerPeer(const http_request& aRequest)
  {
    const std::string_view path = TargetPath(aRequest.mTarget);
    if (path.starts_with(kStorePath)) {
      return mStore.Serve(path.substr(kStorePath.size()), aRequest.mBody);
    }
    if (path == kWaitingPath) {
      return mDriver.IsActing()
               ? JsonResponse(200, json::serialize(json::object{
                                     { "waiting", mDriver.CountWaiting(aRequest.mBody) } }))
               : Plain(503, "not leading");
    }
    if (path == kStatePath) {
      return AnswerState(aRequest.mBody);
    }
    if (path == kStoredPath) {
      return AnswerNotification(aRequest.mBody);
    }
    if (path == "/metrics") {
      return Plain(200, mMetrics.Render());
    }
    return Plain(404, "no such path");
  }

  // The lead is given away first: the next leader has the more of the grace time to take over in.
  int Stop(int aSignal)
  {
    const instant end = monotonic_clock::now() + mSettings.mGrace - kExitMargin;
    mStopping = true;
    LogEvent(kNodeStopping, { Field("signal", aSignal), Field("leads", mLead.Leads()) });
    NoteReadiness();
    const instant ordersEnd = monotonic_clock::now() + kOrdersDeadline;
    if (mLead.Leads()) {
      mDriver.Pause();
      while (mDriver.OrdersUnderWay() > 0 && monotonic_clock::now() < ordersEnd) {
        SleepFor(kOrdersPoll);
      }
    }
    mLead.Resign();
    SleepUntil(std::min(end, monotonic_clock::now() + kOutOfRotation));
    const bool drained = mCallers.Drain(end);
    LogEvent(kNodeStopped, { Field("drained", drained) });
    return drained ? 0 : 1;
  }

  fiber_runtime& mRuntime;
  metrics& mMetrics;
  const node_settings& mSettings;
  control_adapters mAdapters;
  bool mStopping = false;
  bool mWasReady = false;
  relayed_store mStore;
  std::unique_ptr<worker_registry> mRegistry;
  settings_view mView;
  job_intake mIntake;
  caller_service mCallerService;
  work_driver mDriver;
  leadership mLead;
  http_pool mPeerPool;
  http_server mPeers;
  http_server mReadiness;
  http_server mCallers;
};

control_node::control_node(fiber_runtime& aRuntime, metrics& aMetrics,
                           const node_settings& aSettings, const control_adapters& aAdapters)
  : mState(std::make_unique<state>(aRuntime, aMetrics, aSettings, aAdapters))
{
}

control_node::~control_node() = default;

int control_node::Run()
{
  mState->Start();
  constexpr std::array kSignals{ SIGTERM, SIGINT, SIGHUP };
  int signal = mState->mRuntime.WaitForSignal(kSignals);
  while (signal == SIGHUP) {
    mState->mAdapters.mReload();
    signal = mState->mRuntime.WaitForSignal(kSignals);
  }
  return mState->Stop(signal);
}

} // namespace briarwind
