/**
 * A simulated model engine with continuous batching, a prefix cache and deterministic output.
 *
 * <p>It implements the engine protocol of the design document. Details that the document does not
 * specify:
 *
 * <ul>
 *   <li>{@code token_count} is the number of tokens in a chunk; the last chunk has empty text,
 *       {@code finish_reason} and {@code usage}.
 *   <li>{@code max_tokens} and {@code usage.completion_tokens} refer to the complete output,
 *       including {@code continue_tokens}. A {@code continue_text} that is not a prefix of the
 *       output is rejected with status 400.
 *   <li>A cancelled stream ends with finish reason {@code cancelled}.
 *   <li>Prompt tokens are a quarter of the characters, rounded up. Cache blocks hold 64 characters;
 *       see {@link org.fuchsiaspindle.testbed.engine.PrefixBlocks} for their hashes.
 *   <li>{@code GET /v1/cache/events?after=N} returns {@code
 *       {"events":[{"seq","model","added":[hash],"removed":[hash]}],"next":N}}; missing sequence
 *       numbers belong to events that were never published.
 *   <li>{@code GET /v1/models} returns {@code {"data":[{"id","version"}],"loading":[..],"role"}};
 *       {@code data} contains only models that are ready to serve requests.
 *   <li>The response to an accepted order is 200; a load then continues in the background. The
 *       response is 409 only for stale fencing numbers, and 422 for an order that cannot be
 *       executed.
 * </ul>
 */
package org.fuchsiaspindle.testbed.engine;
