#include "briarwind/memory_store.h"
#include "briarwind/settings_node.h"
#include "briarwind/settings_record.h"
#include "briarwind/testing.h"

#include <algorithm>
#include <memory>
#include <vector>

using namespace briarwind;

namespace {

constexpr seconds kTestTimeout{ 20 };

instant TestDeadline()
{
  return monotonic_clock::now() + kTestTimeout;
}

bool Eventually(const std::function<bool()>& aCondition)
{
  for (const instant deadline = TestDeadline(); monotonic_clock::now() < deadline;) {
    if (aCondition()) {
      return true;
    }
    SleepFor(milliseconds(10));
  }
  return false;
}

void SetWithdrawn(memory_store& aStore, store_revision aExpected, bool aWithdrawn)
{
  settings_record record;
  record.mSettings = aWithdrawn ? R"({"withdrawn":true})" : R"({"withdrawn":false})";
  const auto swapped =
    aStore.Swap("/briarwind/settings/domains/d1", aExpected, Encode(record), 0, TestDeadline());
  BW_CHECK(swapped.value().mSwapped);
}

bool IsWithdrawn(const settings_node& aNode)
{
  const auto view = aNode.View();
  const auto found = view->mDomains.find("d1");
  return found != view->mDomains.end() && found->second.mWithdrawn;
}

// Several schedulers in one process that share an in-memory store.
struct cluster
{
  explicit cluster(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      settings_node_options options;
      options.mSelf.mPeer = { "127.0.0.1", 0 };
      options.mSelf.mHttp = { "127.0.0.1", static_cast<std::uint16_t>(100 + i) };
      options.mSelf.mDomain = "d" + std::to_string(i);
      options.mSeed = static_cast<std::uint64_t>(i) + 1;
      mNodes.push_back(std::make_unique<settings_node>(mRuntime, mStore, mCounters, options));
      mNodes.back()->Start();
    }
  }

  // Waits for the fibers of the nodes to end, since they refer to the store.
  ~cluster()
  {
    mNodes.clear();
    mStore.SetDown(true);
    BW_CHECK(Eventually([&] { return mRuntime.RunningFibers() == 0; }));
  }

  bool AllFresh()
  {
    return std::ranges::all_of(
      mNodes, [](const auto& aNode) { return aNode->Check(monotonic_clock::now()).IsFresh(); });
  }

  bool AllWithdrawn()
  {
    return std::ranges::all_of(mNodes, [](const auto& aNode) { return IsWithdrawn(*aNode); });
  }

  // Whether the member record in the store has all members and no previous ones.
  bool HasWholeRecord()
  {
    const auto listed = mStore.List(kMemberRecordKey, TestDeadline());
    if (listed.value().mValues.empty()) {
      return false;
    }
    const auto record =
      ToIoResult([&] { return DecodeMemberRecord(listed.value().mValues.front()); });
    return record.value().mMembers.size() == mNodes.size() && record.value().mPrevious.empty();
  }

  fiber_runtime mRuntime;
  metrics mCounters;
  memory_store mStore;
  std::vector<std::unique_ptr<settings_node>> mNodes;
};

} // namespace

// Guards against schedulers that start tasks by outdated settings, or stop starting tasks
// needlessly, while the store is down, after it was restored from an older copy, or after it
// compacted the revision of a watch.
BW_STORY("three schedulers that share a store")
{
  cluster schedulers(3);
  BW_CHECK(Eventually([&] { return schedulers.HasWholeRecord() && schedulers.AllFresh(); }));
  SetWithdrawn(schedulers.mStore, 0, true);
  BW_CHECK(Eventually([&] { return schedulers.AllWithdrawn(); }));
  const store_revision withdrawn = schedulers.mNodes.front()->Book().Revision();

  BW_SECTION("confirm their settings by a majority of members while the store is down")
  {
    schedulers.mStore.SetDown(true);
    SleepFor(3 * kFreshnessBound);
    BW_CHECK(Eventually([&] { return schedulers.AllFresh(); }));
    BW_CHECK(schedulers.mNodes.front()->Check(monotonic_clock::now()).mSource !=
             confirmation_source::kStore);
    BW_SECTION("and a single remaining scheduler loses its confirmation")
    {
      schedulers.mNodes.resize(1);
      SleepFor(2 * kFreshnessBound);
      BW_CHECK(schedulers.mNodes.front()->Check(monotonic_clock::now()).mReason ==
               freshness_reason::kNotConfirmed);
    }
  }
  BW_SECTION("keep their settings when the store is restored to an older revision")
  {
    memory_store older;
    schedulers.mStore.Restore(older);
    schedulers.mStore.CutWatches();
    SleepFor(2 * kFreshnessBound);
    BW_CHECK(schedulers.AllWithdrawn());
    BW_CHECK(Eventually([&] { return schedulers.AllFresh(); }));
    BW_EQUAL(withdrawn, schedulers.mNodes.front()->Book().Revision());
  }
  BW_SECTION("list the settings again after their watch was compacted")
  {
    schedulers.mStore.SetDown(true);
    SleepFor(milliseconds(10));
    schedulers.mStore.SetDown(false);
    SetWithdrawn(schedulers.mStore, withdrawn, false);
    schedulers.mStore.Compact(schedulers.mStore.Revision() + 1);
    BW_CHECK(Eventually([&] { return !IsWithdrawn(*schedulers.mNodes.back()); }));
  }
}

// Guards against fibers of a destroyed node that use the store, which may have been destroyed as
// well.
BW_STORY("a destroyed settings node")
{
  fiber_runtime runtime;
  metrics counters;
  memory_store store;
  settings_node_options options;
  options.mSelf.mPeer = { "127.0.0.1", 0 };
  auto node = std::make_unique<settings_node>(runtime, store, counters, options);
  node->Start();
  BW_CHECK(Eventually([&] { return node->Check(monotonic_clock::now()).IsFresh(); }));
  node.reset();

  BW_SECTION("makes no further calls to the store")
  {
    // Calls in progress complete in the first step of each fiber.
    SleepFor(milliseconds(20));
    const std::uint64_t calls = store.Calls();
    BW_CHECK(Eventually([&] { return runtime.RunningFibers() == 0; }));
    BW_EQUAL(calls, store.Calls());
  }
  BW_SECTION("leaves no running fiber that refers to the store")
  {
    BW_CHECK(Eventually([&] { return runtime.RunningFibers() == 0; }));
  }
}
