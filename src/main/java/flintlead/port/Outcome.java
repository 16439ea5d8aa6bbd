package flintlead.port;

/** How a dispatch, a probe or an order to load ended, and whether that proves that nothing ran. */
public enum Outcome {
    OK(true),
    ERROR(true),
    FULL(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CANCELLED(true),
    MOOT(false),
    MISS(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
