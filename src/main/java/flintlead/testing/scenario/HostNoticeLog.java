package flintlead.testing.scenario;

import flintlead.gateway.upstream.HostSpec;
import flintlead.scheduling.api.HostEntry;
import flintlead.testing.emulator.HostEmulator;
import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records when each gateway was notified of a change in a host's state, for the auditor.
 * Thread-safe.
 */
final class HostNoticeLog {

  private final List<HostEmulator> hosts;

  /**
   * By gateway and host, whether the last notice said that the host is closed; so that only changes
   * are recorded.
   */
  private final Map<String, Map<String, Boolean>> lastClosed = new ConcurrentHashMap<>();

  private final List<HostNotice> notices = Collections.synchronizedList(new ArrayList<>());

  HostNoticeLog(List<HostEmulator> hosts) {
    this.hosts = hosts;
  }

  /** A gateway is given this host list now. */
  void record(String gateway, List<HostSpec> list, Moment now) {
    Map<String, HostSpec> byName = new HashMap<>();
    list.forEach(spec -> byName.put(spec.name(), spec));
    Map<String, Boolean> before =
        lastClosed.computeIfAbsent(gateway, any -> new ConcurrentHashMap<>());
    for (HostEmulator host : hosts) {
      HostSpec spec = byName.get(host.name());
      boolean closed = spec == null || spec.state() != HostEntry.State.READY;
      if (!Boolean.valueOf(closed).equals(before.put(host.name(), closed))) {
        notices.add(new HostNotice(gateway, host.name(), closed, now));
      }
    }
  }

  List<HostNotice> notices() {
    return new ArrayList<>(notices);
  }
}
