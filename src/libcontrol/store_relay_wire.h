#pragma once

#include "store_view.h"

#include "briarwind/http.h"
#include "briarwind/record_store.h"

/// Wire format of store calls that hosts relay for each other: `POST /v1/store/NAME` with a JSON
/// body. A response with status 200 carries the result, any other the kind of the error.

namespace briarwind::store_relay {

/// Performs a relayed call and formats the response. Reads of the prefix of aView are served from
/// it while it is current and as new as the call demands, all other calls by aStore. An unknown
/// name or a body that is no JSON object is answered with kInvalid.
/// @param aView null: none
http_response Serve(record_store& aStore, std::string_view aName, std::string_view aBody,
                    const store_view* aView = nullptr);

/// Name and JSON body of a call to be sent to a peer.
struct relay_call
{
  std::string mName;
  std::string mBody;
};

// The peer counts each timeout from the receipt of the call. A listing and a watch may be served
// from the peer's view; a listing only if the view is complete up to aAtLeast, the newest revision
// that an earlier answer has shown.
relay_call MakeGetCall(std::string_view aKey, milliseconds aTimeout);
relay_call MakeListCall(std::string_view aPrefix, store_revision aAtLeast, milliseconds aTimeout);
relay_call MakeWatchCall(std::string_view aPrefix, store_revision aAfter, milliseconds aWait);
relay_call MakeCommitCall(const store_transaction& aTransaction, milliseconds aTimeout);
relay_call MakeGrantCall(milliseconds aTimeToLive, milliseconds aTimeout);
relay_call MakeLeaseCall(std::string_view aName, store_lease aLease, milliseconds aTimeout);

// Each returns the result in a response, or the error that the peer reported. A response that
// cannot be parsed is kUnknownOutcome.
io_result<std::optional<stored_value>> ParseGetAnswer(const http_response& aAnswer);
io_result<store_listing> ParseListAnswer(const http_response& aAnswer);
io_result<watch_result> ParseWatchAnswer(const http_response& aAnswer);
io_result<transaction_result> ParseCommitAnswer(const http_response& aAnswer);
io_result<granted_lease> ParseGrantAnswer(const http_response& aAnswer);

} // namespace briarwind::store_relay
