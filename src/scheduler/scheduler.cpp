#include "scheduler.h"

#include "queue_leader.h"
#include "scheduler_api.h"
#include "scheduler_engine.h"
#include "scheduler_events.h"

#include "briarwind/catalogue.h"
#include "briarwind/host_poller.h"
#include "briarwind/http_server.h"
#include "briarwind/settings_book.h"
#include "briarwind/store_client.h"

#include <array>
#include <csignal>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kSettingsPoll{ 500 };
constexpr milliseconds kFreshFor{ 2'000 };
constexpr milliseconds kResubmitWait{ 500 };

} // namespace

struct scheduler::state
{
  state(fiber_runtime& aRuntime, scheduler_options aOptions)
    : mRuntime(aRuntime)
    , mOptions(std::move(aOptions))
    , mStore(aRuntime, mOptions.mStores, mMetrics)
    , mEngine(aRuntime, mStore, mMetrics, mOptions,
              [this](instant aNow) { return aNow <= mFreshUntil; })
    , mHosts(aRuntime, mOptions.mHostLists, mOptions.mHostPoll, mMetrics,
             [this](const host_list& aList) { mEngine.OnHosts(aList); })
    , mServer(aRuntime, mOptions.mListen,
              [this](const http_request& aRequest) { return mApi->Handle(aRequest); })
    , mLeader(mStore, mEngine, mOptions, mServer.Listening(),
              [this](std::vector<job_spec> aSpecs) { ResubmitAll(std::move(aSpecs)); })
  {
    mApi = std::make_unique<scheduler_api>(
      aRuntime, scheduler_api_context{ &mEngine, &mLeader, &mMetrics, mOptions.mName,
                                       [this] { return mBook.Revision(); },
                                       [this] { return !mStopping && mHasSettings; } });
    mServer.OnRefusal([this](http_server_refusal aRefusal) {
      mMetrics.Count(kSchedulerHttpRefusals, ToString(aRefusal));
    });
  }

  void Start()
  {
    LogEvent(kProcessListening,
             { Field("listen", ToString(mServer.Listening())), Field("name", mOptions.mName) });
    mRuntime.Spawn([this] { mHosts.Run(); });
    mRuntime.Spawn([this] { ReadSettings(); });
    mRuntime.Spawn([this] { mEngine.RunTicks(); });
    mRuntime.Spawn([this] { mEngine.RunContacts(); });
    mRuntime.Spawn([this] { mLeader.Run(); });
  }

  void ReadSettings()
  {
    while (true) {
      const instant begun = monotonic_clock::now();
      const auto listing = mStore.List(kSettingsPrefix, begun + kFreshFor);
      if (listing) {
        mHasSettings = true;
        const listing_outcome outcome = mBook.ApplyListing(listing.value());
        if (outcome.mApplied > 0) {
          mEngine.OnSettings(mBook.View());
        }
        if (outcome.Confirms()) {
          mFreshUntil = begun + kFreshFor;
        }
      }
      ShowFreshness(monotonic_clock::now() <= mFreshUntil);
      SleepFor(kSettingsPoll);
    }
  }

  void ShowFreshness(bool aFresh)
  {
    if (std::exchange(mFresh, aFresh) != aFresh) {
      mEngine.OnFreshness(aFresh, aFresh ? "" : "the store did not confirm the settings in time");
    }
  }

  void ResubmitAll(std::vector<job_spec> aSpecs)
  {
    mRuntime.Spawn([this, specs = std::move(aSpecs)] {
      for (const job_spec& each : specs) {
        while (!mApi->Resubmit(each)) {
          SleepFor(kResubmitWait);
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
    return drained ? 0 : 1;
  }

  fiber_runtime& mRuntime;
  scheduler_options mOptions;
  metrics mMetrics;
  etcd_store mStore;
  settings_book mBook;
  instant mFreshUntil{};
  bool mFresh = false;
  bool mHasSettings = false;
  bool mStopping = false;
  scheduler_engine mEngine;
  host_poller mHosts;
  std::unique_ptr<scheduler_api> mApi;
  http_server mServer;
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
