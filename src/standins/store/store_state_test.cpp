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
  return Settle([&] { return aStore.Write(aWrites); }).value();
}

std::string ValueAt(const store_state& aStore, const std::string& aKey)
{
  const auto values = aStore.Range({ aKey, "" });
  return values.empty() ? "" : values.front().mValue;
}

} // namespace

BW_STORY("the data of the store stand-in")
{
  store_state store;
  BW_EQUAL(store_revision{ 1 }, store.Revision());
  BW_EQUAL(store_revision{ 2 }, Write(store, { Put("/a/1", "x"), Put("/a/2", "y") }));
  BW_EQUAL(store_revision{ 3 }, Write(store, { Put("/a/1", "z"), Put("/b", "b") }));

  BW_SECTION("keeps the revisions of creation and of the last write")
  {
    const auto values = store.Range({ "/a/", "/a0" });
    BW_EQUAL(std::size_t{ 2 }, values.size());
    BW_EQUAL(store_revision{ 2 }, values.at(0).mCreated);
    BW_EQUAL(store_revision{ 3 }, values.at(0).mModified);
    BW_EQUAL(store_revision{ 2 }, values.at(1).mModified);
  }
  BW_SECTION("compares revisions, 0 for an absent key")
  {
    const std::vector<store_compare> right{ { "/a/1", 3 }, { "/none", 0 } };
    const std::vector<store_compare> wrong{ { "/a/1", 2 } };
    BW_CHECK(store.Holds(right));
    BW_CHECK(!store.Holds(wrong));
  }
  BW_SECTION("does not use up a revision when nothing is deleted")
  {
    BW_EQUAL(store_revision{ 3 }, Write(store, { { true, { "/none", "" }, "", 0 } }));
  }
  BW_SECTION("gives the changes of a range from a revision on, deletes too")
  {
    Write(store, { { true, { "/a/", "/a0" }, "", 0 } });
    const auto changes = store.Changes({ "/a/", "/a0" }, 3);
    BW_CHECK(changes.has_value());
    BW_EQUAL(std::size_t{ 3 }, changes->size());
    BW_EQUAL(std::string("z"), changes->front().mValue.mValue);
    BW_CHECK(changes->back().mDeleted);
    BW_EQUAL(store_revision{ 4 }, changes->back().mValue.mModified);
    BW_SECTION("but not from a compacted one")
    {
      store.Compact(3);
      BW_CHECK(!store.Changes({ "/a/", "/a0" }, 3).has_value());
      BW_EQUAL(std::size_t{ 2 }, store.Changes({ "/a/", "/a0" }, 4)->size());
      BW_EQUAL(std::string("b"), ValueAt(store, "/b"));
    }
  }
  BW_SECTION("goes back to a snapshot, values and revision")
  {
    store.Snapshot();
    Write(store, { Put("/b", "later") });
    store.Restore(kStart);
    BW_EQUAL(store_revision{ 3 }, store.Revision());
    BW_EQUAL(std::string("b"), ValueAt(store, "/b"));
    BW_CHECK(store.Changes({ "/b", "" }, 4)->empty());
  }
}

BW_STORY("a lease of the store stand-in")
{
  store_state store;
  const store_lease lease = store.Grant(seconds{ 5 }, kStart);
  Write(store, { Put("/member", "m", lease), Put("/other", "o") });
  BW_SECTION("takes its keys along when it lapses")
  {
    store.Expire(kStart + seconds{ 4 });
    BW_EQUAL(std::string("m"), ValueAt(store, "/member"));
    store.Expire(kStart + seconds{ 5 });
    BW_CHECK(ValueAt(store, "/member").empty());
    BW_EQUAL(std::string("o"), ValueAt(store, "/other"));
    BW_SECTION("and can neither be kept alive nor used any more")
    {
      BW_CHECK(!store.KeepAlive(lease, kStart + seconds{ 5 }).has_value());
      const std::vector<store_write> late{ Put("/member", "m", lease) };
      BW_CHECK(!Settle([&] { return store.Write(late); }).has_value());
    }
  }
  BW_SECTION("lives on when it is kept alive")
  {
    BW_CHECK(store.KeepAlive(lease, kStart + seconds{ 4 }) == seconds{ 5 });
    store.Expire(kStart + seconds{ 8 });
    BW_EQUAL(std::string("m"), ValueAt(store, "/member"));
  }
  BW_SECTION("no longer holds a key that was written again without it")
  {
    Write(store, { Put("/member", "again") });
    store.Expire(kStart + seconds{ 9 });
    BW_EQUAL(std::string("again"), ValueAt(store, "/member"));
  }
  BW_SECTION("is revoked once")
  {
    BW_CHECK(store.Revoke(lease));
    BW_CHECK(!store.Revoke(lease));
    BW_CHECK(ValueAt(store, "/member").empty());
  }
}
