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
                    [this](ControlRequest request) { handleAnnouncement(std::move(request)); })
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
    void handleAnnouncement(ControlRequest request)
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
        // Each "ready" announcement counts as a new process; "draining" refers to the last one.
        if (announcement.state == AnnouncedState::Ready) {
            ++m_startCount;
        }
        heartbeat.instance = std::to_string(announcement.port) + '/' + std::to_string(m_startCount);
        heartbeat.sequence = ++m_sequence;
        heartbeat.state = announcement.state;
        heartbeat.service = announcement.service;
        heartbeat.address = m_address + ':' + std::to_string(announcement.port);
        heartbeat.slots = announcement.slots;
        if (announcement.connections > 0) {
            // Each call in flight takes one connection, and one is reserved for health probes.
            heartbeat.slots = std::min(heartbeat.slots, std::max(1U, announcement.connections - 1));
        }
        heartbeat.coldRemaining = InitialColdTime;
        message.acknowledged
            = Reply<bool>(m_kernel.executor(), [reply = request.reply](std::optional<bool> done) {
                  reply(done.value_or(false) ? ControlAnswer {}
                                             : ControlAnswer {503, "application/json", "{}"});
              });
        m_registration.send(std::move(message));
    }

    /// Time for which an announced server counts as cold, until its load endpoint reports
    /// otherwise.
    static constexpr std::chrono::milliseconds InitialColdTime {1000};

    Kernel &m_kernel;
    std::string m_address;
    std::uint64_t m_startCount = 0;
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
