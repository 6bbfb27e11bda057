/** Subcommands that read configurations and write patch documents to standard output. */
@NullMarked
package org.shallothold.command.config;

import org.jspecify.annotations.NullMarked;
