#include "standins/store/store_service.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/json_fields.h"

#include <mutex>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

http_response Reply(const json::object& aBody)
{
  return JsonResponse(200, json::serialize(aBody));
}

http_response Dropped()
{
  http_response response;
  response.mDrop = true;
  return response;
}

// The form of the gateway's own errors.
http_response Refusal(const error& aError)
{
  constexpr int kInvalidArgument = 3;
  constexpr int kNotFound = 5;
  const bool absent = aError.mKind == error_kind::kNotFound;
  const json::object body{ { "error", aError.mWhat },
                           { "code", absent ? kNotFound : kInvalidArgument },
                           { "message", aError.mWhere + ": " + aError.mWhat } };
  return JsonResponse(absent ? 404 : 400, json::serialize(body));
}

http_response LeaseNotFound()
{
  return Refusal({ error_kind::kNotFound, "lease", "requested lease not found" });
}

std::string CancelledLine(store_revision aRevision, store_revision aCompacted)
{
  const json::object inner{ { "header", Header(aRevision) },
                            { "canceled", true },
                            { "compact_revision", std::to_string(aCompacted) } };
  return json::serialize(json::object{ { "result", inner } }) + "\n";
}

} // namespace

store_service::store_service(milliseconds aProgress)
  : mProgress(aProgress)
{
  AddStoreRoutes();
  AddLeaseRoutes();
  AddTestRoutes();
}

http_response store_service::Answer(const http_request& aRequest)
{
  mStore.Expire(monotonic_clock::now());
  return mRoutes.Answer(aRequest);
}

void store_service::Tick()
{
  const store_revision before = mStore.Revision();
  mStore.Expire(monotonic_clock::now());
  if (mStore.Revision() != before) {
    mChanged.notify_all();
  }
}

void store_service::Stop()
{
  ++mWatchGeneration;
  mChanged.notify_all();
}

void store_service::AddCall(const std::string& aPath,
                            http_response (store_service::*aCall)(const object&))
{
  const std::string name = aPath.substr(aPath.rfind('/') + 1);
  mRoutes.AddJson("POST", aPath, [this, name, aCall](const object& aBody, const path_captures&) {
    ++mCalls[name];
    if (mFaults.mDown) {
      return Dropped();
    }
    if (mFaults.mLatency > milliseconds{ 0 }) {
      SleepFor(mFaults.mLatency);
    }
    return (this->*aCall)(aBody);
  });
}

void store_service::AddStoreRoutes()
{
  AddCall("/v3/kv/range", &store_service::Range);
  AddCall("/v3/kv/put", &store_service::Put);
  AddCall("/v3/kv/txn", &store_service::Transaction);
  AddCall("/v3/watch", &store_service::Watch);
}

void store_service::AddLeaseRoutes()
{
  AddCall("/v3/lease/grant", &store_service::Grant);
  AddCall("/v3/lease/keepalive", &store_service::KeepAlive);
  AddCall("/v3/lease/revoke", &store_service::Revoke);
}

void store_service::AddTestRoutes()
{
  mRoutes.AddJson("POST", "/test/faults",
                  [this](const object& aBody, const path_captures&) { return SetFaults(aBody); });
  mRoutes.AddJson("POST", "/test/compact", [this](const object& aBody, const path_captures&) {
    mStore.Compact(NumberField(aBody, "revision"));
    return Reply({ { "compacted", std::to_string(mStore.Compacted()) } });
  });
  mRoutes.AddJson("POST", "/test/snapshot", [this](const object&, const path_captures&) {
    mStore.Snapshot();
    return Reply(Header(mStore.Revision()));
  });
  mRoutes.AddJson("POST", "/test/restore",
                  [this](const object&, const path_captures&) { return Restore(); });
  mRoutes.Add("GET", "/test/calls",
              [this](const http_request&, const path_captures&) { return Reply(Calls()); });
  mRoutes.Add("GET", "/healthz",
              [](const http_request&, const path_captures&) { return http_response{}; });
}

http_response store_service::Range(const object& aBody)
{
  const auto request = Settle([&] { return ReadRange(aBody); });
  return request ? Reply(RangeAnswer(mStore, request.value())) : Refusal(request.error());
}

http_response store_service::Put(const object& aBody)
{
  const auto write = Settle([&] { return ReadPut(aBody); });
  if (!write) {
    return Refusal(write.error());
  }
  const auto revision = Settle([&] { return mStore.Write(std::span(&write.value(), 1)); });
  return revision ? Written({ { "header", Header(revision.value()) } }) : Refusal(revision.error());
}

http_response store_service::Transaction(const object& aBody)
{
  const auto request = Settle([&] { return ReadTransaction(aBody); });
  if (!request) {
    return Refusal(request.error());
  }
  if (!mStore.Holds(request.value().mCompares)) {
    json::array responses;
    for (const range_request& each : request.value().mFailure) {
      responses.push_back(json::object{ { "response_range", RangeAnswer(mStore, each) } });
    }
    return Reply({ { "header", Header(mStore.Revision()) }, { "responses", responses } });
  }
  const auto revision = Settle([&] { return mStore.Write(request.value().mSuccess); });
  if (!revision) {
    return Refusal(revision.error());
  }
  json::array responses;
  for (const store_write& each : request.value().mSuccess) {
    const char* kind = each.mIsDelete ? "response_delete_range" : "response_put";
    responses.push_back(json::object{ { kind, { { "header", Header(revision.value()) } } } });
  }
  return Written({ { "header", Header(revision.value()) },
                   { "succeeded", true },
                   { "responses", std::move(responses) } });
}

http_response store_service::Grant(const object& aBody)
{
  const seconds timeToLive{ NumberField(aBody, "TTL") };
  if (timeToLive <= seconds{ 0 }) {
    return Refusal({ error_kind::kInvalid, "TTL", "expected a time of at least one second" });
  }
  const store_lease made = mStore.Grant(timeToLive, monotonic_clock::now());
  return Written({ { "header", Header(mStore.Revision()) },
                   { "ID", std::to_string(made) },
                   { "TTL", std::to_string(timeToLive.count()) } });
}

http_response store_service::KeepAlive(const object& aBody)
{
  const store_lease lease = NumberField(aBody, "ID");
  const auto left = mStore.KeepAlive(lease, monotonic_clock::now());
  return Reply({ { "result",
                   { { "header", Header(mStore.Revision()) },
                     { "ID", std::to_string(lease) },
                     { "TTL", std::to_string(left.value_or(seconds{ 0 }).count()) } } } });
}

http_response store_service::Revoke(const object& aBody)
{
  if (!mStore.Revoke(NumberField(aBody, "ID"))) {
    return LeaseNotFound();
  }
  return Written({ { "header", Header(mStore.Revision()) } });
}

http_response store_service::Written(const object& aBody)
{
  mChanged.notify_all();
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    return Dropped();
  }
  return Reply(aBody);
}

http_response store_service::Watch(const object& aBody)
{
  const object& create = ObjectField(aBody, "create_request");
  const auto keys = Settle([&] { return ReadKeys(create); });
  if (!keys) {
    return Refusal(keys.error());
  }
  if (mFaults.mCutWatches) {
    return Dropped();
  }
  const store_revision from = NumberField(create, "start_revision", mStore.Revision() + 1);
  http_response response;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mStream = [this, keys = keys.value(), from](http_chunk_writer& aWriter) {
    WriteChanges(aWriter, keys, from);
  };
  return response;
}

// Runs in the watch's fiber until the other side goes or the watch is cut. Every progress interval
// there is a line even without changes, so that a dead connection is found.
void store_service::WriteChanges(http_chunk_writer& aWriter, const key_range& aKeys,
                                 store_revision aFrom)
{
  const std::int64_t generation = mWatchGeneration;
  store_revision next = aFrom;
  bool isFirst = true;
  instant due = monotonic_clock::now();
  while (generation == mWatchGeneration) {
    const auto changes = mStore.Changes(aKeys, next);
    const store_revision revision = mStore.Revision();
    if (!changes) {
      aWriter.Write(CancelledLine(revision, mStore.Compacted()));
      return;
    }
    next = std::max(next, revision + 1);
    const instant now = monotonic_clock::now();
    if (isFirst || !changes->empty() || now >= due) {
      if (!aWriter.Write(WatchLine(revision, *changes))) {
        return;
      }
      isFirst = false;
      due = now + mProgress;
    }
    if (mStore.Revision() < next) {
      std::unique_lock lock(mMutex);
      mChanged.wait_until(lock, due);
    }
  }
}

http_response store_service::SetFaults(const object& aBody)
{
  mFaults.mDown = SwitchField(aBody, "down", mFaults.mDown);
  mFaults.mLatency = milliseconds(NumberField(aBody, "latencyMs", mFaults.mLatency.count()));
  mFaults.mLoseAnswers = NumberField(aBody, "loseAnswers", mFaults.mLoseAnswers);
  mFaults.mCutWatches = SwitchField(aBody, "cutWatches", mFaults.mCutWatches);
  if (mFaults.mDown || mFaults.mCutWatches) {
    Stop();
  }
  return Reply({ { "down", mFaults.mDown },
                 { "latencyMs", mFaults.mLatency.count() },
                 { "loseAnswers", mFaults.mLoseAnswers },
                 { "cutWatches", mFaults.mCutWatches } });
}

http_response store_service::Restore()
{
  mStore.Restore(monotonic_clock::now());
  Stop();
  return Reply(Header(mStore.Revision()));
}

json::object store_service::Calls() const
{
  json::object calls;
  for (const auto& [name, count] : mCalls) {
    calls[name] = count;
  }
  return calls;
}

} // namespace briarwind
