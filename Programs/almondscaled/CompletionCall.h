#pragma once

#include "Core/Deadline.h"
#include "Core/ModelName.h"
#include "Core/Organisation.h"
#include "Core/Priority.h"
#include "Core/Result.h"
#include "Core/TokenCount.h"
#include "Http/HttpRequest.h"

#include <string>

namespace almondscale {

// A caller's request for a completion, read and checked.
struct CompletionCall {
    ModelName model;
    Organisation organisation;
    Priority priority;
    Deadline deadline;
    std::string prompt;
    TokenCount promptTokens;
    TokenCount maxTokens;
    bool streamed = false;
    bool chat = false;
};

// Reads the JSON body and the headers; the deadline is the default if no header names one.
Result<CompletionCall> parseCompletionCall(
    const HttpRequest&, bool chat, MonotonicTime now, Nanoseconds defaultDeadline);

// The number of words, by which prompts are measured.
TokenCount countTokens(const std::string&);

} // namespace almondscale
