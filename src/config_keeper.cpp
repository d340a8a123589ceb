#include "config_keeper.h"

#include "foreign_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace jasminebank {

using json = nlohmann::json;

static std::string to_cbor_text(const json& it)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

std::string encode_config_request(const config_request& it)
{
    return to_cbor_text(json::array({it.generation, it.documents}));
}

std::optional<config_request> decode_config_request(std::string_view text)
{
    const json in = parse_cbor(text);
    try {
        return config_request{.generation = unsigned_from<std::uint64_t>(in.at(0)),
                              .documents = in.at(1).get<std::vector<std::string>>()};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_config_response(const config_response& it)
{
    return to_cbor_text(json::array({encode_head(it.head), it.documents}));
}

std::optional<config_response> decode_config_response(std::string_view text)
{
    const json in = parse_cbor(text);
    try {
        const auto head = decode_head(in.at(0).get<std::string>());
        if (!head)
            return std::nullopt;
        return config_response{.head = *head,
                               .documents = in.at(1).get<std::vector<std::string>>()};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

// Documents that the new head shares with the generation in force are copied, not collected again.
bool config_keeper::accept_head(const config_head& head)
{
    const std::uint64_t newest =
        std::max({current_ ? current_->head.generation : 0,
                  pending_ ? pending_->head.generation : 0, rejected_generation_});
    if (head.generation <= newest || head.documents.size() != document_count)
        return false;
    std::unordered_map<std::string, const std::string*> known;
    const std::string empty; // empty documents are never sent, so they count as present
    known.emplace(document_name(empty), &empty);
    for (std::size_t n = 0; current_ && n < document_count; ++n)
        known.emplace(current_->head.documents[n], &current_->texts[n]);
    pending_generation fresh{.head = head,
                             .texts = config_texts(document_count),
                             .is_present = std::vector<bool>(document_count, false)};
    for (std::size_t n = 0; n < document_count; ++n) {
        const auto it = known.find(head.documents[n]);
        if (it == known.end())
            continue;
        fresh.texts[n] = *it->second;
        fresh.is_present[n] = true;
    }
    pending_ = std::move(fresh);
    return true;
}

std::vector<std::string> config_keeper::missing_documents() const
{
    std::vector<std::string> out;
    for (std::size_t n = 0; pending_ && n < document_count; ++n) {
        if (!pending_->is_present[n])
            out.push_back(pending_->head.documents[n]);
    }
    return out;
}

void config_keeper::add_document(const std::string& text)
{
    if (!pending_)
        return;
    const std::string name = document_name(text);
    for (std::size_t n = 0; n < document_count; ++n) {
        if (pending_->is_present[n] || pending_->head.documents[n] != name)
            continue;
        pending_->texts[n] = text;
        pending_->is_present[n] = true;
    }
}

// The number of a generation that does not parse is kept, so that it is not fetched repeatedly.
result<std::shared_ptr<const config_generation>, ini_error> config_keeper::activate()
{
    if (!pending_ || !missing_documents().empty())
        return std::shared_ptr<const config_generation>();
    auto config = build_generation(pending_->head, pending_->texts);
    if (failed(config)) {
        rejected_generation_ = pending_->head.generation;
        pending_.reset();
        return error_of(config);
    }
    current_ = std::make_shared<const config_generation>(
        config_generation{.head = std::move(pending_->head),
                          .texts = std::move(pending_->texts),
                          .config = std::move(value_of(config))});
    pending_.reset();
    return current_;
}

config_request config_keeper::make_request() const
{
    config_request out{.generation = current_ ? current_->head.generation : 0, .documents = {}};
    if (pending_) {
        for (std::size_t n = 0; n < document_count; ++n) {
            if (pending_->is_present[n])
                out.documents.push_back(pending_->head.documents[n]);
        }
    }
    else if (current_) {
        out.documents = current_->head.documents;
    }
    return out;
}

config_response config_keeper::make_response(const config_request& request, std::size_t limit) const
{
    config_response out;
    if (!current_ || current_->head.generation <= request.generation)
        return out;
    out.head = current_->head;
    const std::unordered_set<std::string> known(request.documents.begin(), request.documents.end());
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < document_count; ++n) {
        const std::string& text = current_->texts[n];
        if (text.empty() || known.contains(current_->head.documents[n]))
            continue;
        if (!out.documents.empty() && bytes + text.size() > limit)
            break;
        bytes += text.size();
        out.documents.push_back(text);
    }
    return out;
}

} // namespace jasminebank
