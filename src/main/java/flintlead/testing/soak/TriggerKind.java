package flintlead.testing.soak;

/** The trigger types of a soak's settings, one of each effect. */
enum TriggerKind {
  /** May run any number of times. */
  CHECK("repeatable"),
  /** Is known by its idempotency key within a window. */
  LODGE("by_key"),
  /** Must not run twice. */
  APPLY("once");

  private final String effect;

  TriggerKind(String effect) {
    this.effect = effect;
  }

  /** The effect, as the settings name it. */
  String effect() {
    return effect;
  }

  /** The class, as requests name it. */
  String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** The type that requests name so. */
  static TriggerKind of(String wireName) {
    return valueOf(wireName.toUpperCase(java.util.Locale.ROOT));
  }
}
