package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A question to a gateway that has no parts, and its answer as a table or as it came. */
abstract class Asking implements Callable<Integer> {

  @Parameters(
      index = "0",
      description = "Where its clients come in: unix:/path or tcp:127.0.0.1:PORT.")
  private String at;

  @Option(names = "--json", description = "Print the answer as it came.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private final String question;
  private final String without;

  /**
   * @param without what a gateway does that has no answer, in words
   */
  Asking(String question, String without) {
    this.question = question;
    this.without = without;
  }

  abstract void print(JsonNode answer);

  @Override
  public Integer call() throws Exception {
    Address address = Commands.address(spec, at);
    JsonNode whole;
    try {
      whole = Question.ask(address, question, Map.of());
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return Commands.FAILED;
    }
    JsonNode answer = whole.path("result").path(question);
    if (answer.isMissingNode()) {
      System.err.println(at + " " + without + ": " + whole.path("error").path("message").asText());
      return Commands.FAILED;
    }
    if (json) {
      System.out.println(answer);
    } else {
      print(answer);
    }
    return 0;
  }
}
