#include "store/learned_state_store.hpp"

#include <sodium.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "history/digest.hpp"

namespace violetpulley::store {

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kMaxPieces = 6;
constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
const std::string kHead = kLearnedStatePrefix + "head";

std::string piece_key(const std::string& slot, std::size_t number) {
  return kLearnedStatePrefix + slot + "/" + std::to_string(number);
}

std::string to_base64(std::string_view bytes) {
  std::string out(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  out.pop_back();
  return out;
}

std::optional<std::string> from_base64(const std::string& text) {
  std::string out(text.size(), '\0');
  std::size_t length = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
                        text.size(), nullptr, &length, nullptr, kVariant) != 0)
    return std::nullopt;
  out.resize(length);
  return out;
}

// Signs the set with its token, so that a set of another leader cannot take its place.
std::string tag_of(const std::string& bytes, core::FencingToken token,
                   const LearnedStateSettings& settings) {
  if (!settings.key) return "";
  history::Chain chain(settings.key);
  chain.extend(std::to_string(token));
  return to_base64(history::text_of(chain.extend(bytes)));
}

// What is worth least goes first: jobs of which only the time is known, which the job itself tells
// nearly as well.
void shorten(core::LearnedState& learned_state) {
  const auto plain = [](const core::LearnedJob& job) {
    return job.saved.empty() && job.failed_on.empty() && job.failures == 0;
  };
  const auto kept = std::stable_partition(learned_state.jobs.begin(), learned_state.jobs.end(),
                                          [&](const auto& job) { return !plain(job); });
  if (kept != learned_state.jobs.end())
    learned_state.jobs.erase(kept, learned_state.jobs.end());
  else
    learned_state.jobs.resize(learned_state.jobs.size() / 2);
}

}  // namespace

LearnedStateWrites encode_learned_state(const core::LearnedState& learned_state,
                                        const std::string& slot, core::FencingToken token,
                                        const LearnedStateSettings& settings) {
  auto bytes = history::packed(learned_state);
  const auto piece = settings.value_bytes * 3 / 4;
  if (bytes.size() > piece * kMaxPieces) {
    auto shorter = learned_state;
    while (bytes.size() > piece * kMaxPieces && !shorter.jobs.empty()) {
      shorten(shorter);
      bytes = history::packed(shorter);
    }
  }
  LearnedStateWrites out;
  for (std::size_t at = 0; at < bytes.size(); at += piece)
    out.pieces.push_back({piece_key(slot, out.pieces.size()),
                          Json(to_base64(std::string_view(bytes).substr(at, piece))),
                          std::nullopt});
  out.head = {kHead,
              Json{{"v", kVersion},
                   {"slot", slot},
                   {"chunks", out.pieces.size()},
                   {"sum", history::hex(history::Digest::of_bytes(bytes))},
                   {"tag", tag_of(bytes, token, settings)},
                   {"token", token}},
              std::nullopt};
  return out;
}

DecodedLearnedState decode_learned_state(const std::vector<Item>& items,
                                         const LearnedStateSettings& settings,
                                         core::WallTime wall) {
  DecodedLearnedState out;
  std::map<std::string, const Json*> values;
  for (const auto& item : items) values[item.key] = &item.value;
  const auto head = values.find(kHead);
  if (head == values.end()) return out;
  try {
    const auto& fields = *head->second;
    const auto version = fields.at("v").get<int>();
    if (version != kVersion) {
      out.problem = "version " + std::to_string(version) + " is unknown";
      return out;
    }
    out.slot = fields.at("slot").get<std::string>();
    std::string bytes;
    const auto pieces = fields.at("chunks").get<std::size_t>();
    for (std::size_t i = 0; i < pieces; ++i) {
      const auto found = values.find(piece_key(out.slot, i));
      const auto part =
          found == values.end() ? std::nullopt : from_base64(found->second->get<std::string>());
      if (!part) {
        out.problem = piece_key(out.slot, i) + " is missing or no base64";
        return out;
      }
      bytes += *part;
    }
    if (history::hex(history::Digest::of_bytes(bytes)) != fields.at("sum").get<std::string>())
      out.problem = "the checksum is wrong";
    else if (settings.key && tag_of(bytes, fields.at("token").get<core::FencingToken>(),
                                    settings) != fields.at("tag").get<std::string>())
      out.problem = "the MAC is wrong";
    if (!out.problem.empty()) return out;
    out.learned_state = history::unpacked<core::LearnedState>(bytes);
  } catch (const std::exception& problem) {
    out.problem = problem.what();
    return out;
  }
  if (out.learned_state->elapsed(wall) > settings.max_age) {
    out.problem = "too old";
    out.learned_state.reset();
  }
  return out;
}

void LearnedStateStore::load(core::WallTime wall,
                             std::function<void(std::optional<core::LearnedState>)> done) {
  store_.list(kLearnedStatePrefix, Urgency::safety,
              [this, wall, alive = alive_, done = std::move(done)](ListResult result) {
                if (!*alive) return;
                if (result.outcome != Outcome::ok) {
                  spdlog::warn("beliefs of the last leader could not be read");
                  return done(std::nullopt);
                }
                auto decoded = decode_learned_state(result.items, settings_, wall);
                if (!decoded.problem.empty())
                  spdlog::error("beliefs of the last leader are not used: {}", decoded.problem);
                if (!decoded.slot.empty()) slot_ = decoded.slot;
                done(std::move(decoded.learned_state));
              });
}

bool LearnedStateStore::due(core::TimePoint now) const {
  if (in_flight_ || !store_.idle()) return false;
  return !last_ || now - *last_ >= core::to_duration(settings_.every);
}

void LearnedStateStore::save(const core::LearnedState& learned_state, core::TimePoint now) {
  last_ = now;
  in_flight_ = true;
  slot_ = slot_ == "a" ? "b" : "a";
  send(std::make_shared<LearnedStateWrites>(
           encode_learned_state(learned_state, slot_, token_, settings_)),
       0);
}

// A piece a transaction: they are small changes that anything else may come between. The head last.
void LearnedStateStore::send(std::shared_ptr<LearnedStateWrites> writes, std::size_t from) {
  const bool head = from == writes->pieces.size();
  Transaction transaction{{}, {head ? writes->head : writes->pieces[from]}};
  writer_.commit(std::move(transaction),
                 [this, writes, from, head, alive = alive_](const TransactionResult& result) {
                   if (!*alive) return;
                   // The old set stays the newest; another one is written when the next is due. A
                   // piece without an answer may be applied late, over the slot's next set: its
                   // checksum then tells.
                   if (head || result.outcome != Outcome::ok) {
                     in_flight_ = false;
                     return;
                   }
                   send(writes, from + 1);
                 });
}

}  // namespace violetpulley::store
