package flintlead.configuration.haproxy;

/**
 * A line that can't be read. Reading goes on after it.
 *
 * @param line from 1
 * @param text the line as it stands in the file
 * @param why what is wrong with it
 */
public record ImportProblem(String file, int line, String text, String why) {

  @Override
  public String toString() {
    return file + ":" + line + ": " + why;
  }
}
