package flintlead.bench;

import java.util.Random;

/**
 * Schedules ten million invocations of a million functions on one {@link
 * flintlead.scheduling.Scheduler} and prints the heap size after each million. Not part of CI.
 */
public final class Soak {

  private Soak() {}

  public static void main(String[] args) {
    Idle scheduler = new Idle(85);
    Random random = new Random(1);
    long startedNanos = System.nanoTime();
    for (int tenth = 1; tenth <= 10; tenth++) {
      for (int i = 0; i < 1_000_000; i++) {
        scheduler.invoke(random.nextInt(1_000_000));
      }
      System.gc();
      Runtime java = Runtime.getRuntime();
      System.out.printf(
          "%d million: heap %d MB, %.1f us each%n",
          tenth,
          (java.totalMemory() - java.freeMemory()) >> 20,
          (System.nanoTime() - startedNanos) / 1e9 / tenth);
    }
  }
}
