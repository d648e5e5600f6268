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

void relayNext(BodyPipePtr from, BodyPipePtr to)
{
    BodyPipe &source = *from;
    source.read([from = std::move(from), to = std::move(to)](BodyChunk chunk) {
        if (chunk.kind != BodyChunk::Kind::Bytes) {
            chunk.kind == BodyChunk::Kind::End ? to->finish() : to->cut();
            return;
        }
        BodyPipe &sink = *to;
        sink.write(std::move(chunk.bytes),
                   [from, to](bool open) { open ? relayNext(from, to) : from->abandon(); });
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

BodyPipePtr pipeOf(Executor &executor, std::string beginning, BodyPipePtr rest)
{
    auto pipe = std::make_shared<BodyPipe>(executor);
    BodyPipe &sink = *pipe;
    sink.write(std::move(beginning), [pipe, rest = std::move(rest)](bool open) {
        open ? relayNext(rest, pipe) : rest->abandon();
    });
    return pipe;
}

} // namespace Coltsfootwell
