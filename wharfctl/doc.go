// Wharfctl is the command line tool for operators. It checks and publishes
// configuration, changes target labels, and shows the state of nodes, the
// treatment of a request, the history of changes and the audit trail.
package main
