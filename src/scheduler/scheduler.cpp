#include "scheduler.h"

#include "queue_leader.h"
#include "scheduler_api.h"
#include "scheduler_engine.h"
#include "scheduler_events.h"

#include "briarwind/catalogue.h"
#include "briarwind/host_poller.h"
#include "briarwind/http_server.h"
#include "briarwind/settings_node.h"
#include "briarwind/store_client.h"

#include <array>
#include <csignal>
#include <random>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kFreshnessPollInterval{ 100 };
constexpr milliseconds kLeaveTimeout{ 500 };
constexpr milliseconds kResubmitDelay{ 500 };

settings_node_options NodeOptions(const scheduler_options& aOptions, const endpoint& aListening)
{
  settings_node_options options;
  options.mSelf.mKind = member_kind::kScheduler;
  options.mSelf.mHttp = aListening;
  options.mSelf.mPeer = aOptions.mPeerListen;
  options.mSelf.mDomain = aOptions.mDomain;
  options.mPeers = aOptions.mPeers;
  options.mSeed = std::random_device()();
  return options;
}

} // namespace

struct scheduler::state
{
  state(fiber_runtime& aRuntime, scheduler_options aOptions)
    : mRuntime(aRuntime)
    , mOptions(std::move(aOptions))
    , mStore(aRuntime, mOptions.mStores, mMetrics)
    , mEngine(aRuntime, mStore, mMetrics, mOptions,
              { [this](instant aNow) { return mNode.Check(aNow).IsFresh(); },
                [this](instant aNow) { return mLeader.IsConfirmed(aNow); } })
    , mHosts(aRuntime, mOptions.mHostLists, mOptions.mHostPoll, mMetrics,
             [this](const host_list& aList) { mEngine.OnHosts(aList); })
    , mServer(aRuntime, mOptions.mListen,
              [this](const http_request& aRequest) { return mApi->Handle(aRequest); })
    , mNode(aRuntime, mStore, mMetrics, NodeOptions(mOptions, mServer.Listening()))
    , mQuorum(aRuntime, mNode)
    , mLeader(mStore, mEngine, mOptions, mServer.Listening(), mQuorum,
              [this](std::vector<job_spec> aSpecs) { ResubmitAll(std::move(aSpecs)); })
  {
    mApi = std::make_unique<scheduler_api>(
      aRuntime, scheduler_api_context{ &mEngine, &mLeader, &mMetrics, mOptions.mName,
                                       [this] { return mNode.InForce(); },
                                       [this] { return !mStopping && HasSettings(); } });
    mNode.OnChange([this] { mEngine.OnSettings(mNode.View()); });
    mServer.OnRefusal([this](http_server_refusal aRefusal) {
      mMetrics.Count(kSchedulerHttpRefusals, ToString(aRefusal));
    });
  }

  void Start()
  {
    LogEvent(kProcessListening,
             { Field("listen", ToString(mServer.Listening())), Field("name", mOptions.mName) });
    mRuntime.Spawn([this] { mHosts.Run(); });
    mNode.Start();
    mRuntime.Spawn([this] { RunFreshnessMonitor(); });
    mRuntime.Spawn([this] { mEngine.RunTicks(); });
    mRuntime.Spawn([this] { mEngine.RunWorkerPings(); });
    mRuntime.Spawn([this] { mLeader.Run(); });
  }

  bool HasSettings() const
  {
    return mNode.Check(monotonic_clock::now()).mReason != freshness_reason::kNoStoreRead;
  }

  void RunFreshnessMonitor()
  {
    while (true) {
      const freshness_check check = mNode.Check(monotonic_clock::now());
      if (std::exchange(mLastFreshnessReason, check.mReason) != check.mReason) {
        const std::string_view reason = check.IsFresh() ? "" : ToString(check.mReason);
        mEngine.OnFreshness(check.IsFresh(), std::string(reason));
      }
      SleepFor(kFreshnessPollInterval);
    }
  }

  void ResubmitAll(std::vector<job_spec> aSpecs)
  {
    mRuntime.Spawn([this, specs = std::move(aSpecs)] {
      for (const job_spec& each : specs) {
        while (!mApi->Resubmit(each)) {
          SleepFor(kResubmitDelay);
        }
      }
    });
  }

  int Stop()
  {
    LogEvent(kProcessStopping, {});
    mStopping = true;
    mLeader.Resign();
    SleepFor(mOptions.mBalancerLag);
    const bool drained = mServer.Drain(monotonic_clock::now() + mOptions.mDrainTime);
    LogEvent(kProcessStopped, { Field("drained", drained) });
    mNode.Leave(monotonic_clock::now() + kLeaveTimeout);
    return drained ? 0 : 1;
  }

  fiber_runtime& mRuntime;
  scheduler_options mOptions;
  metrics mMetrics;
  etcd_store mStore;
  freshness_reason mLastFreshnessReason = freshness_reason::kNoStoreRead;
  bool mStopping = false;
  scheduler_engine mEngine;
  host_poller mHosts;
  std::unique_ptr<scheduler_api> mApi;
  http_server mServer;
  settings_node mNode;
  leader_quorum mQuorum;
  queue_leader mLeader;
};

scheduler::scheduler(fiber_runtime& aRuntime, scheduler_options aOptions)
  : mState(std::make_unique<state>(aRuntime, std::move(aOptions)))
{
}

scheduler::~scheduler() = default;

int scheduler::Run()
{
  mState->Start();
  constexpr std::array kStopSignals{ SIGTERM, SIGINT };
  mState->mRuntime.WaitForSignal(kStopSignals);
  return mState->Stop();
}

} // namespace briarwind
