/**
 * Distributed rate and concurrency limits of customers, which hold over all entries together.
 *
 * <p>For each customer one entry, the granter, divides the limit among the entries by demand. An
 * entry without a valid grant uses its equal share, limit / N, where N is the number of entries in
 * the instance list. The granter divides only the equal shares of its followers, the entries that
 * consider it the granter, so that the entries on both sides of a network partition do not exceed
 * the limit together.
 *
 * <p>Bound: the sum of the rates in use at all entries never exceeds twice the limit. It exceeds
 * the limit only within 4 s after an entry changes its granter (2 s until a granter notices that an
 * entry has become silent, 2 s until the last grant issued before that expires), and for one round
 * trip when an entry first serves a customer. The same bound applies to concurrency, except for one
 * additional request per entry if the limit is smaller than the number of entries. The bound
 * requires that all entries have the same instance list; while their lists differ, N differs
 * accordingly. Running requests are not stopped when a share shrinks.
 */
package org.fuchsiaspindle.core.limit;
