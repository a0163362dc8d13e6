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

http_response DroppedConnection()
{
  http_response response;
  response.mDrop = true;
  return response;
}

// An error response in the format of the etcd gateway, with a gRPC status code in the body.
http_response GatewayError(const error& aError)
{
  constexpr int kInvalidArgument = 3;
  constexpr int kNotFound = 5;
  const bool isNotFound = aError.mKind == error_kind::kNotFound;
  const json::object body{ { "error", aError.mWhat },
                           { "code", isNotFound ? kNotFound : kInvalidArgument },
                           { "message", aError.mWhere + ": " + aError.mWhat } };
  return JsonResponse(isNotFound ? 404 : 400, json::serialize(body));
}

http_response LeaseNotFound()
{
  return GatewayError({ error_kind::kNotFound, "lease", "requested lease not found" });
}

std::string WatchCancelledLine(store_revision aRevision, store_revision aCompactedRevision)
{
  const json::object resultField{ { "header", ResponseHeader(aRevision) },
                                  { "canceled", true },
                                  { "compact_revision", std::to_string(aCompactedRevision) } };
  return json::serialize(json::object{ { "result", resultField } }) + "\n";
}

} // namespace

store_service::store_service(milliseconds aProgressInterval)
  : mProgressInterval(aProgressInterval)
{
  AddKeyValueRoutes();
  AddLeaseRoutes();
  AddTestRoutes();
}

http_response store_service::Answer(const http_request& aRequest)
{
  mStore.Expire(monotonic_clock::now());
  return mRoutes.Answer(aRequest);
}

void store_service::ExpireLeases()
{
  const store_revision before = mStore.Revision();
  mStore.Expire(monotonic_clock::now());
  if (mStore.Revision() != before) {
    mStoreChanged.notify_all();
  }
}

void store_service::EndWatches()
{
  ++mWatchGeneration;
  mStoreChanged.notify_all();
}

void store_service::AddRpc(const std::string& aPath,
                           http_response (store_service::*aHandler)(const object&))
{
  const std::string name = aPath.substr(aPath.rfind('/') + 1);
  mRoutes.AddJson("POST", aPath, [this, name, aHandler](const object& aBody, const path_captures&) {
    ++mCallCounts[name];
    if (mFaults.mDown) {
      return DroppedConnection();
    }
    if (mFaults.mLatency > milliseconds{ 0 }) {
      SleepFor(mFaults.mLatency);
    }
    return (this->*aHandler)(aBody);
  });
}

void store_service::AddKeyValueRoutes()
{
  AddRpc("/v3/kv/range", &store_service::Range);
  AddRpc("/v3/kv/put", &store_service::Put);
  AddRpc("/v3/kv/txn", &store_service::Transaction);
  AddRpc("/v3/watch", &store_service::Watch);
}

void store_service::AddLeaseRoutes()
{
  AddRpc("/v3/lease/grant", &store_service::Grant);
  AddRpc("/v3/lease/keepalive", &store_service::KeepAlive);
  AddRpc("/v3/lease/revoke", &store_service::Revoke);
}

void store_service::AddTestRoutes()
{
  mRoutes.AddJson("POST", "/test/faults",
                  [this](const object& aBody, const path_captures&) { return SetFaults(aBody); });
  mRoutes.AddJson("POST", "/test/compact", [this](const object& aBody, const path_captures&) {
    mStore.Compact(NumberField(aBody, "revision"));
    return Reply({ { "compacted", std::to_string(mStore.CompactedRevision()) } });
  });
  mRoutes.AddJson("POST", "/test/snapshot", [this](const object&, const path_captures&) {
    mStore.Snapshot();
    return Reply(ResponseHeader(mStore.Revision()));
  });
  mRoutes.AddJson("POST", "/test/restore",
                  [this](const object&, const path_captures&) { return Restore(); });
  mRoutes.Add("GET", "/test/calls",
              [this](const http_request&, const path_captures&) { return Reply(CallCounts()); });
  mRoutes.Add("GET", "/healthz",
              [](const http_request&, const path_captures&) { return http_response{}; });
}

http_response store_service::Range(const object& aBody)
{
  const auto request = ToIoResult([&] { return ParseRange(aBody); });
  return request ? Reply(RangeResponse(mStore, request.value())) : GatewayError(request.error());
}

http_response store_service::Put(const object& aBody)
{
  const auto write = ToIoResult([&] { return ParsePut(aBody); });
  if (!write) {
    return GatewayError(write.error());
  }
  const auto revision = ToIoResult([&] { return mStore.Write(std::span(&write.value(), 1)); });
  return revision ? AcknowledgeWrite({ { "header", ResponseHeader(revision.value()) } })
                  : GatewayError(revision.error());
}

http_response store_service::Transaction(const object& aBody)
{
  const auto request = ToIoResult([&] { return ParseTransaction(aBody); });
  if (!request) {
    return GatewayError(request.error());
  }
  if (!mStore.AllMatch(request.value().mCompares)) {
    json::array responses;
    for (const range_request& each : request.value().mFailure) {
      responses.push_back(json::object{ { "response_range", RangeResponse(mStore, each) } });
    }
    return Reply({ { "header", ResponseHeader(mStore.Revision()) }, { "responses", responses } });
  }
  const auto revision = ToIoResult([&] { return mStore.Write(request.value().mSuccess); });
  if (!revision) {
    return GatewayError(revision.error());
  }
  json::array responses;
  for (const store_write& each : request.value().mSuccess) {
    const char* responseField = each.mIsDelete ? "response_delete_range" : "response_put";
    responses.push_back(
      json::object{ { responseField, { { "header", ResponseHeader(revision.value()) } } } });
  }
  return AcknowledgeWrite({ { "header", ResponseHeader(revision.value()) },
                            { "succeeded", true },
                            { "responses", std::move(responses) } });
}

http_response store_service::Grant(const object& aBody)
{
  const seconds timeToLive{ NumberField(aBody, "TTL") };
  if (timeToLive <= seconds{ 0 }) {
    return GatewayError({ error_kind::kInvalid, "TTL", "expected a time of at least one second" });
  }
  const store_lease granted = mStore.Grant(timeToLive, monotonic_clock::now());
  return AcknowledgeWrite({ { "header", ResponseHeader(mStore.Revision()) },
                            { "ID", std::to_string(granted) },
                            { "TTL", std::to_string(timeToLive.count()) } });
}

http_response store_service::KeepAlive(const object& aBody)
{
  const store_lease lease = NumberField(aBody, "ID");
  const auto renewed = mStore.KeepAlive(lease, monotonic_clock::now());
  return Reply({ { "result",
                   { { "header", ResponseHeader(mStore.Revision()) },
                     { "ID", std::to_string(lease) },
                     { "TTL", std::to_string(renewed.value_or(seconds{ 0 }).count()) } } } });
}

http_response store_service::Revoke(const object& aBody)
{
  if (!mStore.Revoke(NumberField(aBody, "ID"))) {
    return LeaseNotFound();
  }
  return AcknowledgeWrite({ { "header", ResponseHeader(mStore.Revision()) } });
}

http_response store_service::AcknowledgeWrite(const object& aBody)
{
  mStoreChanged.notify_all();
  if (mFaults.mResponsesToDrop > 0) {
    --mFaults.mResponsesToDrop;
    return DroppedConnection();
  }
  return Reply(aBody);
}

http_response store_service::Watch(const object& aBody)
{
  const object& create = ObjectField(aBody, "create_request");
  const auto keys = ToIoResult([&] { return ParseKeyRange(create); });
  if (!keys) {
    return GatewayError(keys.error());
  }
  if (mFaults.mCutWatches) {
    return DroppedConnection();
  }
  const store_revision from = NumberField(create, "start_revision", mStore.Revision() + 1);
  http_response response;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mStream = [this, keys = keys.value(), from](http_chunk_writer& aWriter) {
    StreamChanges(aWriter, keys, from);
  };
  return response;
}

// Runs in the watch's fiber until the client disconnects or the watch is ended. Writes a line every
// progress interval even without changes, so that a dead connection is detected.
void store_service::StreamChanges(http_chunk_writer& aWriter, const key_range& aKeys,
                                  store_revision aFrom)
{
  const std::int64_t generation = mWatchGeneration;
  store_revision next = aFrom;
  bool isFirstLine = true;
  instant nextProgress = monotonic_clock::now();
  while (generation == mWatchGeneration) {
    const auto changes = mStore.ChangesFrom(aKeys, next);
    const store_revision revision = mStore.Revision();
    if (!changes) {
      aWriter.Write(WatchCancelledLine(revision, mStore.CompactedRevision()));
      return;
    }
    next = std::max(next, revision + 1);
    const instant now = monotonic_clock::now();
    if (isFirstLine || !changes->empty() || now >= nextProgress) {
      if (!aWriter.Write(WatchResponseLine(revision, *changes))) {
        return;
      }
      isFirstLine = false;
      nextProgress = now + mProgressInterval;
    }
    if (mStore.Revision() < next) {
      std::unique_lock lock(mMutex);
      mStoreChanged.wait_until(lock, nextProgress);
    }
  }
}

http_response store_service::SetFaults(const object& aBody)
{
  mFaults.mDown = BooleanField(aBody, "down", mFaults.mDown);
  mFaults.mLatency = milliseconds(NumberField(aBody, "latencyMs", mFaults.mLatency.count()));
  mFaults.mResponsesToDrop = NumberField(aBody, "loseAnswers", mFaults.mResponsesToDrop);
  mFaults.mCutWatches = BooleanField(aBody, "cutWatches", mFaults.mCutWatches);
  if (mFaults.mDown || mFaults.mCutWatches) {
    EndWatches();
  }
  return Reply({ { "down", mFaults.mDown },
                 { "latencyMs", mFaults.mLatency.count() },
                 { "loseAnswers", mFaults.mResponsesToDrop },
                 { "cutWatches", mFaults.mCutWatches } });
}

http_response store_service::Restore()
{
  mStore.Restore(monotonic_clock::now());
  EndWatches();
  return Reply(ResponseHeader(mStore.Revision()));
}

json::object store_service::CallCounts() const
{
  json::object callCounts;
  for (const auto& [name, count] : mCallCounts) {
    callCounts[name] = count;
  }
  return callCounts;
}

} // namespace briarwind
