#include "services/DaemonList.h"

#include "services/ConfigurationMessages.h"
#include "services/ControlMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "wire/DaemonListJson.h"
#include "wire/StatusJson.h"

namespace Coltsfootwell {

namespace {

class DaemonList final : public Service
{
public:
    DaemonList(Kernel &kernel, Locality locality)
        : m_kernel(kernel), m_locality(std::move(locality)),
          m_membersMailbox(
              kernel.executor(),
              [this](MembersChanged message) { m_members = std::move(message.members); }),
          m_configurationMailbox(
              kernel.executor(),
              [this](ConfigurationChanged message) { m_active = std::move(message); }),
          m_daemonsMailbox(kernel.executor(),
                           [this](ControlRequest request) { answerDaemons(request); }),
          m_healthMailbox(kernel.executor(),
                          [this](ControlRequest request) { answerHealth(request); }),
          m_statusMailbox(kernel.executor(),
                          [this](ControlRequest request) { answerStatus(request); }),
          m_stopMailbox(kernel.executor(),
                        [this](StopPhaseChanged message) { m_phase = message.phase; })
    {
        kernel.directory().publish(ServiceName::control("status"), m_statusMailbox.address());
        kernel.directory().publish(ServiceName::stopping(name()), m_stopMailbox.address());
        kernel.directory().publish(ServiceName::control("ready"), m_healthMailbox.address());
        kernel.directory().publish(ServiceName::control("daemons"), m_daemonsMailbox.address());
        kernel.directory().publish(ServiceName::control("health"), m_healthMailbox.address());
    }

    std::string_view name() const override { return ServiceName::DaemonList; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        directory.find<MembershipMessage>(ServiceName::Membership, ec)
            .send(SubscribeMembers {m_membersMailbox.address()});
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeConfiguration {m_configurationMailbox.address()});
        }
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override { done(); }

private:
    void answerDaemons(const ControlRequest &request)
    {
        const std::span<const Member> members
            = m_members ? std::span<const Member>(*m_members) : std::span<const Member>();
        request.reply(ControlAnswer {200, "application/json",
                                     encodeDaemonList(members, m_active.configuration.get())});
    }

    void answerHealth(const ControlRequest &request)
    {
        request.reply(ControlAnswer {isReady() ? 200U : 503U, "application/json",
                                     isReady() ? R"({"ready":true})" : R"({"ready":false})"});
    }

    void answerStatus(const ControlRequest &request)
    {
        DaemonStatus status {m_locality.self, m_locality.region, m_locality.dataCentre, 0,
                             isReady()};
        status.version = m_active.configuration ? m_active.configuration->version : 0;
        request.reply(ControlAnswer {200, "application/json", encodeStatus(status)});
    }

    bool isReady() const { return m_active.configuration && m_phase == StopPhase::Running; }

    Kernel &m_kernel;
    Locality m_locality;
    std::shared_ptr<const std::vector<Member>> m_members;
    ConfigurationChanged m_active;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ConfigurationChanged> m_configurationMailbox;
    Mailbox<ControlRequest> m_daemonsMailbox;
    Mailbox<ControlRequest> m_healthMailbox;
    Mailbox<ControlRequest> m_statusMailbox;
    Mailbox<StopPhaseChanged> m_stopMailbox;
    StopPhase m_phase = StopPhase::Running;
};

} // namespace

std::unique_ptr<Service> makeDaemonList(Kernel &kernel, Locality locality)
{
    return std::make_unique<DaemonList>(kernel, std::move(locality));
}

} // namespace Coltsfootwell
