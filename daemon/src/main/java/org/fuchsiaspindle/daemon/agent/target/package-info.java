/** The HTTP client that the agent uses to call its target. */
package org.fuchsiaspindle.daemon.agent.target;
