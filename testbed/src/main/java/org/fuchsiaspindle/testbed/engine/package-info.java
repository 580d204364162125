/**
 * A simulated model engine with continuous batching, a prefix cache and deterministic output.
 *
 * <p>It implements the engine protocol of the design page. Details that the page does not specify:
 *
 * <ul>
 *   <li>{@code token_count} of a chunk counts the tokens in this chunk; the last chunk has empty
 *       text, {@code finish_reason} and {@code usage}.
 *   <li>{@code max_tokens} and {@code usage.completion_tokens} count the complete output, including
 *       {@code continue_tokens}. A {@code continue_text} that is not a prefix of the output is
 *       refused with 400.
 *   <li>A cancelled stream ends with finish reason {@code cancelled}.
 *   <li>Prompt tokens are a quarter of the characters, rounded up. Cache blocks hold 64 characters;
 *       see {@link org.fuchsiaspindle.testbed.engine.PrefixBlocks} for their hashes.
 *   <li>{@code GET /v1/cache/events?after=N} answers {@code
 *       {"events":[{"seq","model","added":[hash],"removed":[hash]}],"next":N}}; missing numbers are
 *       events that were never published.
 *   <li>{@code GET /v1/models} answers {@code {"data":[{"id","version"}],"loading":[..],"role"}};
 *       {@code data} holds only models that serve requests.
 *   <li>An accepted order is answered with 200 immediately, and a load continues in the background.
 *       409 is used only for stale fencing numbers; an order that cannot be executed is answered
 *       with 422.
 * </ul>
 */
package org.fuchsiaspindle.testbed.engine;
