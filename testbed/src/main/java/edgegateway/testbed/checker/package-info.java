/**
 * Judges a play by the rules, from what was seen at its edges alone ({@code
 * docs/design/testbed.md}).
 */
package edgegateway.testbed.checker;
