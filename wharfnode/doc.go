// Wharfnode is the process that ragwortwharf runs on each target VM. It accepts
// requests of callers and services, picks a target and forwards each request to
// that target's node. For its own target it admits, queues or refuses requests.
// It also propagates configuration and membership to the other nodes.
package main
