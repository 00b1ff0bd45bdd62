// Package wharfroute decides which services a request goes to, from its host
// and path.
//
// Routes come as whole sets in rising versions. A Table is one set with an
// index; it never changes, so that a request sees one version from its start to
// its end.
package wharfroute
