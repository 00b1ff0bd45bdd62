// Package wharfsettings defines the settings of a node, which come from flags and
// environment variables and are checked together at startup.
package wharfsettings
