// Experiments: intervals, resuming after a kill at any byte, paired differences, and the page made of them.
#include "lab/experiment/experiment.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/base/random.h"
#include "lab/config/reader.h"
#include "lab/report/report.h"

namespace lichenlug::lab {
namespace {

namespace fs = std::filesystem;

TEST(Bootstrap, HoldsTheTrueMeanAboutAsOftenAsItSays) {
  Random random(3, 3);
  int held = 0;
  for (int i = 0; i < 400; ++i) {
    std::vector<double> values(12);
    for (double& v : values) v = random.Exponential(1) - 1;  // skewed, mean 0
    held += BootstrapMean(values, i, 500).HoldsZero();
  }
  EXPECT_GE(held, 360);
  EXPECT_LE(held, 396);
}

TEST(Bootstrap, ClaimsNothingFromTooFewValues) {
  const double two[] = {1, 1.1};
  EXPECT_TRUE(BootstrapMean(two).HoldsZero());
  const double same[] = {0, 0, 0, 0};
  EXPECT_TRUE(BootstrapMean(same).HoldsZero());
}

class ExperimentTest : public testing::Test {
 protected:
  ExperimentTest()
      : dir(fs::path(testing::TempDir()) / testing::UnitTest::GetInstance()->current_test_info()->name()) {
    fs::remove_all(dir);
    fs::create_directories(dir);
    std::ofstream(dir / "e.toml")
        << "name = \"small\"\ndays = [\"" LAB_DAYS "/slow.toml\", \"" LAB_DAYS
           "/calm.toml\"]\nseeds = 8\n[sweep]\nkey = \"clients.retries\"\nvalues = [0, 2]\n"
           "[[variant]]\npolicy = \"module\"\n[variant.set]\nlength = \"12s\"\n"
           "[[variant]]\npolicy = \"random\"\n[variant.set]\nlength = \"12s\"\n"
           "[[variant]]\nname = \"again\"\n[variant.set]\nlength = \"12s\"\n";
    plan = ReadExperiment((dir / "e.toml").string());
  }
  std::string Text(const fs::path& path) const {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  }
  std::map<std::string, std::string> Digests() const {
    std::map<std::string, std::string> digests;
    for (const auto& r : ReadResults(dir.string())) digests[r["key"]] = r["digest"];
    return digests;
  }
  int PlayAll(std::size_t* played) {
    *played = 0;
    return Play(plan, dir.string(), 2, [&](const Progress&) { ++*played; });
  }
  fs::path dir;
  Experiment plan;
};

TEST_F(ExperimentTest, GoesOnAfterAKillAndLosesAtMostTheRunAtHand) {
  std::size_t played = 0;
  EXPECT_EQ(PlayAll(&played), 0);
  EXPECT_EQ(played, 96u);
  const auto whole = Digests();
  ASSERT_EQ(whole.size(), 96u);
  const std::string text = Text(dir / "results.jsonl");
  for (const std::size_t cut : {text.size() - 1, text.size() / 2, text.size() / 3, std::size_t{0}}) {
    std::ofstream(dir / "results.jsonl") << text.substr(0, cut);
    const std::size_t kept = ReadResults(dir.string()).size();
    PlayAll(&played);
    EXPECT_EQ(played, 96 - kept);
    EXPECT_EQ(Digests(), whole);
  }
}

TEST_F(ExperimentTest, FindsADifferenceWhereThereIsOneAndNoneWhereThereIsNone) {
  std::size_t played = 0;
  PlayAll(&played);
  int checked = 0;
  for (const Difference& d : Compare(plan, ReadResults(dir.string()))) {
    EXPECT_EQ(d.difference.HoldsZero(), d.variant != "random") << d.variant << " " << d.day;
    if (d.variant == "random") {
      EXPECT_LT(d.difference.mean, 0);
    }
    ++checked;
  }
  EXPECT_EQ(checked, 3 * 2 * 3);
  const std::string page = Text(WriteReport(dir.string()));
  for (const char* part :
       {"<svg", "Service over time", "Latency by class", "Load of the boxes", "clients.retries", "worse"})
    EXPECT_NE(page.find(part), std::string::npos) << part;
  EXPECT_EQ(page.find("src="), std::string::npos);
}

TEST_F(ExperimentTest, MixesNoResultsOfAnotherPlan) {
  std::size_t played = 0;
  PlayAll(&played);
  plan.seeds.push_back(99);  // more of the same goes on
  PlayAll(&played);
  EXPECT_EQ(played, 12u);
  std::ofstream(dir / "e.toml", std::ios::app) << "max-attempts = 2\n";  // of the last variant's changes
  plan = ReadExperiment((dir / "e.toml").string());
  EXPECT_THROW(PlayAll(&played), std::runtime_error);
  EXPECT_EQ(ReadResults(dir.string()).size(), 108u);
}

TEST_F(ExperimentTest, TellsAFaultBeforeTheFirstRun) {
  std::ofstream(dir / "bad.toml") << "days = [\"" LAB_DAYS
                                     "/calm.toml\"]\n[[variant]]\n[variant.set]\nlaod = 1\n";
  EXPECT_THROW(ReadExperiment((dir / "bad.toml").string()), ConfigError);
  std::ofstream(dir / "bad.toml") << "days = []\n[[variant]]\n[[variant]]\n";
  try {
    ReadExperiment((dir / "bad.toml").string());
    FAIL();
  } catch (const ConfigError& e) {
    EXPECT_NE(std::string(e.what()).find("a list of day files"), std::string::npos);
    EXPECT_NE(std::string(e.what()).find("two of the name"), std::string::npos);
  }
}

}  // namespace
}  // namespace lichenlug::lab
