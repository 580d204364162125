/** The command line for operators, which uses the operators' interface of an entry. */
package org.fuchsiaspindle.cli;
