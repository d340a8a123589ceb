#include "config_store.h"

namespace jasminebank {

std::string document_key(std::string_view name)
{
    return std::string(config_document_prefix) + std::string(name);
}

} // namespace jasminebank
