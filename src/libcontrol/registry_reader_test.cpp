#include "registry_reader.h"

#include "control_events.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

struct scripted_registry : worker_registry
{
  io_result<registry_listing> Read(instant /*aDeadline*/) override
  {
    if (mDown) {
      return IoError(error_kind::kUnavailable, "registry", "down");
    }
    return mListing;
  }

  registry_listing mListing;
  bool mDown = false;
};

registered_worker Worker(const std::string& aId)
{
  registered_worker worker;
  worker.mId = aId;
  return worker;
}

} // namespace

BW_STORY("a registry that others write to as well")
{
  scripted_registry registry;
  metrics counters;
  registry_reader reader(registry, counters);
  registry.mListing.mWorkers = { Worker("w1"), Worker("w2") };
  const auto unreadable = [&] { return counters.Read(kRegistryUnreadableEntries); };

  BW_SECTION("gives the workers that it lists")
  {
    BW_EQUAL(std::size_t{ 2 }, reader.Read(instant()).value().size());
    BW_EQUAL(0.0, unreadable());
  }
  BW_SECTION("is read although an entry cannot be")
  {
    registry.mListing.mUnreadable = { "x1" };
    BW_EQUAL(std::size_t{ 2 }, reader.Read(instant()).value().size());
    BW_EQUAL(1.0, unreadable());
    BW_SECTION("until that is gone")
    {
      registry.mListing.mUnreadable.clear();
      BW_CHECK(reader.Read(instant()).has_value());
      BW_EQUAL(0.0, unreadable());
    }
  }
  BW_SECTION("has an error of its own while it is away, and keeps what is known of its entries")
  {
    registry.mListing.mUnreadable = { "x1" };
    BW_CHECK(reader.Read(instant()).has_value());
    registry.mDown = true;
    BW_CHECK(reader.Read(instant()).error().mKind == error_kind::kUnavailable);
    BW_EQUAL(1.0, unreadable());
  }
}
