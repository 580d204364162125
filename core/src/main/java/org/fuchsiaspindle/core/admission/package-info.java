/**
 * Admission control for one target: queueing order, concurrency limit, headroom, preemption and
 * refusal.
 */
package org.fuchsiaspindle.core.admission;
