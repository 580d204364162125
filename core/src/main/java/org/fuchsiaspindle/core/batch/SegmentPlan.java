package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.List;

/** Divides a job into segments of consecutive items; a segment never spans two parts. Immutable. */
public final class SegmentPlan {

    /** Largest number of items of a segment. */
    public static final int MAX_SEGMENT_ITEMS = 256;

    private static final int SEGMENTS_PER_TARGET = 4;

    private final int segmentItems;
    private final int[] partLines;
    private final int[] firstSegmentOfPart;
    private final int[] firstItemOfPart;

    private SegmentPlan(int segmentItems, int[] partLines) {
        this.segmentItems = segmentItems;
        this.partLines = partLines;
        this.firstSegmentOfPart = new int[partLines.length + 1];
        this.firstItemOfPart = new int[partLines.length + 1];
        for (int part = 0; part < partLines.length; part++) {
            firstSegmentOfPart[part + 1] =
                    firstSegmentOfPart[part] + Math.ceilDiv(partLines[part], segmentItems);
            firstItemOfPart[part + 1] = firstItemOfPart[part] + partLines[part];
        }
    }

    /**
     * A range of consecutive items of one part.
     *
     * @param number number of the segment in its job, from 0
     * @param part number of the part that holds its lines
     * @param firstLine index of its first line in the part
     * @param firstItem index of its first item in the job
     * @param items number of items
     */
    public record Segment(int number, int part, int firstLine, int firstItem, int items) {}

    /**
     * Creates a plan.
     *
     * @param segmentItems items of a full segment
     * @param partLines number of lines of each part
     */
    public static SegmentPlan of(int segmentItems, List<Integer> partLines) {
        checkArgument(
                segmentItems >= 1 && segmentItems <= MAX_SEGMENT_ITEMS,
                "segment size out of range: %s",
                segmentItems);
        return new SegmentPlan(
                segmentItems, partLines.stream().mapToInt(Integer::intValue).toArray());
    }

    /**
     * Returns the segment size of a job, small enough that all targets have work until the job
     * ends.
     *
     * @param items items of the job
     * @param targets targets that serve the job's model
     */
    public static int segmentItems(int items, int targets) {
        int size = items / (SEGMENTS_PER_TARGET * Math.max(1, targets));
        return Math.clamp(size, 1, MAX_SEGMENT_ITEMS);
    }

    /** Returns the number of segments. */
    public int segments() {
        return firstSegmentOfPart[partLines.length];
    }

    /** Returns the number of items. */
    public int items() {
        return firstItemOfPart[partLines.length];
    }

    /** Returns a segment by its number. */
    public Segment segment(int number) {
        checkArgument(number >= 0 && number < segments(), "no such segment: %s", number);
        int part = Arrays.binarySearch(firstSegmentOfPart, number);
        if (part < 0) {
            part = -part - 2;
        }
        while (firstSegmentOfPart[part + 1] == firstSegmentOfPart[part]) {
            part++;
        }
        int firstLine = (number - firstSegmentOfPart[part]) * segmentItems;
        return new Segment(
                number,
                part,
                firstLine,
                firstItemOfPart[part] + firstLine,
                Math.min(segmentItems, partLines[part] - firstLine));
    }
}
