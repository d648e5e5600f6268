// Which member function of a receiver handles which type of frame.
#pragma once

#include "wire/LinkFrame.h"

#include <array>
#include <cstddef>
#include <type_traits>
#include <variant>

namespace Coltsfootwell::Internal {

/// \brief Member functions of a receiver by the type of the frame that they handle.
/// \tparam Context further parameters of the member functions, before the frame.
template <typename Receiver, typename... Context>
class FrameTable
{
public:
    using Handler = void (Receiver::*)(Context..., LinkFrame &);

    /// \return this table with a handler for another type of frame.
    template <typename Frame>
    constexpr FrameTable with(Handler handler) const
    {
        FrameTable table = *this;
        table.m_handlers[indexOf<Frame>(static_cast<Body *>(nullptr))] = handler;
        return table;
    }

    /// \brief Calls the handler of a frame.
    /// \return false if there is none for its type.
    bool dispatch(Receiver &receiver, Context... context, LinkFrame &frame) const
    {
        const Handler handler = m_handlers[frame.body.index()];
        if (handler) {
            (receiver.*handler)(context..., frame);
        }
        return handler != nullptr;
    }

private:
    using Body = decltype(LinkFrame::body);

    template <typename Frame, typename... Frames>
    static constexpr std::size_t indexOf(std::variant<Frames...> *)
    {
        static_assert((std::is_same_v<Frame, Frames> || ...));
        std::size_t i = 0;
        static_cast<void>(((std::is_same_v<Frame, Frames> || (++i, false)) || ...));
        return i;
    }

    std::array<Handler, std::variant_size_v<Body>> m_handlers {};
};

} // namespace Coltsfootwell::Internal
