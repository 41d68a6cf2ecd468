// Salted SHA-256 hashes of keys, compared in constant time.
#include "marigoldlink/Coordination/ApiKeyStore.h"

#include "marigoldlink/State/Errors.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace marigoldlink {

namespace {

    constexpr std::size_t s_idBytes = 8;
    constexpr std::size_t s_saltBytes = 16;
    constexpr std::size_t s_secretBytes = 24;

    std::string toHex(const unsigned char* bytes, std::size_t size)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string text;
        for (std::size_t i = 0; i < size; ++i) {
            text += digits[bytes[i] >> 4];
            text += digits[bytes[i] & 15];
        }
        return text;
    }

    std::string randomHex(std::size_t size)
    {
        std::array<unsigned char, 64> bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(size)) != 1)
            throw Error(ErrorKind::Internal, "the random number generator failed");
        return toHex(bytes.data(), size);
    }

    std::string hashOf(const std::string& salt, std::string_view secret)
    {
        const auto salted = salt + std::string(secret);
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(), digest.data());
        return toHex(digest.data(), digest.size());
    }

} // namespace

void ApiKeyStore::replace(const TeamId& team, const std::vector<ApiKeyRecord>& keyRecords)
{
    std::erase_if(m_keys, [&team](const auto& item) { return item.second.team == team; });
    for (const auto& keyRecord : keyRecords)
        m_keys.insert_or_assign(keyRecord.id, Entry { team, keyRecord });
}

std::optional<TeamId> ApiKeyStore::authenticate(std::string_view presented) const
{
    const auto dot = presented.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto found = m_keys.find(KeyId(std::string(presented.substr(0, dot))));
    if (found == m_keys.end())
        return std::nullopt;
    const auto& [team, keyRecord] = found->second;
    const auto hash = hashOf(keyRecord.salt, presented.substr(dot + 1));
    if (hash.size() != keyRecord.hash.size() || CRYPTO_memcmp(hash.data(), keyRecord.hash.data(), hash.size()) != 0)
        return std::nullopt;
    return team;
}

NewKey createKey()
{
    const auto secret = randomHex(s_secretBytes);
    ApiKeyRecord keyRecord { KeyId(randomHex(s_idBytes)), randomHex(s_saltBytes), {} };
    keyRecord.hash = hashOf(keyRecord.salt, secret);
    return { keyRecord, keyRecord.id.value() + "." + secret };
}

} // namespace marigoldlink
