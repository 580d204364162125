/**
 * Request routing: chooses a target among a bounded set of candidates by load, cached prompt
 * prefixes and distance.
 */
package org.fuchsiaspindle.core.routing;
