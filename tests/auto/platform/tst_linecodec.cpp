// Tests of the line codec with well-formed, malformed and random input.

#include "platform/linecodec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace papayaspindle;
using namespace papayaspindle::platform;
using proxy::AnswerCode;
using proxy::CommandKind;
using proxy::MemberCommand;
using proxy::PreparedKind;
using proxy::Statement;
using proxy::StatementKind;
using proxy::TransactionState;

TEST_CASE("statements are parsed according to their verb")
{
  struct Case
  {
    const char* mText;
    StatementKind mKind;
    const char* mName;
    const char* mArguments;
  };
  const auto row =
    GENERATE(Case{ "BEGIN", StatementKind::Begin, "", "" },
             Case{ "BEGIN READ", StatementKind::BeginRead, "", "" },
             Case{ "COMMIT", StatementKind::Commit, "", "" },
             Case{ "ROLLBACK", StatementKind::Rollback, "", "" },
             Case{ "READ 1a4", StatementKind::Read, "", "1a4" },
             Case{ "WRITE 1a4 some  data ", StatementKind::Write, "", "1a4 some  data " },
             Case{ "SET colour dark red", StatementKind::Set, "colour", "dark red" },
             Case{ "PREPARE s1 WRITE q2c", StatementKind::Prepare, "s1", "q2c" },
             Case{ "EXECUTE s1 1a4 data", StatementKind::Execute, "s1", "1a4 data" },
             Case{ "DEALLOC s1", StatementKind::Deallocate, "s1", "" },
             Case{ "BEGIN WRITE", StatementKind::Malformed, "", "" },
             Case{ "COMMIT now", StatementKind::Malformed, "", "" },
             Case{ "READ", StatementKind::Malformed, "", "" },
             Case{ "READ a b", StatementKind::Malformed, "", "" },
             Case{ "PREPARE s1 DELETE q", StatementKind::Malformed, "", "" },
             Case{ "AFTER 1.2 READ a", StatementKind::Malformed, "", "" },
             Case{ "STATUS", StatementKind::Malformed, "", "" },
             Case{ "RESET", StatementKind::Malformed, "", "" },
             Case{ "", StatementKind::Malformed, "", "" });
  INFO(row.mText);
  const auto message = ParseClientLine(std::string("QUERY 5c0e ") + row.mText);
  const auto* statement = std::get_if<Statement>(&message);
  REQUIRE(statement != nullptr);
  REQUIRE(statement->mId == "5c0e");
  REQUIRE(statement->mKind == row.mKind);
  if (row.mKind != StatementKind::Malformed) {
    REQUIRE(statement->mName == row.mName);
    REQUIRE(statement->mArguments == row.mArguments);
  }
}

TEST_CASE("START and TERMINATE are parsed and other lines are malformed")
{
  REQUIRE(std::get<StartMessage>(ParseClientLine("START lepu270 u3f1")).mKey == "u3f1");
  REQUIRE(std::get<StartMessage>(ParseClientLine("START lepu270 u3f1")).mDatabase ==
          "lepu270");
  REQUIRE(std::holds_alternative<TerminateMessage>(ParseClientLine("TERMINATE")));
  for (const char* line : { "", "START", "GET / HTTP/1.1", "query 1 READ a", " QUERY" }) {
    INFO(line);
    REQUIRE(std::holds_alternative<MalformedMessage>(ParseClientLine(line)));
  }
}

TEST_CASE("commands to members contain the client's text unchanged")
{
  std::string output;
  MemberCommand read;
  read.mKind = CommandKind::Read;
  read.mId = "5c0e";
  read.mAfter = LogPosition{ 3, 1207 };
  read.mArguments = "1a4";
  AppendCommand(output, read);
  AppendCommand(output,
                { .mKind = CommandKind::Prepare,
                  .mName = "q1",
                  .mArguments = "shape",
                  .mPreparedKind = PreparedKind::Write });
  AppendCommand(output, { .mKind = CommandKind::Pause, .mTerm = 4 });
  AppendCommand(output, { .mKind = CommandKind::Begin });
  REQUIRE(output == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"
                    "QUERY - PREPARE q1 WRITE shape\r\n"
                    "QUERY - PAUSE 4\r\n"
                    "QUERY - BEGIN\r\n");
}

TEST_CASE("the READY line completes a member's answer")
{
  MemberReplyReader reader;
  using LineResult = MemberReplyReader::LineResult;
  REQUIRE(reader.AddLine("ROW qhzk wmtr") == LineResult::Incomplete);
  REQUIRE(reader.AddLine("COMPLETE 7.1f3.c") == LineResult::Incomplete);
  REQUIRE(reader.AddLine("READY T 3.1209") == LineResult::Complete);
  const auto reply = reader.TakeReply();
  REQUIRE(reply.mRows == std::vector<std::string>{ "qhzk wmtr" });
  REQUIRE(reply.mText == "7.1f3.c");
  REQUIRE(reply.mState == TransactionState::Open);
  REQUIRE(reply.mPosition == LogPosition{ 3, 1209 });

  REQUIRE(reader.AddLine("ERROR READONLY i-7f3a") == LineResult::Incomplete);
  REQUIRE(reader.HasError());
  REQUIRE(reader.AddLine("READY E -") == LineResult::Complete);
  const auto error = reader.TakeReply();
  REQUIRE(error.mError == AnswerCode::ReadOnly);
  REQUIRE_FALSE(error.mPosition);
  REQUIRE(error.mRows.empty());
}

TEST_CASE("an unknown error code is read as UNKNOWN and unexpected lines are malformed")
{
  MemberReplyReader reader;
  using LineResult = MemberReplyReader::LineResult;
  REQUIRE(reader.AddLine("ERROR NEWCODE text") == LineResult::Incomplete);
  REQUIRE(reader.AddLine("READY I -") == LineResult::Complete);
  REQUIRE(reader.TakeReply().mError == AnswerCode::Unknown);
  REQUIRE(reader.AddLine("COMPLETE a") == LineResult::Incomplete);
  REQUIRE(reader.AddLine("COMPLETE b") == LineResult::Malformed);
  REQUIRE(MemberReplyReader().AddLine("READY X -") == LineResult::Malformed);
  REQUIRE(MemberReplyReader().AddLine("HELLO") == LineResult::Malformed);
}

// Guards against a member that sends rows without end: short rows occupy more memory than
// their bytes, and empty ones have no bytes.
TEST_CASE("an answer with too many bytes or rows is too long")
{
  using LineResult = MemberReplyReader::LineResult;
  MemberReplyReader bytes;
  bytes.SetLimits({ 10, 100 });
  REQUIRE(bytes.AddLine("ROW 0123456789") == LineResult::Incomplete);
  REQUIRE(bytes.AddLine("ROW x") == LineResult::TooLong);
  MemberReplyReader rows;
  rows.SetLimits({ 10, 3 });
  for (int row = 0; row < 3; row++) {
    REQUIRE(rows.AddLine("ROW ") == LineResult::Incomplete);
  }
  REQUIRE(rows.PendingRows() == 3);
  REQUIRE(rows.PendingBytes() >= 3 * sizeof(std::string));
  REQUIRE(rows.AddLine("ROW ") == LineResult::TooLong);
  // The limits apply to each answer.
  MemberReplyReader next;
  next.SetLimits({ 10, 1 });
  for (int answer = 0; answer < 3; answer++) {
    REQUIRE(next.AddLine("ROW 0123456789") == LineResult::Incomplete);
    REQUIRE(next.AddLine("COMPLETE -") == LineResult::Incomplete);
    REQUIRE(next.AddLine("READY I -") == LineResult::Complete);
    next.TakeReply();
    REQUIRE(next.PendingBytes() == 0);
  }
}

TEST_CASE("the row of a STATUS answer is decoded")
{
  MemberReplyReader reader;
  reader.AddLine("ROW replica 3 3.1209 0 12 2 17");
  reader.AddLine("COMPLETE -");
  reader.AddLine("READY I 3.1204");
  const auto reply = reader.TakeReply();
  REQUIRE(reply.mStatus);
  REQUIRE(reply.mStatus->mRole == proxy::MemberRole::Replica);
  REQUIRE(reply.mStatus->mReceived == LogPosition{ 3, 1209 });
}

// Guards against a number of one member from which an overflowing term or duration is
// computed.
TEST_CASE("a STATUS row or a position with a number out of range is not decoded")
{
  for (const char* row : { "replica 18446744073709551615 3.1 0 12 2 17",
                           "replica 99999999999999999999999 3.1 0 12 2 17",
                           "replica 3x 3.1 0 12 2 17",
                           "replica -3 3.1 0 12 2 17",
                           "replica 3 18446744073709551615.1 0 12 2 17",
                           "replica 3 3.1 18446744073709551615 12 2 17",
                           "replica 3 3.1 0 18446744073709551615 2 17",
                           "replica 3 3.1 0",
                           "king 3 3.1 0 12 2 17" }) {
    INFO(row);
    MemberReplyReader reader;
    reader.AddLine(std::string("ROW ") + row);
    reader.AddLine("COMPLETE -");
    REQUIRE(reader.AddLine("READY I 18446744073709551615.1") ==
            MemberReplyReader::LineResult::Complete);
    const auto reply = reader.TakeReply();
    REQUIRE_FALSE(reply.mStatus);
    REQUIRE_FALSE(reply.mPosition);
  }
}

TEST_CASE("answers to clients are formatted as rows, outcome and READY")
{
  std::string output;
  proxy::ClientAnswer answer;
  answer.mRows = { "row" };
  answer.mText = "sig";
  answer.mPosition = LogPosition{ 3, 7 };
  AppendAnswer(output, answer);
  answer = {};
  answer.mError = AnswerCode::Unknown;
  answer.mState = TransactionState::Failed;
  AppendAnswer(output, answer);
  REQUIRE(output == "ROW row\r\nCOMPLETE sig\r\nREADY I 3.7\r\n"
                    "ERROR UNKNOWN -\r\nREADY E -\r\n");
}

TEST_CASE("only positions of the form TERM.INDEX are parsed")
{
  REQUIRE(ParsePosition("3.1207") == LogPosition{ 3, 1207 });
  for (const char* text : { "", "-", "3", "3.", ".3", "3.x", "x.3", "3.4.5", "-1.2" }) {
    INFO(text);
    REQUIRE_FALSE(ParsePosition(text));
  }
}

// Guards against arbitrary bytes that crash the reader or are accepted as an answer.
TEST_CASE("random lines are not accepted as a complete answer")
{
  std::mt19937 random(7);
  for (int run = 0; run < 20000; run++) {
    std::string line;
    const std::size_t length = random() % 40;
    for (std::size_t index = 0; index < length; index++) {
      line += static_cast<char>(random() % 256);
    }
    (void)ParseClientLine(line);
    MemberReplyReader reader;
    REQUIRE(reader.AddLine(line) != MemberReplyReader::LineResult::Complete);
  }
}
