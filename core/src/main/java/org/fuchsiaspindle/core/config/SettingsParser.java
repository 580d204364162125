package org.fuchsiaspindle.core.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Locale;
import org.fuchsiaspindle.core.config.FleetSettings.Profile;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.document.DocumentReader;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;

/**
 * Parses the settings document: {@code profile}, {@code inter_token_target_ms}, {@code
 * operator_keys_sha256}, {@code max_concurrent_loads}.
 */
public final class SettingsParser {

    /** Name of the settings document, of which there is only one. */
    public static final String NAME = "fleet";

    private static final Duration MAX_INTER_TOKEN_TARGET = Duration.ofSeconds(10);
    private static final int MAX_LOADS = 10_000;

    private SettingsParser() {}

    /**
     * Parses a document.
     *
     * @param name the document's name, which must be {@link #NAME}
     * @param json the document
     * @param unknownFields how unknown fields are handled
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException with all errors
     */
    public static FleetSettings parse(String name, String json, UnknownFields unknownFields) {
        DocumentReader reader = DocumentReader.of(json, unknownFields);
        if (!name.equals(NAME)) {
            reader.error("", "the settings document is named " + NAME + ", not " + name);
        }
        Profile profile = profile(reader);
        Duration target =
                reader.milliseconds(
                        "inter_token_target_ms",
                        FleetSettings.DEFAULT.interTokenTarget(),
                        MAX_INTER_TOKEN_TARGET);
        ImmutableList<KeyDigest> keys = reader.strings("operator_keys_sha256", KeyDigest::new);
        int maxLoads =
                reader.integer(
                        "max_concurrent_loads",
                        FleetSettings.DEFAULT.maxConcurrentLoads(),
                        1,
                        MAX_LOADS);
        reader.finish();
        return new FleetSettings(profile, target, ImmutableSet.copyOf(keys), maxLoads);
    }

    private static Profile profile(DocumentReader reader) {
        String text = reader.string("profile", "tail");
        for (Profile profile : Profile.values()) {
            if (profile.name().toLowerCase(Locale.ROOT).equals(text)) {
                return profile;
            }
        }
        reader.error("profile", "neither tail nor batch: " + text);
        return Profile.TAIL;
    }
}
