/** Names of the wire, the settings and discovery's objects, mapped to the terms of the code. */
package edgegateway.protocol;
