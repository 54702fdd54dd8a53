import java.nio.file.Path;

/** Runs a case: exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run. */
final class CaseMain {
    private static final int COULD_NOT_RUN = 2;

    private CaseMain() {}

    /**
     * Runs a case.
     *
     * @param args number of the case, folder of its record, folder for temporary files
     */
    public static void main(String[] args) {
        int exit = COULD_NOT_RUN;
        try (CaseRecord record = new CaseRecord(Path.of(args[1]));
                Stage stage = new Stage(Path.of(args[2]))) {
            boolean broken =
                    switch (args[0]) {
                        case "6" -> Case6.isRuleBroken(record, stage);
                        case "7" -> Case7.isRuleBroken(record, stage);
                        case "8" -> Case8.isRuleBroken(record, stage);
                        case "10" -> Case10.isRuleBroken(record, stage);
                        case "9" -> Case9.isRuleBroken(record, stage);
                        default -> throw new IllegalArgumentException("no case " + args[0]);
                    };
            exit = broken ? 1 : 0;
        } catch (Exception | Error e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }
}
