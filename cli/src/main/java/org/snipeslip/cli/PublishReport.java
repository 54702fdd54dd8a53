package org.snipeslip.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.server.config.ConfigChange;
import org.snipeslip.server.config.PublishResult;

/** Prints the result of a publication and selects the exit code. */
final class PublishReport {
    private final Console console;
    private final boolean json;

    PublishReport(Console console, boolean json) {
        this.console = console;
        this.json = json;
    }

    ExitCode print(PublishResult result) {
        return switch (result) {
            case PublishResult.Published r -> {
                String text = "generation " + r.generation() + " published";
                yield print("published", r.generation().number(), text, r.changes(), ExitCode.OK);
            }
            case PublishResult.Unchanged r -> {
                String text = "generation " + r.generation() + " has these objects already";
                yield print("unchanged", r.generation().number(), text, List.of(), ExitCode.OK);
            }
            case PublishResult.Conflicted r -> printConflict(r);
            case PublishResult.Superseded r -> {
                String text =
                        ("the answer to the write of generation %s was lost, and generation %s by"
                                        + " %s is in force; whether this publication was in force"
                                        + " in between is unknown")
                                .formatted(r.own(), r.inForce(), r.writer());
                yield print("superseded", r.inForce().number(), text, List.of(), ExitCode.CONFLICT);
            }
            case PublishResult.Unresolved r -> {
                String text =
                        ("the answer to the write of generation %s was lost and the head cannot be"
                                        + " read; it may be in force: look for writer %s in"
                                        + " status")
                                .formatted(r.own(), r.writer());
                yield print("unresolved", r.own().number(), text, List.of(), ExitCode.UNAVAILABLE);
            }
            case PublishResult.Failed r ->
                    print(
                            "failed",
                            0,
                            "nothing published: " + StoreCommand.describe(r.problem()),
                            List.of(),
                            StoreCommand.exitCode(r.problem()));
        };
    }

    private ExitCode printConflict(PublishResult.Conflicted r) {
        String text =
                r.writer().isEmpty()
                        ? "nothing published: generation %s or later is in force, and the head"
                                        .formatted(r.winner())
                                + " cannot be read"
                        : ("nothing published: generation %s by %s is in force; your objects"
                                        + " differ from it in:")
                                .formatted(r.winner(), r.writer());
        List<ConfigChange> differing = r.differing().orElse(List.of());
        return print("conflict", r.winner().number(), text, differing, ExitCode.CONFLICT);
    }

    private ExitCode print(
            String result,
            long generation,
            String text,
            List<ConfigChange> changes,
            ExitCode exitCode) {
        if (json) {
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("result", result);
            object.put("generation", generation);
            object.put("message", text);
            object.put("changes", changes);
            console.printJson(object);
        } else if (exitCode == ExitCode.OK) {
            console.out().println(text);
            changes.forEach(change -> console.out().println("  " + formatChange(change)));
        } else {
            console.printMessage(text);
            changes.forEach(change -> console.err().println("  " + formatChange(change)));
        }
        return exitCode;
    }

    static String formatChange(ConfigChange change) {
        String fields = change.fields().isEmpty() ? "" : ": " + String.join(", ", change.fields());
        return "%-7s %s%s".formatted(change.type(), change.object(), fields);
    }
}
