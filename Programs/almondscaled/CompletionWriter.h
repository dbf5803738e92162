#pragma once

#include "CompletionCall.h"
#include "Http/ReplyWriter.h"

#include <string>

namespace almondscale {

// Writes a completion in the format that the caller asked for, whole or streamed.
class CompletionWriter {
public:
    CompletionWriter(const CompletionCall&, std::string id, ReplyWriter&);

    // Passes the next token on; false if the caller is gone.
    bool token(const std::string&);

    // Ends the answer after its last token.
    void finish();

    // Ends the answer with an error; a stream that has begun gets the error as an event.
    void fail(ErrorKind, const std::string& detail, Nanoseconds retryAfter);

    TokenCount tokens() const { return m_tokens; }

private:
    std::string event(const std::string& text, const char* finishReason) const;
    std::string whole() const;

    const CompletionCall& m_call;
    std::string m_id;
    ReplyWriter& m_reply;
    std::string m_text;
    TokenCount m_tokens;
    bool m_begun = false;
};

} // namespace almondscale
