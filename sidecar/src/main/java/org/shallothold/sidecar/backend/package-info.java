/** HTTP towards the backend server: streams of tokens, calls of plain services, commands. */
@NullMarked
package org.shallothold.sidecar.backend;

import org.jspecify.annotations.NullMarked;
