#include "briarwind/control_node.h"

#include "caller_service.h"
#include "control_events.h"
#include "relayed_store.h"
#include "server_limits.h"
#include "work_driver.h"

#include "briarwind/http_server.h"
#include "briarwind/json_fields.h"
#include "briarwind/pause_tracker.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <ranges>
#include <string>

namespace briarwind {

namespace json = boost::json;

namespace {

// The load balancer checks readiness once a second and removes a host after two failed checks; the
// rest allows for network delay.
constexpr milliseconds kDeregistrationDelay{ 2'600 };
// Part of the grace period reserved for the exit itself, after callers were answered.
constexpr milliseconds kExitMargin{ 700 };
// The settings file may change without a SIGHUP; none of its settings has to take effect sooner.
constexpr milliseconds kReloadInterval{ 2'000 };
constexpr milliseconds kOrderDrainTimeout{ 700 };
constexpr milliseconds kOrderDrainPollInterval{ 10 };
// At most one log line for each server and reason within this time.
constexpr milliseconds kRefusalLogInterval{ 10'000 };
constexpr std::string_view kStorePath = "/v1/store/";
constexpr std::string_view kWaitingPath = "/v1/waiting";
constexpr std::string_view kStatePath = "/v1/state";
constexpr std::string_view kStoredPath = "/v1/stored";
// Later notifications are pointless: the leader's own watch has reported the key by then.
constexpr milliseconds kNotifyTimeout{ 1'000 };

http_response PlainResponse(unsigned aStatus, std::string aText)
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
    , mSettingsView(aRuntime, mStore, aMetrics, *aAdapters.mSettingsCodec)
    , mIntake(
        mStore, aMetrics, [this](const stored_value& aValue) { NotifyLeader(aValue); },
        aSettings.mWork.mMaxValueBytes)
    , mCallerService(mIntake, mSettingsView, aMetrics,
                     { [this](const std::string& aQueue, instant aDeadline) {
                        return CountWaiting(aQueue, aDeadline);
                      },
                       [this](const std::string& aJob, instant aDeadline) {
                         return StateAtLeader(aJob, aDeadline);
                       } })
    , mDriver(aRuntime, mStore, { aAdapters.mWorkers, aAdapters.mAdvisor, mRegistry.get() },
              aMetrics, aSettings.mWork)
    , mLeadership(aRuntime, mStore, aMetrics, aSettings.mName, ToString(aSettings.mPeers),
                  aSettings.mProcessorShare,
                  { [this](std::int64_t /*aEpoch*/) { OnLeadershipGained(); },
                    [this] { mDriver.LeaveTerm(); },
                    [this](std::int64_t aEpoch) { mDriver.ContinueTerm(aEpoch); } })
    , mPeerPool(aRuntime)
    , mPauses(BootNow())
    , mServerLimits(MakeServerLimits(
        aSettings, [this] { return mCallerService.MaxBodyBytes(); },
        [this] { return mPauses.UnreadFor(BootNow()); }))
    , mPeerServer(
        aRuntime, aSettings.mPeers,
        [this](const http_request& aRequest) { return AnswerPeer(aRequest); }, mServerLimits.mPeers)
    , mReadinessServer(
        aRuntime, aSettings.mReadiness,
        [this](const http_request&) { return PlainResponse(IsReady() ? 200 : 503, {}); },
        mServerLimits.mReadiness)
    , mCallerServer(
        aRuntime, aSettings.mCallers,
        [this](const http_request& aRequest) {
          return mAdapters.mAnswerCaller(mCallerService, aRequest);
        },
        mServerLimits.mCallers)
  {
    CountRefusals(mCallerServer, "callers");
    CountRefusals(mReadinessServer, "readiness");
    CountRefusals(mPeerServer, "peers");
    mStore.SetView(mSettingsView.StoredKeys());
    mSettingsView.OnChange([this] {
      mDriver.SetSettings(mSettingsView.ToWorkSettings());
      LogReadinessChange();
    });
  }

  void Start()
  {
    LogEvent(kNodeStarted, { Field("name", mSettings.mName), Field("domain", mSettings.mDomain),
                             Field("callers", ToString(mSettings.mCallers)),
                             Field("peers", ToString(mSettings.mPeers)),
                             Field("store", ToString(mSettings.mStore)) });
    mSettingsView.Start();
    mLeadership.Start();
    mRuntime.Spawn([this] { ReloadPeriodically(); });
    mRuntime.Spawn([this] { TickLoop(); });
  }

  // Counts connections and requests that aServer refused, and logs handlers that failed.
  void CountRefusals(http_server& aServer, std::string_view aName)
  {
    aServer.OnRefusedPeer([this, aName](http_server_refusal aRefusal, const std::string& aPeer) {
      mMetrics.Count(kHttpRefusals, ToString(aRefusal));
      if (aRefusal == http_server_refusal::kHandlerFailed) {
        LogEvent(kRequestFailed, { Field("server", aName) });
      } else {
        LogRefusal(aName, aRefusal, aPeer);
      }
    });
  }

  void LogRefusal(std::string_view aServer, http_server_refusal aRefusal, const std::string& aPeer)
  {
    refusal_log& log = mRefusalLogs[{ aServer, aRefusal }];
    ++log.mCount;
    const instant now = monotonic_clock::now();
    if (now >= log.mNext) {
      LogEvent(kClientRefused, { Field("server", aServer), Field("reason", ToString(aRefusal)),
                                 Field("peer", aPeer), Field("count", log.mCount) });
      log = { now + kRefusalLogInterval, 0 };
    }
  }

  void ReloadPeriodically()
  {
    while (true) {
      SleepFor(kReloadInterval);
      mAdapters.mReload();
      if (const auto dropped = FetchAndResetDroppedLines(); dropped > 0) {
        LogEvent(kLogLinesDropped, { Field("lines", dropped) });
      }
    }
  }

  void TickLoop()
  {
    while (true) {
      SleepFor(pause_tracker::kTickInterval);
      mPauses.OnTick(BootNow());
    }
  }

  bool IsReady() const { return !mStopping && mSettingsView.Settings().mVersion > 0; }

  void LogReadinessChange()
  {
    if (std::exchange(mWasReady, IsReady()) != IsReady()) {
      LogEvent(kNodeReady, { Field("ready", IsReady()), Field("stopping", mStopping),
                             Field("settings", mSettingsView.Settings().mVersion) });
    }
  }

  void OnLeadershipGained()
  {
    mRuntime.Spawn([this] { mDriver.RunTerm(mLeadership, [this] { mLeadership.StepDown(); }); });
  }

  std::vector<std::string> PeerAddresses() const
  {
    std::vector<std::string> others;
    const std::string own = ToString(mSettings.mPeers);
    std::ranges::copy_if(mLeadership.Peers() | std::views::values, std::back_inserter(others),
                         [&](const std::string& aAddress) { return aAddress != own; });
    // Hosts start with different peers, so that one peer does not relay the calls of all hosts.
    const std::size_t first =
      others.empty() ? 0 : std::hash<std::string>{}(mSettings.mName) % others.size();
    std::ranges::rotate(others, others.begin() + static_cast<std::ptrdiff_t>(first));
    return others;
  }

  std::optional<int> CountWaiting(const std::string& aQueue, instant aDeadline)
  {
    if (mDriver.HasTakenOver()) {
      return mDriver.CountWaiting(aQueue);
    }
    const auto answer = CallLeader(kWaitingPath, aQueue, aDeadline);
    return answer ? std::optional(static_cast<int>(NumberField(*answer, "waiting"))) : std::nullopt;
  }

  std::optional<leader_job_state> StateAtLeader(const std::string& aJob, instant aDeadline)
  {
    if (mDriver.HasTakenOver()) {
      const auto stored = mDriver.StoredState(aJob);
      return stored ? std::optional(leader_job_state{ *stored, mLeadership.TimeSinceConfirmed() })
                    : std::nullopt;
    }
    const auto answer = CallLeader(kStatePath, aJob, aDeadline);
    const auto reported = answer ? ParseWorkState(TextField(*answer, "state")) : std::nullopt;
    return reported ? std::optional(
                        leader_job_state{ *reported, milliseconds(NumberField(*answer, "age_ms")) })
                    : std::nullopt;
  }

  http_response AnswerState(const std::string& aJob)
  {
    const auto known = mDriver.HasTakenOver() ? StateAtLeader(aJob, {}) : std::nullopt;
    return known
             ? JsonResponse(200, json::serialize(json::object{ { "state", ToString(known->mState) },
                                                               { "age_ms", known->mAge.count() } }))
             : PlainResponse(503, "not leading, or no such job");
  }

  std::optional<json::object> CallLeader(std::string_view aPath, const std::string& aBody,
                                         instant aDeadline)
  {
    const auto leader = ToIoResult([&] { return ParseEndpoint(mLeadership.LeaderAddress()); });
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
    auto object = ToIoResult([&] { return ParseJsonObject(answer.value().mBody); });
    return object ? std::optional(std::move(object).value()) : std::nullopt;
  }

  // Best effort: the leader's own watch reports keys whose notification is lost.
  void NotifyLeader(const stored_value& aValue)
  {
    if (mDriver.HasTakenOver()) {
      mDriver.NotifyStored(aValue);
      return;
    }
    const auto leader = ToIoResult([&] { return ParseEndpoint(mLeadership.LeaderAddress()); });
    if (!leader || leader.value() == mSettings.mPeers) {
      return;
    }
    mRuntime.Spawn([this, peer = leader.value(), aValue] {
      http_request request;
      request.mMethod = "POST";
      request.mTarget = std::string(kStoredPath);
      request.mBody = json::serialize(json::object{
        { "key", aValue.mKey }, { "value", aValue.mValue }, { "revision", aValue.mModified } });
      const auto answer = mPeerPool.Call(peer, request, monotonic_clock::now() + kNotifyTimeout);
      mMetrics.Count(kPeerCalls, answer ? "notified" : ToString(answer.error().mKind));
    });
  }

  http_response AnswerNotification(const std::string& aBody)
  {
    const auto body = ToIoResult([&] { return ParseJsonObject(aBody); });
    if (!body) {
      return PlainResponse(400, "not an object");
    }
    stored_value notified;
    notified.mKey = TextField(body.value(), "key");
    notified.mValue = TextField(body.value(), "value");
    notified.mModified = NumberField(body.value(), "revision");
    mDriver.NotifyStored(notified);
    return PlainResponse(200, {});
  }

  http_response AnswerPeer(const http_request& aRequest)
  {
    const std::string_view path = TargetPath(aRequest.mTarget);
    if (path.starts_with(kStorePath)) {
      return mStore.Serve(path.substr(kStorePath.size()), aRequest.mBody);
    }
    if (path == kWaitingPath) {
      return mDriver.HasTakenOver()
               ? JsonResponse(200, json::serialize(json::object{
                                     { "waiting", mDriver.CountWaiting(aRequest.mBody) } }))
               : PlainResponse(503, "not leading");
    }
    if (path == kStatePath) {
      return AnswerState(aRequest.mBody);
    }
    if (path == kStoredPath) {
      return AnswerNotification(aRequest.mBody);
    }
    if (path == "/metrics") {
      mMetrics.Set(kHttpBudgetUsed, static_cast<double>(mServerLimits.mPeers.mBudget->Used()));
      mMetrics.Set(kHttpBudgetTotal, static_cast<double>(mServerLimits.mPeers.mBudget->Total()));
      return PlainResponse(200, mMetrics.Render());
    }
    return PlainResponse(404, "no such path");
  }

  // Leadership is released first, so that the next leader can take over during the grace period.
  int Stop(int aSignal)
  {
    const instant end = monotonic_clock::now() + mSettings.mGracePeriod - kExitMargin;
    mStopping = true;
    LogEvent(kNodeStopping, { Field("signal", aSignal), Field("leads", mLeadership.IsLeader()) });
    LogReadinessChange();
    const instant ordersEnd = monotonic_clock::now() + kOrderDrainTimeout;
    if (mLeadership.IsLeader()) {
      mDriver.Pause();
      while (mDriver.OrdersInFlight() > 0 && monotonic_clock::now() < ordersEnd) {
        SleepFor(kOrderDrainPollInterval);
      }
    }
    mLeadership.Resign();
    SleepUntil(std::min(end, monotonic_clock::now() + kDeregistrationDelay));
    const bool drained = mCallerServer.Drain(end);
    LogEvent(kNodeStopped, { Field("drained", drained) });
    return drained ? 0 : 1;
  }

  // Refusals of one server for one reason that have not been logged yet.
  struct refusal_log
  {
    instant mNext;
    std::int64_t mCount = 0;
  };

  fiber_runtime& mRuntime;
  metrics& mMetrics;
  const node_settings& mSettings;
  control_adapters mAdapters;
  bool mStopping = false;
  bool mWasReady = false;
  relayed_store mStore;
  std::unique_ptr<worker_registry> mRegistry;
  settings_view mSettingsView;
  job_intake mIntake;
  caller_service mCallerService;
  work_driver mDriver;
  leadership mLeadership;
  http_pool mPeerPool;
  std::map<std::pair<std::string_view, http_server_refusal>, refusal_log> mRefusalLogs;
  pause_tracker mPauses;
  const server_limits mServerLimits;
  http_server mPeerServer;
  http_server mReadinessServer;
  http_server mCallerServer;
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
