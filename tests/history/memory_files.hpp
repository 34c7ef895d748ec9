/// @file
/// An in-memory directory that can fail at any call and simulate a power cut. A power cut can lose
/// unsynced bytes page by page, and unsynced changes of file names from some change on. Owns the
/// current and the durable content of the files.
#pragma once

#include <cerrno>
#include <functional>
#include <memory>
#include <random>

#include "history/files.hpp"

namespace violetpulley::history {

class MemoryFiles : public Files {
 public:
  static constexpr std::size_t kPage = 512;

  std::vector<std::string> list() override {
    count_call();
    std::vector<std::string> out;
    for (const auto& [name, file] : names_) out.push_back(name);
    return out;
  }
  std::string read(const std::string& name) override {
    count_call();
    return find(name).bytes;
  }
  std::string read(const std::string& name, std::size_t from, std::size_t max_bytes) override {
    count_call();
    const auto& bytes = find(name).bytes;
    return from >= bytes.size() ? "" : bytes.substr(from, max_bytes);
  }
  void append(const std::string& name, std::string_view bytes) override {
    if (count_call_and_check_failure()) {
      find_or_create(name).bytes.append(bytes.substr(0, bytes.size() / 2));  // a partial write
      fail();
    }
    if (free_bytes_ && bytes.size() > *free_bytes_)
      throw FileError({ENOSPC, std::generic_category()}, name);
    if (free_bytes_) *free_bytes_ -= bytes.size();
    find_or_create(name).bytes.append(bytes);
  }
  void sync(const std::string& name) override {
    count_call();
    find(name).durable = find(name).bytes;
  }
  void rename(const std::string& from, const std::string& to) override {
    count_call();
    const auto file = names_.at(from);
    apply_name_change([=](Names& names) {
      names.erase(from);
      names[to] = file;
    });
  }
  void remove(const std::string& name) override {
    count_call();
    apply_name_change([=](Names& names) { names.erase(name); });
  }
  void sync_directory() override {
    count_call();
    durable_names_ = names_;
    changes_.clear();
  }

  // Makes the n-th call from now, counted from 1, and all later calls fail, as if the process had
  // been killed.
  void fail_at(std::size_t n) { fails_at_ = calls_ + n; }
  std::size_t calls() const { return calls_; }
  void set_free_bytes(std::size_t bytes) { free_bytes_ = bytes; }

  // Simulates a restart of the process: calls succeed again, and all written bytes remain.
  void restart() { fails_at_ = 0; }
  // Simulates a power cut: unsynced bytes and changes of names may be lost.
  void power_cut(std::mt19937_64& random) {
    restart();
    auto names = durable_names_;
    const auto kept_changes = random() % (changes_.size() + 1);
    for (std::size_t i = 0; i < kept_changes; ++i) changes_[i](names);
    names_ = names;
    for (auto& [name, file] : names_) {
      const auto& durable = file->durable;
      auto bytes = file->bytes;
      // The file may have any length it had since the last sync, and any unsynced page of it may
      // be zero.
      bytes.resize(durable.size() + random() % (bytes.size() - durable.size() + 1));
      for (std::size_t at = 0; at < bytes.size(); ++at)
        if (at >= durable.size() && (at / kPage * 2654435761U ^ page_salt_) % 3 == 0)
          bytes[at] = '\0';
      file->bytes = bytes;
      file->durable = bytes;
    }
    page_salt_ = random();
    durable_names_ = names_;
    changes_.clear();
  }

  std::string& bytes(const std::string& name) { return find(name).bytes; }
  std::map<std::string, std::string> snapshot() const {
    std::map<std::string, std::string> out;
    for (const auto& [name, file] : names_) out[name] = file->bytes;
    return out;
  }
  void put(const std::map<std::string, std::string>& files) {
    names_.clear();
    for (const auto& [name, bytes] : files)
      names_[name] = std::make_shared<File>(File{bytes, bytes});
    durable_names_ = names_;
    changes_.clear();
  }

 private:
  struct File {
    std::string bytes;
    std::string durable;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  bool count_call_and_check_failure() {
    ++calls_;
    return fails_at_ != 0 && calls_ >= fails_at_;
  }
  void count_call() {
    if (count_call_and_check_failure()) fail();
  }
  [[noreturn]] static void fail() { throw FileError({EIO, std::generic_category()}, "crash"); }
  File& find(const std::string& name) {
    const auto found = names_.find(name);
    if (found == names_.end()) throw FileError({ENOENT, std::generic_category()}, name);
    return *found->second;
  }
  File& find_or_create(const std::string& name) {
    if (!names_.contains(name)) {
      const auto file = std::make_shared<File>();
      apply_name_change([=](Names& names) { names[name] = file; });
    }
    return find(name);
  }
  void apply_name_change(std::function<void(Names&)> name_change) {
    name_change(names_);
    changes_.push_back(std::move(name_change));
  }

  Names names_;
  Names durable_names_;
  std::vector<std::function<void(Names&)>> changes_;
  std::size_t calls_ = 0;
  std::size_t fails_at_ = 0;
  std::optional<std::size_t> free_bytes_;
  std::size_t page_salt_ = 1;
};

}  // namespace violetpulley::history
