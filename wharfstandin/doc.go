// Wharfstandin runs stand-ins for tests and experiments: a log in place of the
// platform's, targets, and callers that generate load. It is never part of a
// deployment.
package main
