/**
 * Whole fleets on a clock of the model's own: the program's real decisions among the lab's
 * stand-ins, without a socket.
 */
package edgegateway.testbed.simulation;
