package flintlead.bench;

import java.util.Random;

/**
 * Schedules ten million invocations of a million functions on one {@link
 * flintlead.scheduling.Scheduler} and prints the heap size after each million. Not part of CI.
 */
public final class Soak {

  private Soak() {}

  public static void main(String[] args) {
    Idle idle = new Idle(85);
    Random random = new Random(1);
    long begun = System.nanoTime();
    for (int tenth = 1; tenth <= 10; tenth++) {
      for (int i = 0; i < 1_000_000; i++) {
        idle.invoke(random.nextInt(1_000_000));
      }
      System.gc();
      Runtime java = Runtime.getRuntime();
      System.out.printf(
          "%d million: heap %d MB, %.1f us each%n",
          tenth,
          (java.totalMemory() - java.freeMemory()) >> 20,
          (System.nanoTime() - begun) / 1e9 / tenth);
    }
  }
}
