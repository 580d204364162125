/** The command-line client for operators, which uses the administration API of an entry. */
package org.fuchsiaspindle.cli;
