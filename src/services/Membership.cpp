#include "services/Membership.h"

#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>

#include <array>
#include <map>

namespace Coltsfootwell {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

constexpr std::chrono::milliseconds AnnouncePeriod {200};
constexpr std::size_t MaxDatagramBytes = 1200;

json::object objectOf(const Member &member)
{
    return {{"name", member.id.name},
            {"incarnation", member.id.incarnation},
            {"sequence", member.sequence},
            {"address", member.endpoint.address},
            {"port", member.endpoint.port},
            {"region", member.region},
            {"dataCentre", member.dataCentre},
            {"service", member.service},
            {"backend", static_cast<int>(member.backend)},
            {"slots", member.slots},
            {"leaving", member.leaving}};
}

std::optional<Member> memberOf(std::string_view text)
{
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        Member member;
        member.id = {json::value_to<std::string>(value.at("name")),
                     value.at("incarnation").to_number<Incarnation>()};
        member.sequence = value.at("sequence").to_number<std::uint64_t>();
        member.endpoint = {json::value_to<std::string>(value.at("address")),
                           value.at("port").to_number<std::uint16_t>()};
        member.region = json::value_to<std::string>(value.at("region"));
        member.dataCentre = json::value_to<std::string>(value.at("dataCentre"));
        member.service = json::value_to<std::string>(value.at("service"));
        member.backend = static_cast<BackendState>(value.at("backend").to_number<std::uint8_t>());
        member.slots = value.at("slots").to_number<std::uint32_t>();
        member.leaving = value.at("leaving").as_bool();
        return member;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

class Membership final : public Service
{
public:
    Membership(Kernel &kernel, asio::io_context &context, MembershipSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)), m_socket(context),
          m_mailbox(kernel.executor(), [this](MembershipMessage message) {
              std::visit([this](auto &&body) { handle(std::move(body)); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        m_members[m_settings.self.id.name] = m_settings.self;
    }

    std::string_view name() const override { return ServiceName::Membership; }

    std::error_code start() override
    {
        boost::system::error_code ec;
        const Endpoint &listen = m_settings.self.endpoint;
        const auto address = asio::ip::make_address(listen.address, ec);
        if (ec) {
            return ServiceError::BadAddress;
        }
        const udp::endpoint endpoint(address, listen.port);
        m_socket.open(endpoint.protocol(), ec);
        m_socket.bind(endpoint, ec);
        if (ec) {
            return ServiceError::AddressInUse;
        }
        receive();
        announce();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_timer);
        boost::system::error_code ec;
        m_socket.close(ec);
        done();
    }

private:
    void handle(SubscribeMembers subscribe)
    {
        m_subscribers.push_back(subscribe.subscriber);
        publish();
    }

    void handle(BackendChanged changed)
    {
        Member &self = m_members[m_settings.self.id.name];
        self.service = changed.service;
        self.backend = changed.state;
        self.slots = changed.slots;
        ++self.sequence;
        publish();
    }

    void handle(LogEvidence) { }
    void handle(SeedsLearned) { }
    void handle(CrossRegionActive) { }

    void handle(AnnounceLeaving)
    {
        Member &self = m_members[m_settings.self.id.name];
        self.leaving = true;
        ++self.sequence;
        publish();
    }

    void publish()
    {
        auto members = std::make_shared<std::vector<Member>>();
        for (const auto &[id, member] : m_members) {
            members->push_back(member);
        }
        for (const auto &subscriber : m_subscribers) {
            subscriber.send(MembersChanged {members});
        }
    }

    void announce()
    {
        const std::string text = json::serialize(objectOf(m_members[m_settings.self.id.name]));
        for (const Endpoint &seed : m_settings.seeds) {
            boost::system::error_code ec;
            const udp::endpoint target(asio::ip::make_address(seed.address, ec), seed.port);
            m_socket.send_to(asio::buffer(text), target, 0, ec);
        }
        m_timer = m_kernel.executor().after(AnnouncePeriod, [this] { announce(); });
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender, [this](boost::system::error_code ec, std::size_t n) {
                if (ec == asio::error::operation_aborted) {
                    return;
                }
                if (const auto member = memberOf({m_buffer.data(), n}); !ec && member) {
                    merge(*member);
                }
                receive();
            });
    }

    void merge(const Member &member)
    {
        Member &known = m_members[member.id.name];
        const bool newer = std::pair(member.id.incarnation, member.sequence)
            > std::pair(known.id.incarnation, known.sequence);
        if (newer || known.id.name.empty()) {
            known = member;
            publish();
        }
    }

    Kernel &m_kernel;
    MembershipSettings m_settings;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, MaxDatagramBytes> m_buffer {};
    std::map<std::string, Member> m_members;
    std::vector<Address<MembersChanged>> m_subscribers;
    TimerId m_timer = 0;
    Mailbox<MembershipMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeMembership(Kernel &kernel, asio::io_context &context,
                                        MembershipSettings settings)
{
    return std::make_unique<Membership>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
