#pragma once

#include "Core/ErrorInfo.h"
#include "Core/Result.h"
#include "Serving/BackendCall.h"
#include "Serving/BackendReply.h"
#include "Serving/CallerRequest.h"

#include <functional>
#include <optional>
#include <string>

namespace almondscale {

// An answer of this host's own.
struct OwnAnswer {
    HttpResponseHead head;
    std::string body;
};

// What the protocol of callers and backend servers spells; nothing in it decides.
struct ServingWire {
    std::function<Result<CallerRequest>(HttpRequestHead, std::string body)> decodeRequest;
    std::function<HttpRequestHead(const CallerRequest&, const BackendCall&)> encodeCall;
    std::function<BackendReply(HttpResponseHead)> decodeReply;
    // The handle of the KV cache in the answer to a prefill.
    std::function<std::optional<std::string>(const std::string& body)> decodeKvHandle;
    // The call that frees a handle.
    std::function<HttpRequestHead(const std::string& handle)> encodeFreeHandle;
    // The fields of a backend server's response that go to the caller.
    std::function<HttpFields(const BackendReply&)> answerFields;
    std::function<OwnAnswer(ErrorKind, std::optional<Nanoseconds> retryAfter)> encodeError;
};

} // namespace almondscale
