/**
 * The gateway: the process that accepts requests and batch jobs and runs them on targets.
 *
 * <p>One event loop serves clients, targets and peers; a second one watches the platform's store
 * and publishes immutable views of the fleet.
 */
package org.fuchsiaspindle.gateway;
