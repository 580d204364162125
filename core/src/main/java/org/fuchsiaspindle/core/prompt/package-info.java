/**
 * Finds prompt parts that crash targets, and keeps requests with them away from all targets.
 *
 * <p>Load pattern: many different requests share one part of their prompts, and each of them
 * crashes the target that starts to answer it, together with everything else that runs there.
 */
package org.fuchsiaspindle.core.prompt;
