#include "services/Announcements.h"

#include "services/BackendMessages.h"
#include "services/ControlMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "wire/AnnouncementJson.h"

namespace Coltsfootwell {

namespace {

class Announcements final : public Service
{
public:
    Announcements(Kernel &kernel, std::string address)
        : m_kernel(kernel), m_address(std::move(address)),
          m_mailbox(kernel.executor(),
                    [this](ControlRequest request) { announced(std::move(request)); })
    {
        kernel.directory().publish(ServiceName::control("announce"), m_mailbox.address());
    }

    std::string_view name() const override { return "announcements"; }

    std::error_code start() override
    {
        std::error_code ec;
        m_registration
            = m_kernel.directory().find<RegistrationMessage>(ServiceName::Registration, ec);
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override { done(); }

private:
    void announced(ControlRequest request)
    {
        JsonFault fault;
        std::error_code ec;
        const BackendAnnouncement announcement = decodeAnnouncement(request.body, fault, ec);
        if (ec) {
            request.reply(ControlAnswer {400, "application/json", encodeFault(fault)});
            return;
        }
        HeartbeatReceived message;
        BackendHeartbeat &heartbeat = message.heartbeat;
        // An announced server starts anew; only its end belongs to the process before.
        if (announcement.state == AnnouncedState::Ready) {
            ++m_starts;
        }
        heartbeat.instance = std::to_string(announcement.port) + '/' + std::to_string(m_starts);
        heartbeat.sequence = ++m_sequence;
        heartbeat.state = announcement.state;
        heartbeat.service = announcement.service;
        heartbeat.address = m_address + ':' + std::to_string(announcement.port);
        heartbeat.slots = announcement.slots;
        if (announcement.connections > 0) {
            // Each call in progress has one connection, and one is kept for probes.
            heartbeat.slots = std::min(heartbeat.slots, std::max(1U, announcement.connections - 1));
        }
        heartbeat.coldRemaining = StartsCold;
        message.acknowledged
            = Reply<bool>(m_kernel.executor(), [reply = request.reply](std::optional<bool> done) {
                  reply(done.value_or(false) ? ControlAnswer {}
                                             : ControlAnswer {503, "application/json", "{}"});
              });
        m_registration.send(std::move(message));
    }

    /// A server that has just started counts as cold until its load endpoint says otherwise.
    static constexpr std::chrono::milliseconds StartsCold {1000};

    Kernel &m_kernel;
    std::string m_address;
    std::uint64_t m_starts = 0;
    std::uint64_t m_sequence = 0;
    Address<RegistrationMessage> m_registration;
    Mailbox<ControlRequest> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeAnnouncements(Kernel &kernel, std::string address)
{
    return std::make_unique<Announcements>(kernel, std::move(address));
}

} // namespace Coltsfootwell
