/** The command line: picocli's commands, each a few lines over the package that does the work. */
package flintlead.cli;
