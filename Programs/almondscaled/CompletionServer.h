#pragma once

#include "HostContext.h"
#include "Http/HttpHandler.h"

namespace almondscale {

// Answers requests for completions.
class CompletionServer {
public:
    explicit CompletionServer(HostContext&);

    void serve(const HttpRequest&, bool chat, ReplyWriter&);

private:
    HostContext& m_context;
};

} // namespace almondscale
