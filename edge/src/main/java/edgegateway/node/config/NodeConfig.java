package edgegateway.node.config;

import edgegateway.node.connections.ConnectionLimits;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.EndpointList;
import edgegateway.protocol.SettingNames;
import java.net.InetSocketAddress;

/**
 * The configuration a node starts with; {@link NodeConfigParser} reads it.
 *
 * @param listen where clients connect
 * @param discovery where discovery listens; followed when it changes
 * @param counter where the shared quota counter listens, followed when it changes; null where there
 *     is none
 * @param operators where operators call; null where they can't
 * @param seed of all random numbers
 * @param maxDescriptors how many descriptors the process may hold; default 1,024
 * @param connections limits on connections, so far as they are set; {@link ConnectionLimits#NONE}
 *     by default
 * @param tls how clients' connections are secured; null, the default, if they are not
 * @param zones how the fleet ejects zones; null, the default, if operators alone do
 * @param knownEndpoints the endpoint list as last had before this start; empty if there was none
 * @param connectTimeoutNanos nanoseconds after which a connection counts as not made
 * @param keepAliveNanos nanoseconds after which an archive server closes an idle connection
 * @param names the names that stand for the settings' indices
 * @param settings what the policy goes by
 */
public record NodeConfig(
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress counter,
    InetSocketAddress operators,
    long seed,
    int maxDescriptors,
    ConnectionLimits connections,
    TlsTermination.Settings tls,
    ZoneEjectionSettings zones,
    EndpointList knownEndpoints,
    long connectTimeoutNanos,
    long keepAliveNanos,
    SettingNames names,
    PolicySettings settings) {}
