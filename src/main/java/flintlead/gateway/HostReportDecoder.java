package flintlead.gateway;

import flintlead.gateway.upstream.ExchangeResult;
import flintlead.transport.jsonrpc.JsonMembers;
import java.util.List;

/** Reads what hosts report of themselves in answers, into the form that the scheduler takes. */
final class HostReportDecoder {

  private static final int NO_REMARK = 0;
  private static final int WARM_INSTANCE = 1;
  private static final int LOAD_BEGAN = 2;
  private static final int LOAD_AWAITED = 3;
  private static final int LOAD_FAILED = 4;

  /** The reported concurrency stands above the bits of how an instance was found. */
  private static final int CONCURRENCY_UNIT = 8;

  private static final int MAX_CONCURRENCY = 30;
  private static final float[] NO_REPORT = {};

  private final GatewayConfig.HostCapabilities capabilities;

  HostReportDecoder(GatewayConfig.HostCapabilities capabilities) {
    this.capabilities = capabilities;
  }

  /**
   * The scheduler's remark on an attempt: 1 to 3 how an instance was found, 4 a failed load, plus
   * eight times the concurrency that the host reports.
   */
  int remark(ExchangeResult result) {
    return switch (result.outcome()) {
      case ERROR, MISS -> result.loadFailed() ? LOAD_FAILED : NO_REMARK;
      case OK, FULL ->
          instanceRemark(result.members()) + CONCURRENCY_UNIT * concurrency(result.members());
      default -> NO_REMARK;
    };
  }

  private int instanceRemark(JsonMembers members) {
    String copy = members.string("copy");
    if (copy == null || !capabilities.reportsWarm()) {
      return NO_REMARK;
    }
    return switch (copy) {
      case "warm" -> WARM_INSTANCE;
      case "began" -> LOAD_BEGAN;
      case "waited" -> LOAD_AWAITED;
      default -> NO_REMARK;
    };
  }

  private int concurrency(JsonMembers members) {
    if (!capabilities.reportsConcurrency()) {
      return 0;
    }
    return (int) Math.max(0, Math.min(MAX_CONCURRENCY, members.number("crowd", 0)));
  }

  /** The values of the load report, in the order of the configured names; empty if none came. */
  float[] report(ExchangeResult result) {
    List<String> names = capabilities.reportNames();
    if (names.isEmpty() || !result.members().has(names.get(0))) {
      return NO_REPORT;
    }
    float[] values = new float[names.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = (float) result.members().number(names.get(i), 0);
    }
    return values;
  }
}
