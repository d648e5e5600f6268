#include "services/AnswerMemory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace Coltsfootwell {

AnswerMemory::AnswerMemory(boost::asio::io_context &context, const AnswerLimits &limits)
    : m_context(context), m_budget(limits), m_timer(context)
{
}

std::shared_ptr<void> AnswerMemory::answerCompleted(std::uint64_t answer, std::size_t bytes)
{
    m_budget.answerCompleted(answer, bytes);
    released();
    // The pointer only tells that memory is held.
    return {this, [weak = weak_from_this(), bytes](void *) {
                if (const auto memory = weak.lock()) {
                    memory->m_budget.release(bytes);
                    memory->released();
                }
            }};
}

void AnswerMemory::answerEnded(std::uint64_t answer)
{
    m_budget.answerEnded(answer);
    released();
}

std::shared_ptr<void> AnswerMemory::tryTake(std::size_t bytes)
{
    const std::uint64_t answer = answerStarted();
    if (!m_budget.tryGrow(answer, bytes, bytes)) {
        m_budget.answerEnded(answer);
        return nullptr;
    }
    return answerCompleted(answer, bytes);
}

void AnswerMemory::waitForRelease(std::size_t bytes, Task task)
{
    m_waiting.push_back({bytes, std::move(task)});
    armTimer();
}

void AnswerMemory::released()
{
    // Tasks are posted, since memory may be released while their owners are being changed.
    for (Waiting &waiting : std::exchange(m_waiting, {})) {
        boost::asio::post(m_context, std::move(waiting.task));
    }
}

void AnswerMemory::armTimer()
{
    if (std::exchange(m_timerArmed, true)) {
        return;
    }
    m_timer.expires_after(ShortageInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (ec || !self) {
            return;
        }
        self->m_timerArmed = false;
        for (const AnswerSize size : {AnswerSize::Short, AnswerSize::Long}) {
            std::size_t bytes = 0;
            for (const Waiting &waiting : self->m_waiting) {
                bytes += answerSize(waiting.bytes) == size ? waiting.bytes : 0;
            }
            if (bytes > 0 && self->m_onShortage) {
                self->m_onShortage(size, bytes);
            }
        }
        // Those that still need memory wait again.
        self->released();
    });
}

BodyPtr makeHeldBody(std::string bytes, std::shared_ptr<void> memory)
{
    struct HeldBody
    {
        std::string bytes;
        std::shared_ptr<void> memory;
    };
    const auto body = std::make_shared<HeldBody>(HeldBody {std::move(bytes), std::move(memory)});
    return BodyPtr(body, &body->bytes);
}

} // namespace Coltsfootwell
