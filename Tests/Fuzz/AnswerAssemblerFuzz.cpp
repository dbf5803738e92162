#include "Dispatch/AnswerAssembler.h"

#include <cstdint>
#include <cstdlib>

using namespace almondscale;

namespace {

// Three bytes of the input as one event at an assembler.
struct FuzzEvent {
    std::uint8_t kind;
    std::uint8_t index;
    std::uint8_t value;
};

StreamItem item(const FuzzEvent& event)
{
    StreamItem item;
    item.attempt = AttemptId("a" + std::to_string(event.kind % 4));
    item.index = event.index;
    item.token = std::to_string(event.value % 2);
    item.done = event.kind >= 200;
    item.tokens = event.index;
    return item;
}

void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace

// Whatever attempts send, tokens go out once and in order, and nothing follows an
// end or a conflict.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    AnswerAssembler assembler;
    std::uint64_t given = 0;
    for (std::size_t i = 0; i + 2 < size; i += 3) {
        const FuzzEvent event { data[i], data[i + 1], data[i + 2] };
        if (event.kind % 16 == 0) {
            require(assembler.begin(AttemptId("a" + std::to_string(event.value % 4))) <= given);
            continue;
        }
        const auto before = assembler.state();
        const auto received = item(event);
        const auto progress = assembler.accept(received);
        given += progress.tokens.size();
        require(given == assembler.delivered());
        require(assembler.resumeOffset() <= given);
        require(before == AnswerState::Running || (progress.tokens.empty() && progress.state == before));
        require(progress.tokens.empty() || received.attempt == assembler.attempt());
    }
    return 0;
}
