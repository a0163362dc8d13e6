#include "standins/store/store_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr instant kStart{};

store_write Put(std::string aKey, std::string aValue, store_lease aLease = 0)
{
  return { false, { std::move(aKey), "" }, std::move(aValue), aLease };
}

store_revision Write(store_state& aStore, std::vector<store_write> aWrites)
{
  return ToIoResult([&] { return aStore.Write(aWrites); }).value();
}

std::string ValueAt(const store_state& aStore, const std::string& aKey)
{
  const auto values = aStore.Range({ aKey, "" });
  return values.empty() ? "" : values.front().mValue;
}

} // namespace

// Guards against a stand-in that differs from etcd in revisions, compares, history or compaction.
BW_STORY("the store stand-in keeps revisions and a history")
{
  store_state store;
  BW_EQUAL(store_revision{ 1 }, store.Revision());
  BW_EQUAL(store_revision{ 2 }, Write(store, { Put("/a/1", "x"), Put("/a/2", "y") }));
  BW_EQUAL(store_revision{ 3 }, Write(store, { Put("/a/1", "z"), Put("/b", "b") }));

  BW_SECTION("each key has the revisions of its creation and of its last write")
  {
    const auto values = store.Range({ "/a/", "/a0" });
    BW_EQUAL(std::size_t{ 2 }, values.size());
    BW_EQUAL(store_revision{ 2 }, values.at(0).mCreated);
    BW_EQUAL(store_revision{ 3 }, values.at(0).mModified);
    BW_EQUAL(store_revision{ 2 }, values.at(1).mModified);
  }
  BW_SECTION("a compare matches the revision of the last write, or 0 for an absent key")
  {
    const std::vector<store_compare> matching{ { "/a/1", 3 }, { "/none", 0 } };
    const std::vector<store_compare> outdated{ { "/a/1", 2 } };
    BW_CHECK(store.AllMatch(matching));
    BW_CHECK(!store.AllMatch(outdated));
  }
  BW_SECTION("a delete of an absent key leaves the revision unchanged")
  {
    BW_EQUAL(store_revision{ 3 }, Write(store, { { true, { "/none", "" }, "", 0 } }));
  }
  BW_SECTION("the history lists writes and deletes of a range from a revision on")
  {
    Write(store, { { true, { "/a/", "/a0" }, "", 0 } });
    const auto changes = store.ChangesFrom({ "/a/", "/a0" }, 3);
    BW_CHECK(changes.has_value());
    BW_EQUAL(std::size_t{ 3 }, changes->size());
    BW_EQUAL(std::string("z"), changes->front().mValue.mValue);
    BW_CHECK(changes->back().mDeleted);
    BW_EQUAL(store_revision{ 4 }, changes->back().mValue.mModified);
    BW_SECTION("the history of a compacted revision is not available")
    {
      store.Compact(3);
      BW_CHECK(!store.ChangesFrom({ "/a/", "/a0" }, 3).has_value());
      BW_EQUAL(std::size_t{ 2 }, store.ChangesFrom({ "/a/", "/a0" }, 4)->size());
      BW_EQUAL(std::string("b"), ValueAt(store, "/b"));
    }
  }
  BW_SECTION("restoring a snapshot restores values and revision")
  {
    store.Snapshot();
    Write(store, { Put("/b", "later") });
    store.Restore(kStart);
    BW_EQUAL(store_revision{ 3 }, store.Revision());
    BW_EQUAL(std::string("b"), ValueAt(store, "/b"));
    BW_CHECK(store.ChangesFrom({ "/b", "" }, 4)->empty());
  }
}

// Guards against leases that outlive their time to live, or keys that outlive their lease.
BW_STORY("a lease of the store stand-in deletes its keys on expiry")
{
  store_state store;
  const store_lease lease = store.Grant(seconds{ 5 }, kStart);
  Write(store, { Put("/member", "m", lease), Put("/other", "o") });
  BW_SECTION("keys of the lease are deleted when it expires")
  {
    store.Expire(kStart + seconds{ 4 });
    BW_EQUAL(std::string("m"), ValueAt(store, "/member"));
    store.Expire(kStart + seconds{ 5 });
    BW_CHECK(ValueAt(store, "/member").empty());
    BW_EQUAL(std::string("o"), ValueAt(store, "/other"));
    BW_SECTION("an expired lease can neither be kept alive nor used for writes")
    {
      BW_CHECK(!store.KeepAlive(lease, kStart + seconds{ 5 }).has_value());
      const std::vector<store_write> lateWrites{ Put("/member", "m", lease) };
      BW_CHECK(!ToIoResult([&] { return store.Write(lateWrites); }).has_value());
    }
  }
  BW_SECTION("a keep-alive extends the lease")
  {
    BW_CHECK(store.KeepAlive(lease, kStart + seconds{ 4 }) == seconds{ 5 });
    store.Expire(kStart + seconds{ 8 });
    BW_EQUAL(std::string("m"), ValueAt(store, "/member"));
  }
  BW_SECTION("a key written again without the lease is detached from it")
  {
    Write(store, { Put("/member", "again") });
    store.Expire(kStart + seconds{ 9 });
    BW_EQUAL(std::string("again"), ValueAt(store, "/member"));
  }
  BW_SECTION("a lease can be revoked only once")
  {
    BW_CHECK(store.Revoke(lease));
    BW_CHECK(!store.Revoke(lease));
    BW_CHECK(ValueAt(store, "/member").empty());
  }
}
