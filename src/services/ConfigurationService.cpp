#include "services/ConfigurationService.h"

#include "services/ConfigurationMessages.h"
#include "services/ServiceNames.h"

#include <vector>

namespace Coltsfootwell {

namespace {

class ConfigurationService final : public Service
{
public:
    ConfigurationService(Kernel &kernel, ConfigurationPtr initial)
        : m_configuration(std::move(initial)),
          m_mailbox(kernel.executor(), [this](ConfigurationMessage message) {
              std::visit([this](auto &&body) { handle(std::move(body)); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Configuration; }
    std::error_code start() override { return {}; }
    void stop(Task done) override { done(); }

private:
    void handle(SubscribeConfiguration subscribe)
    {
        m_subscribers.push_back(subscribe.subscriber);
        if (m_configuration) {
            subscribe.subscriber.send(ConfigurationChanged {m_configuration, true});
        }
    }

    void handle(VersionSeen) { }
    void handle(PeerEvidence) { }

    ConfigurationPtr m_configuration;
    std::vector<Address<ConfigurationChanged>> m_subscribers;
    Mailbox<ConfigurationMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeConfigurationService(Kernel &kernel, ConfigurationPtr initial)
{
    return std::make_unique<ConfigurationService>(kernel, std::move(initial));
}

} // namespace Coltsfootwell
