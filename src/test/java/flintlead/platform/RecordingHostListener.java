package flintlead.platform;

import flintlead.platform.journal.HostEventProcessor;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the hosts of every event. */
final class RecordingHostListener implements HostEventProcessor.Listener {

  private final List<HostEventProcessor.ListedHost> received = new CopyOnWriteArrayList<>();

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
}
