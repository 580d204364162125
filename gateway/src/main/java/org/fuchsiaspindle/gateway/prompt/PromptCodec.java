package org.fuchsiaspindle.gateway.prompt;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fuchsiaspindle.core.prompt.PromptPart;
import org.fuchsiaspindle.core.prompt.Quarantine;
import org.fuchsiaspindle.core.prompt.TargetCrash;
import org.fuchsiaspindle.wire.peer.HarmlessPromptParts;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.PromptCrash;
import org.fuchsiaspindle.wire.peer.PromptParts;
import org.fuchsiaspindle.wire.peer.PromptQuarantineMessage;
import org.fuchsiaspindle.wire.peer.PromptQuarantines;

/** Encodes what gateways tell each other about prompts, and decodes it. */
final class PromptCodec {

    private PromptCodec() {}

    static PeerFrame crash(TargetCrash crash) {
        PromptCrash.Builder message =
                PromptCrash.newBuilder().setService(crash.service()).setTarget(crash.target());
        crash.suspects()
                .forEach(parts -> message.addSuspects(PromptParts.newBuilder().addAllIds(parts)));
        return PeerFrame.newBuilder().setPromptCrash(message).build();
    }

    static TargetCrash decode(PromptCrash message) {
        return new TargetCrash(
                message.getService(),
                message.getTarget(),
                message.getSuspectsList().stream()
                        .map(parts -> ImmutableList.copyOf(parts.getIdsList()))
                        .collect(ImmutableList.toImmutableList()));
    }

    static PeerFrame harmless(PromptPart part) {
        return PeerFrame.newBuilder()
                .setHarmlessPromptParts(
                        HarmlessPromptParts.newBuilder()
                                .setService(part.service())
                                .addIds(part.id()))
                .build();
    }

    static List<PromptPart> decode(HarmlessPromptParts message) {
        return message.getIdsList().stream()
                .map(id -> new PromptPart(message.getService(), id))
                .toList();
    }

    static PeerFrame quarantines(Collection<Quarantine> quarantines, long now) {
        PromptQuarantines.Builder message = PromptQuarantines.newBuilder();
        for (Quarantine quarantine : quarantines) {
            Duration remaining = Duration.ofNanos(quarantine.untilNanos() - now);
            message.addQuarantines(
                    PromptQuarantineMessage.newBuilder()
                            .setService(quarantine.part().service())
                            .setId(quarantine.part().id())
                            .setDurationMillis((int) quarantine.duration().toMillis())
                            .setRemainingMillis((int) remaining.toMillis()));
        }
        return PeerFrame.newBuilder().setPromptQuarantines(message).build();
    }

    static List<Quarantine> decode(PromptQuarantines message, long now) {
        List<Quarantine> quarantines = new ArrayList<>();
        for (PromptQuarantineMessage quarantine : message.getQuarantinesList()) {
            if (quarantine.getRemainingMillis() > 0 && quarantine.getDurationMillis() > 0) {
                quarantines.add(
                        new Quarantine(
                                new PromptPart(quarantine.getService(), quarantine.getId()),
                                Duration.ofMillis(quarantine.getDurationMillis()),
                                now
                                        + Duration.ofMillis(quarantine.getRemainingMillis())
                                                .toNanos()));
            }
        }
        return quarantines;
    }
}
