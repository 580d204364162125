/** Contracts, which define the permissions and limits of customers. */
package org.fuchsiaspindle.core.contract;
