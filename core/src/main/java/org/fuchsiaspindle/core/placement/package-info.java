/**
 * Model placement: plans which models are loaded on which engines, and rejects orders of former
 * planners.
 */
package org.fuchsiaspindle.core.placement;
