/**
 * Limits of requests that hold over all processes together.
 *
 * <p>Limits of workspaces: each gateway owns a slice, limit / N, of every limit, and lends it to
 * one granter at a time ({@link org.fuchsiaspindle.core.limit.SliceLender}). A granter fills token
 * buckets from the slices that it holds, and grants permits for single requests ({@link
 * org.fuchsiaspindle.core.limit.PermitGranter}), which gateways ask for ({@link
 * org.fuchsiaspindle.core.limit.PermitHolder}). Two granters that do not see each other have
 * different slices, so the limit holds whatever is cut off, frozen or restarted.
 *
 * <p>Rate and concurrency limits of customers at the entries of the own interface:
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
