package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Validates the lines of an input file as they are received. Not thread-safe.
 *
 * <p>All lines of a file have the same request path and model, because the segment size of a job
 * depends on the number of targets that serve its model.
 */
public final class InputFileValidator {

    private final Predicate<String> modelAllowed;
    private final HashFunction hash;
    private final DigestSet customIds = new DigestSet();
    private final List<LineError> errors = new ArrayList<>();
    private int errorCount;
    private String url = "";
    private String model = "";

    private InputFileValidator(Predicate<String> modelAllowed, HashFunction hash) {
        this.modelAllowed = modelAllowed;
        this.hash = hash;
    }

    /**
     * Creates a validator.
     *
     * @param modelAllowed returns true for models that the customer may use
     * @param random source of the hash key, so that callers cannot construct colliding identifiers
     */
    public static InputFileValidator create(
            Predicate<String> modelAllowed, RandomGenerator random) {
        return new InputFileValidator(
                checkNotNull(modelAllowed, "modelAllowed"),
                Hashing.sipHash24(random.nextLong(), random.nextLong()));
    }

    /**
     * Validates a line and records its error, if any.
     *
     * @param number the line's number, from 1
     * @param line the bytes without the line end
     */
    public void accept(int number, byte[] line) {
        try {
            InputItem item = InputItem.parse(line);
            checkAgainstFile(item);
        } catch (InputItem.InvalidLineException e) {
            report(e.at(number));
        }
    }

    /** Records an error that was found while the line was read. */
    public void report(LineError error) {
        errorCount++;
        if (errors.size() < BatchLimits.MAX_LINE_ERRORS) {
            errors.add(error);
        }
    }

    /** Returns the first {@link BatchLimits#MAX_LINE_ERRORS} errors. */
    public List<LineError> errors() {
        return List.copyOf(errors);
    }

    /** Returns the total number of errors. */
    public int errorCount() {
        return errorCount;
    }

    /** Returns the request path of the lines, empty if no line was valid. */
    public String url() {
        return url;
    }

    /** Returns the model that the lines use, empty if no line was valid. */
    public String model() {
        return model;
    }

    private void checkAgainstFile(InputItem item) throws InputItem.InvalidLineException {
        if (!modelAllowed.test(item.model())) {
            throw new InputItem.InvalidLineException(
                    "model_not_allowed", "body.model", "no such model: " + item.model());
        }
        if (model.isEmpty()) {
            url = item.url();
            model = item.model();
        }
        if (!item.url().equals(url)) {
            throw new InputItem.InvalidLineException(
                    "mismatched_url", "url", "another line has url " + url);
        }
        if (!item.model().equals(model)) {
            throw new InputItem.InvalidLineException(
                    "mismatched_model", "body.model", "another line has model " + model);
        }
        long digest = hash.hashString(item.customId(), StandardCharsets.UTF_8).asLong();
        if (!customIds.add(digest)) {
            throw new InputItem.InvalidLineException(
                    "duplicate_custom_id",
                    "custom_id",
                    "another line has custom_id " + item.customId());
        }
    }
}
