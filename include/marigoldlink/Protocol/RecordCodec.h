// JSON encoding of the persisted records. Decoders throw Error(Internal) if the value is malformed.
#pragma once

#include "marigoldlink/State/Records.h"

namespace marigoldlink {

std::string encode(const ConfigRecord&);
ConfigRecord decodeConfigRecord(const std::string& key, const std::string& value);

std::string encode(const std::vector<ApiKeyRecord>&);
std::vector<ApiKeyRecord> decodeApiKeyRecords(const std::string& value);

std::string encode(const EscrowRecord&);
EscrowRecord decodeEscrowRecord(const std::string& value);

std::string encode(const MemberRecord&);
MemberRecord decodeMemberRecord(const std::string& value);

std::string encode(const InstanceRecord&);
InstanceRecord decodeInstanceRecord(const std::string& value);

std::string encode(const BudgetRecord&);
BudgetRecord decodeBudgetRecord(const std::string& value);

std::string encode(const CustomerRecord&);
CustomerRecord decodeCustomerRecord(const std::string& value);

std::string encode(const std::vector<ListedInstance>&);
std::vector<ListedInstance> decodeInstanceList(const std::string& value);

} // namespace marigoldlink
