/**
 * Judges a play by the rules, from what was seen at its edges alone ({@code docs/design/lab.md}).
 */
package edgegateway.testbed.checker;
