#include "registry_reader.h"

#include "control_events.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

struct scripted_registry : worker_registry
{
  io_result<registry_listing> Read(instant /*aDeadline*/) override
  {
    if (mIsDown) {
      return IoError(error_kind::kUnavailable, "registry", "down");
    }
    return mListing;
  }

  registry_listing mListing;
  bool mIsDown = false;
};

registered_worker MakeWorker(const std::string& aId)
{
  registered_worker worker;
  worker.mId = aId;
  return worker;
}

} // namespace

// Guards against losing all workers because one entry cannot be parsed: other programs write to the
// registry too.
BW_STORY("a registry with entries written by other programs")
{
  scripted_registry registry;
  metrics counters;
  registry_reader reader(registry, counters);
  registry.mListing.mWorkers = { MakeWorker("w1"), MakeWorker("w2") };
  const auto unreadable = [&] { return counters.Read(kRegistryUnreadableEntries); };

  BW_SECTION("returns the listed workers")
  {
    BW_EQUAL(std::size_t{ 2 }, reader.Read(instant()).value().size());
    BW_EQUAL(0.0, unreadable());
  }
  BW_SECTION("is read without the entry that cannot be parsed, which is counted")
  {
    registry.mListing.mUnreadable = { "x1" };
    BW_EQUAL(std::size_t{ 2 }, reader.Read(instant()).value().size());
    BW_EQUAL(1.0, unreadable());
    BW_SECTION("the count returns to zero once the entry is removed")
    {
      registry.mListing.mUnreadable.clear();
      BW_CHECK(reader.Read(instant()).has_value());
      BW_EQUAL(0.0, unreadable());
    }
  }
  BW_SECTION("returns the error while it is unavailable, and keeps the count of unreadable entries")
  {
    registry.mListing.mUnreadable = { "x1" };
    BW_CHECK(reader.Read(instant()).has_value());
    registry.mIsDown = true;
    BW_CHECK(reader.Read(instant()).error().mKind == error_kind::kUnavailable);
    BW_EQUAL(1.0, unreadable());
  }
}
