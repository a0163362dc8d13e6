#include "briarwind/memory_store.h"
#include "briarwind/settings_node.h"
#include "briarwind/settings_record.h"
#include "briarwind/testing.h"

#include <algorithm>
#include <memory>
#include <vector>

using namespace briarwind;

namespace {

constexpr seconds kPatience{ 20 };

instant Soon()
{
  return monotonic_clock::now() + kPatience;
}

bool Eventually(const std::function<bool()>& aHolds)
{
  for (const instant until = Soon(); monotonic_clock::now() < until;) {
    if (aHolds()) {
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
    aStore.Swap("/briarwind/settings/domains/d1", aExpected, Encode(record), 0, Soon());
  BW_CHECK(swapped.value().mSwapped);
}

bool IsWithdrawn(const settings_node& aNode)
{
  const auto view = aNode.View();
  const auto found = view->mDomains.find("d1");
  return found != view->mDomains.end() && found->second.mWithdrawn;
}

// A few schedulers in one process; each reaches the store by a way of its own.
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

  // Fibers of the nodes refer to the store until they end.
  ~cluster()
  {
    mNodes.clear();
    mStore.SetDown(true);
    BW_CHECK(Eventually([&] { return mRuntime.Running() == 0; }));
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

  // The record has all members and no previous ones.
  bool HasWholeRecord()
  {
    const auto listed = mStore.List(kRecordKey, Soon());
    if (listed.value().mValues.empty()) {
      return false;
    }
    const auto record = Settle([&] { return DecodeMemberRecord(listed.value().mValues.front()); });
    return record.value().mMembers.size() == mNodes.size() && record.value().mPrevious.empty();
  }

  fiber_runtime mRuntime;
  metrics mCounters;
  memory_store mStore;
  std::vector<std::unique_ptr<settings_node>> mNodes;
};

} // namespace

BW_STORY("three schedulers and a store")
{
  cluster three(3);
  BW_CHECK(Eventually([&] { return three.HasWholeRecord() && three.AllFresh(); }));
  SetWithdrawn(three.mStore, 0, true);
  BW_CHECK(Eventually([&] { return three.AllWithdrawn(); }));
  const store_revision withdrawn = three.mNodes.front()->Book().Revision();

  BW_SECTION("go on by their majority while the store is down")
  {
    three.mStore.SetDown(true);
    SleepFor(3 * kFreshnessBound);
    BW_CHECK(Eventually([&] { return three.AllFresh(); }));
    BW_CHECK(three.mNodes.front()->Check(monotonic_clock::now()).mSource !=
             confirmation_source::kStore);
    BW_SECTION("but the last of them that is left does not")
    {
      three.mNodes.resize(1);
      SleepFor(2 * kFreshnessBound);
      BW_CHECK(three.mNodes.front()->Check(monotonic_clock::now()).mReason ==
               freshness_reason::kNotConfirmed);
    }
  }
  BW_SECTION("keep what they hold when the store comes back with an older revision")
  {
    memory_store older;
    three.mStore.Restore(older);
    three.mStore.CutWatches();
    SleepFor(2 * kFreshnessBound);
    BW_CHECK(three.AllWithdrawn());
    BW_CHECK(Eventually([&] { return three.AllFresh(); }));
    BW_EQUAL(withdrawn, three.mNodes.front()->Book().Revision());
  }
  BW_SECTION("follow a watch that was compacted")
  {
    three.mStore.SetDown(true);
    SleepFor(milliseconds(10));
    three.mStore.SetDown(false);
    SetWithdrawn(three.mStore, withdrawn, false);
    three.mStore.Compact(three.mStore.Revision() + 1);
    BW_CHECK(Eventually([&] { return !IsWithdrawn(*three.mNodes.back()); }));
  }
}

BW_STORY("a node that is gone")
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

  BW_SECTION("calls the store no more")
  {
    // What was under way ends in the first step of each fiber.
    SleepFor(milliseconds(20));
    const std::uint64_t calls = store.Calls();
    BW_CHECK(Eventually([&] { return runtime.Running() == 0; }));
    BW_EQUAL(calls, store.Calls());
  }
  BW_SECTION("leaves no fiber behind that refers to the store")
  {
    BW_CHECK(Eventually([&] { return runtime.Running() == 0; }));
  }
}
