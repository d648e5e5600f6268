#include "standin/StoreModel.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace Coltsfootwell::Standin {

namespace {

/// Size of the length prefix of a record.
constexpr std::size_t LengthBytes = 4;

} // namespace

bool StoreModel::append(const std::string &topicName, std::string_view body)
{
    std::vector<std::string> contents;
    while (!body.empty()) {
        if (body.size() < LengthBytes) {
            return false;
        }
        const std::size_t size
            = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(body.data()));
        if (body.size() - LengthBytes < size || size == 0) {
            return false;
        }
        contents.emplace_back(body.substr(LengthBytes, size));
        body.remove_prefix(LengthBytes + size);
    }
    Topic &target = topic(topicName);
    for (std::string &content : contents) {
        const std::string key = keyOf(content);
        if (valueOf(content).empty()) {
            target.newestOffsets.erase(key);
        } else {
            target.newestOffsets[key] = target.end();
        }
        target.records.push_back(std::move(content));
    }
    return true;
}

void StoreModel::discardHistory()
{
    for (auto &[name, topic] : m_topics) {
        topic.firstOffset = topic.end();
    }
}

void StoreModel::trim(const std::string &topic, std::uint64_t before)
{
    Topic &target = m_topics[topic];
    target.firstOffset = std::clamp(before, target.firstOffset, target.end());
}

bool StoreModel::restoreCopy()
{
    if (!m_copy) {
        return false;
    }
    m_topics = *m_copy;
    ++m_epoch;
    return true;
}

std::string StoreModel::keyOf(std::string_view content)
{
    const std::size_t bytes = static_cast<unsigned char>(content.front());
    return std::string(content.substr(1, bytes));
}

std::string_view StoreModel::valueOf(std::string_view content)
{
    const std::size_t bytes = static_cast<unsigned char>(content.front());
    return content.substr(std::min(1 + bytes, content.size()));
}

} // namespace Coltsfootwell::Standin
