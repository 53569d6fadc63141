#include "follower_testbed.h"

#include <algorithm>

namespace lichenlug::configuration {

FollowerTestbed::FollowerTestbed(std::size_t count, std::size_t zones, std::uint64_t seed) : random_(seed) {
  for (std::size_t i = 0; i < count; ++i) {
    Member member;
    member.name = "node-" + std::to_string(i);
    member.address = "10.0.0." + std::to_string(i) + ":7000";
    member.zone = "zone-" + std::to_string(i % zones);
    member.counts_for_quorum = i < 5;
    members_.push_back(member);
  }
  followers_.resize(count);
  links_.resize(count);
  revisions_.resize(count);
  for (std::size_t i = 0; i < count; ++i) Restart(i);
}

void FollowerTestbed::Restart(std::size_t node) {
  dead_.erase(node);
  FollowerSettings settings;
  settings.self_name = members_[node].name;
  settings.zone = members_[node].zone;
  settings.seed = random_();
  followers_[node] = std::make_unique<Follower>(settings);
  revisions_[node] = 0;
  std::vector<Member> others = members_;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(node));
  followers_[node]->SetMembers(now, others);
}

messages::ConfigurationState FollowerTestbed::MakeVersion(const Json& configuration) {
  messages::ConfigurationState state;
  state.set_edition(configuration["edition"].get<std::int64_t>());
  state.set_revision(versions_.size() + 1);
  state.set_json(configuration.dump());
  versions_.push_back(state);
  return state;
}

void FollowerTestbed::Learn(std::size_t node, const messages::ConfigurationState& state, bool push) {
  FollowerOutput output;
  followers_[node]->Learn(now, state, push, &output);
  HandleOutput(node, output);
}

void FollowerTestbed::HandleOutput(std::size_t node, const FollowerOutput& output) {
  for (const auto& send : output.sends) Send(node, send);
  const auto* version = followers_[node]->Current();
  if (!version) return;
  if (version->revision < revisions_[node] || (output.installed && version->revision == revisions_[node])) {
    reverted = members_[node].name;
  }
  revisions_[node] = version->revision;
  if (!output.installed) return;
  const bool known = version->revision >= 1 && version->revision <= versions_.size();
  if (!known || versions_[version->revision - 1].json() != version->json) mismatched = members_[node].name;
}

void FollowerTestbed::Send(std::size_t from, const DistributionSend& send) {
  const std::size_t to = Find(send.address);
  std::string text = send.message.SerializeAsString();
  bytes += text.size();
  if (send.message.has_push()) ++pushes;
  const bool faulty = ++messages == faulty_message;
  const int copies =
      Chance(faults.duplicated) || (faulty && message_fault == MessageFault::kDuplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (Chance(faults.lost) || (faulty && message_fault == MessageFault::kLose)) continue;
    Time after = faults.delay + std::uniform_int_distribution<Time>(0, faults.max_extra_delay)(random_);
    if (faulty && message_fault == MessageFault::kDelay) after += 5 * kSecond;
    const bool damaged = Chance(faults.damaged) || (faulty && message_fault == MessageFault::kDamage);
    deliveries_.emplace(Arrival(from, to, text.size(), after),
                        Delivery{from, to, damaged ? WithFlippedBit(text) : text});
  }
}

Time FollowerTestbed::Arrival(std::size_t from, std::size_t to, std::size_t size, Time delay) {
  const auto send = [size](Link* link, Time* until, Time begin) {
    if (link->speed <= 0) return begin;
    const auto takes = static_cast<Time>(static_cast<double>(size) / link->speed);
    return *until = std::max(*until, begin) + takes;
  };
  const Time reached = send(&links_[from], &links_[from].send_busy_until, now) + delay;
  return send(&links_[to], &links_[to].receive_busy_until, reached);
}

std::string FollowerTestbed::WithFlippedBit(std::string text) {
  if (text.empty()) return text;
  const auto place = std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random_);
  text[place] = static_cast<char>(text[place] ^ (1 << (random_() % 8)));
  return text;
}

void FollowerTestbed::Deliver(const Delivery& delivery) {
  messages::DistributionMessage message;
  if (Dead(delivery.to) || Dead(delivery.from) || !message.ParseFromString(delivery.bytes)) return;
  FollowerOutput output;
  followers_[delivery.to]->Receive(now, members_[delivery.from].address, message, &output);
  HandleOutput(delivery.to, output);
}

void FollowerTestbed::Step(Time until) {
  Time next = until;
  if (!deliveries_.empty()) next = std::min(next, deliveries_.begin()->first);
  for (std::size_t i = 0; i < size(); ++i) {
    const auto timer = followers_[i]->NextTimer();
    if (timer && !Dead(i)) next = std::min(next, *timer);
  }
  now = std::max(now, next);
  while (!deliveries_.empty() && deliveries_.begin()->first <= now) {
    const Delivery delivery = deliveries_.extract(deliveries_.begin()).mapped();
    Deliver(delivery);
  }
  for (std::size_t i = 0; i < size(); ++i) {
    const auto timer = followers_[i]->NextTimer();
    if (Dead(i) || !timer || *timer > now) continue;
    FollowerOutput output;
    followers_[i]->Tick(now, &output);
    HandleOutput(i, output);
  }
}

void FollowerTestbed::Run(Time span) {
  const Time until = now + span;
  while (now < until) Step(until);
}

Time FollowerTestbed::RunUntilAllCurrent(Time limit) {
  const Time start = now;
  while (now < start + limit && !AllCurrent()) Step(start + limit);
  return now - start;
}

bool FollowerTestbed::AllCurrent() const {
  for (std::size_t i = 0; i < size(); ++i) {
    if (!Dead(i) && revisions_[i] != Newest()) return false;
  }
  return true;
}

std::size_t FollowerTestbed::Find(const std::string& address) const {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [&](const Member& member) { return member.address == address; });
  return static_cast<std::size_t>(found - members_.begin());
}

}  // namespace lichenlug::configuration
