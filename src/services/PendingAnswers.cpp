#include "services/PendingAnswers.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell::Internal {

std::shared_ptr<Exchange> PendingAnswers::takeAnswered()
{
    if (m_exchanges.empty() || !m_exchanges.front()->isAnswered()) {
        return nullptr;
    }
    std::shared_ptr<Exchange> exchange = std::move(m_exchanges.front());
    m_exchanges.pop_front();
    return exchange;
}

void PendingAnswers::forEachHeld(const std::function<void(const HeldAnswer &)> &visit) const
{
    for (const auto &exchange : m_exchanges) {
        if (exchange->held.bytes > 0) {
            visit(exchange->held);
        }
    }
}

void PendingAnswers::cancelAll(const Address<CallsMessage> &calls)
{
    cancelUnanswered(calls);
    m_exchanges.clear();
}

void PendingAnswers::cancelUnanswered(const Address<CallsMessage> &calls)
{
    const auto first = std::ranges::find_if_not(
        m_exchanges, &Exchange::isAnswered,
        [](const auto &exchange) -> const Exchange & { return *exchange; });
    for (auto it = first; it != m_exchanges.end(); ++it) {
        if (!(*it)->isAnswered() && (*it)->number != 0) {
            calls.send(CancelCall {(*it)->number});
        }
    }
    m_exchanges.erase(first, m_exchanges.end());
}

} // namespace Coltsfootwell::Internal
