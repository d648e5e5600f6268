#include "services/BodyCollector.h"

#include <utility>

namespace Coltsfootwell {

namespace {

struct Collection
{
    BodyPipePtr pipe;
    std::size_t limit;
    std::function<void(CollectedBody)> done;
    CollectedBody body;
};

void collectNext(std::shared_ptr<Collection> state)
{
    BodyPipe &pipe = *state->pipe;
    pipe.read([state = std::move(state)](BodyChunk chunk) {
        state->body.bytes += chunk.bytes;
        const bool tooLong = state->body.bytes.size() > state->limit;
        if (chunk.kind == BodyChunk::Kind::Bytes && !tooLong) {
            collectNext(state);
            return;
        }
        state->body.end = chunk.kind == BodyChunk::Kind::Cut ? CollectedBody::End::Cut
            : tooLong                                        ? CollectedBody::End::TooLong
                                                             : CollectedBody::End::Whole;
        std::exchange(state->done, nullptr)(std::move(state->body));
    });
}

} // namespace

void collectBody(BodyPipePtr pipe, std::size_t limit, std::function<void(CollectedBody)> done)
{
    collectNext(std::make_shared<Collection>(
        Collection {std::move(pipe), limit, std::move(done), CollectedBody {}}));
}

BodyPipePtr pipeOf(Executor &executor, std::string bytes)
{
    auto pipe = std::make_shared<BodyPipe>(executor);
    if (!bytes.empty()) {
        pipe->write(std::move(bytes), [](bool) {});
    }
    pipe->finish();
    return pipe;
}

} // namespace Coltsfootwell
