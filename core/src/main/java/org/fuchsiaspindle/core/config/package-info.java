/** The replicated configuration: its documents, the log of changes and the state in force. */
package org.fuchsiaspindle.core.config;
