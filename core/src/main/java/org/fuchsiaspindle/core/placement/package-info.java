/**
 * Model placement: plans which models are loaded on which engines, and fences off former planners.
 */
package org.fuchsiaspindle.core.placement;
