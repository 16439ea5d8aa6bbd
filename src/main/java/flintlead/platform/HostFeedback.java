package flintlead.platform;

import flintlead.platform.upstream.ResponseFields;
import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.Outcome;
import java.util.List;

/**
 * Decodes what a host's response reports about the instance that served the request and about the
 * host's load. Stateless.
 */
final class HostFeedback {

  /** Values for how the host obtained an instance, in the lower bits of a remark. */
  private static final int NOT_REPORTED = 0;

  private static final int INSTANCE_WAS_IDLE = 1;
  private static final int INSTANCE_WAS_STARTED = 2;
  private static final int WAITED_FOR_INSTANCE = 3;
  private static final int LOAD_FAILED = 4;

  /** The number of requests ahead is in the upper bits of a remark. */
  private static final int REQUESTS_AHEAD_FACTOR = 8;

  private static final int MAX_REQUESTS_AHEAD = 30;
  private static final float[] NO_REPORT = new float[0];

  private final boolean reportsRequestsAhead;
  private final List<String> reportNames;

  HostFeedback(Deployment deployment) {
    this.reportsRequestsAhead = deployment.reportsConcurrency();
    this.reportNames = deployment.reportNames();
  }

  /**
   * Encodes the remark for the scheduler: 1 to 3 for how an instance was obtained, or 4 for a
   * failed load, plus eight times the number of requests that were ahead.
   */
  int remark(Outcome outcome, ResponseFields fields) {
    int instanceSource = instanceSource(fields.get("tell"));
    return switch (outcome) {
      case OK, FULL ->
          (instanceSource == LOAD_FAILED ? NOT_REPORTED : instanceSource)
              + REQUESTS_AHEAD_FACTOR * requestsAhead(fields);
      case ERROR, MISS -> instanceSource == LOAD_FAILED ? LOAD_FAILED : NOT_REPORTED;
      default -> NOT_REPORTED;
    };
  }

  private static int instanceSource(String word) {
    if (word == null) {
      return NOT_REPORTED;
    }
    return switch (word) {
      case "hot" -> INSTANCE_WAS_IDLE;
      case "started" -> INSTANCE_WAS_STARTED;
      case "waited" -> WAITED_FOR_INSTANCE;
      case "broken" -> LOAD_FAILED;
      default -> NOT_REPORTED;
    };
  }

  private int requestsAhead(ResponseFields fields) {
    return reportsRequestsAhead ? Math.min(MAX_REQUESTS_AHEAD, fields.getInt("ahead", 0)) : 0;
  }

  /**
   * The values of the host's load report, in the order of the deployment's names. Empty if the
   * response has no report; 0 for a value that is missing or not finite.
   */
  float[] loadReport(ResponseFields fields) {
    if (reportNames.isEmpty() || !fields.hasLoadReport()) {
      return NO_REPORT;
    }
    float[] report = new float[reportNames.size()];
    for (int i = 0; i < report.length; i++) {
      float value = fields.loadReportValue(reportNames.get(i));
      report[i] = Float.isFinite(value) ? value : 0;
    }
    return report;
  }
}
