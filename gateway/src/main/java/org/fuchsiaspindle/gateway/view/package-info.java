/** Immutable snapshots of the configuration and the targets that a gateway knows. */
package org.fuchsiaspindle.gateway.view;
