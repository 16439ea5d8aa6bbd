package flintlead.configuration.transaction;

import flintlead.configuration.transaction.ConfigurationVersion.HostDefinition;
import flintlead.routing.pool.Layout;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Validates a version before it is applied. */
public final class VersionValidator {

  /** Most hosts of a version. */
  public static final int MAX_HOSTS = 10_000;

  private VersionValidator() {}

  /**
   * Validates a version that is to follow another.
   *
   * @return each fault in words, with what to do about it; empty where the version may be applied
   */
  public static List<String> validate(ConfigurationVersion from, ConfigurationVersion to) {
    List<String> faults = new ArrayList<>();
    checkHosts(to, faults);
    checkAddresses(to, faults);
    checkLayout(to, faults);
    if (faults.isEmpty() && VersionDifference.of(from, to).isNone()) {
      faults.add("nothing differs from version " + from.id());
    }
    return faults;
  }

  private static void checkHosts(ConfigurationVersion to, List<String> faults) {
    if (to.hosts().isEmpty()) {
      faults.add("the list is empty; name at least one host");
    } else if (to.readyCount() == 0) {
      faults.add("no host is ready; leave at least one that does not drain");
    }
    if (to.hosts().size() > MAX_HOSTS) {
      faults.add(to.hosts().size() + " hosts; at most " + MAX_HOSTS + " are taken");
    }
  }

  private static void checkAddresses(ConfigurationVersion to, List<String> faults) {
    Map<String, String> owners = new HashMap<>();
    for (HostDefinition host : to.hosts().values()) {
      for (String address : host.addresses()) {
        String other = owners.put(address, host.name());
        if (other != null) {
          faults.add(
              "hosts '"
                  + other
                  + "' and '"
                  + host.name()
                  + "' have one address "
                  + address
                  + "; a host answers for itself only");
        }
      }
    }
  }

  private static void checkLayout(ConfigurationVersion to, List<String> faults) {
    List<String> layoutFaults = to.layout().validate();
    boolean hasPools = !to.layout().equals(Layout.DEFAULT);
    if (layoutFaults.isEmpty() && hasPools && !to.hosts().isEmpty()) {
      layoutFaults = to.layout().validate(to.poolMembers());
    }
    faults.addAll(layoutFaults);
  }
}
