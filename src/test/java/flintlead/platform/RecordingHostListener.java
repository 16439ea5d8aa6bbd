package flintlead.platform;

import flintlead.platform.journal.HostEventProcessor;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the hosts of every event. */
final class RecordingHostListener implements HostEventProcessor.Listener {

  private final List<HostEventProcessor.ListedHost> received = new CopyOnWriteArrayList<>();

  private int ignored;

  List<HostEventProcessor.ListedHost> received() {
    return received;
  }

  @Override
  public void hostsReplaced(List<HostEventProcessor.ListedHost> hosts) {
    received.addAll(hosts);
  }

  @Override
  public void hostsUpdated(List<HostEventProcessor.ListedHost> hosts) {
    received.addAll(hosts);
  }

  @Override
  public void hostsIgnored(int count, int maxHosts) {
    ignored += count;
  }

  /** Names of the received hosts, in the order of the events. */
  List<String> names() {
    return received.stream().map(HostEventProcessor.ListedHost::name).toList();
  }

  /** Number of hosts that were ignored. */
  int ignored() {
    return ignored;
  }
}
